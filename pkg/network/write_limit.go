package network

import (
	"fmt"
	"net"
	"time"

	"quaydock/pkg/clock"
)

// LimitWrites returns conn with a bound on the time of each write. A write that
// takes longer breaks the connection: its peer is frozen or cut off, and who
// waits for the write would wait with it.
func LimitWrites(conn net.Conn, limit clock.Millis) net.Conn {
	return &writeLimitConn{Conn: conn, limit: limit}
}

type writeLimitConn struct {
	net.Conn
	limit clock.Millis
}

// Write sends p within the limit, or closes the connection.
func (c *writeLimitConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit.Duration())); err != nil {
		return 0, fmt.Errorf("bounding a write: %w", err)
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		// The error of the write says more than one of closing.
		_ = c.Close()
		return n, fmt.Errorf("writing: %w", err)
	}
	return n, nil
}
