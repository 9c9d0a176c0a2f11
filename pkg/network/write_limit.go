package network

import (
	"fmt"
	"net"
	"time"

	"quaydock/pkg/clock"
)

// LimitWrites returns conn with a time limit for each write. A write that takes longer closes the
// connection: its peer is stalled or partitioned, and everyone who waits for the write would
// be blocked too.
func LimitWrites(conn net.Conn, limit clock.Millis) net.Conn {
	return &writeLimitConn{Conn: conn, limit: limit}
}

// writeLimitConn is a connection whose writes are limited in time; see LimitWrites.
type writeLimitConn struct {
	net.Conn
	limit clock.Millis
}

// Write sends p within the limit, or closes the connection.
func (c *writeLimitConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit.Duration())); err != nil {
		return 0, fmt.Errorf("setting the write deadline: %w", err)
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		// The error of the write is more useful than one of Close.
		_ = c.Close()
		return n, fmt.Errorf("writing: %w", err)
	}
	return n, nil
}
