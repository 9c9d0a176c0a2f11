package ingress

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/network"
)

// bufferedConn is a caller's connection. While an answer is read ahead of its caller, Write does not wait for the caller
// but buffers what it does not take yet; at any other time it is an ordinary connection. It knows what was read of a
// request and whether that was answered.
type bufferedConn struct {
	net.Conn
	writer network.NowWriter            // nil if it can't be written to without waiting
	answer atomic.Pointer[answerBuffer] // of the answer that is read ahead, nil if there is none
	log    *unansweredLog               // nil in tests

	accepted clock.Millis // when; 0 in tests

	mu       sync.Mutex // guards the fields below
	reads    requestReads
	deadline time.Time // for reading, as net/http set it last
	ending   bool      // endWait has replaced deadline by one in the past
	closed   bool
}

// newBufferedConn wraps a connection.
func newBufferedConn(c net.Conn) net.Conn {
	return newCallerConn(c, nil)
}

// newCallerConn wraps a caller's connection whose unanswered requests go to the log.
func newCallerConn(c net.Conn, log *unansweredLog) *bufferedConn {
	conn := &bufferedConn{Conn: c, writer: network.NewNowWriter(c), log: log}
	conn.accepted = conn.now()
	return conn
}

const (
	// firstRequestTime is how long after its acceptance the first bytes of a connection are waited for at a stop.
	firstRequestTime = clock.Second
	// arrivedTime is the least time for reading on when a request arrives in the moment in which the wait for it ends.
	arrivedTime = clock.Second
)

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.recordRead(n, err) {
			return n, err
		}
	}
}

// recordRead records the result of a read, and reports whether to read again: the wait for a request is over, but bytes
// of it have arrived.
func (c *bufferedConn) recordRead(n int, err error) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	again = n == 0 && !c.reads.begun(c.now()) && errors.Is(err, os.ErrDeadlineExceeded) && hasData(c.Conn)
	if again || n > 0 && c.ending {
		c.prolong()
	}
	c.reads.add(c.now(), n, err)
	return again
}

// endWait ends the wait for a request of which nothing was read yet. net/http closes the connection then, unless bytes
// arrive in the same moment. A new connection has a little time for its first request.
func (c *bufferedConn) endWait(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.reads.begun(now) || c.reads.state == http.StateNew && now < c.accepted+firstRequestTime {
		return
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(time.Now()) // an error means that it is closed already
}

// endRead ends the reading of a request in progress that has no part of an answer.
func (c *bufferedConn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reads.state == http.StateActive && !c.reads.answered {
		_ = c.Conn.SetReadDeadline(time.Now()) // an error means that it is closed already
	}
}

// prolong goes on reading, as a request has arrived when the wait for it was over; the lock is held.
func (c *bufferedConn) prolong() {
	c.ending = false
	deadline := c.deadline
	if least := time.Now().Add(arrivedTime.Duration()); !deadline.IsZero() && deadline.Before(least) {
		deadline = least
	}
	_ = c.Conn.SetReadDeadline(deadline) // an error means that it is closed already
}

// SetReadDeadline implements net.Conn.
func (c *bufferedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// now returns the time by the log's clock.
func (c *bufferedConn) now() clock.Millis {
	if c.log == nil {
		return 0
	}
	return c.log.Clock.Now()
}

// setState follows net/http's states of the connection.
func (c *bufferedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads.setState(state)
	if state == http.StateActive && c.ending {
		c.prolong() // its request had arrived together with an earlier one
	}
}

// begun reports whether a part of a request was read. net/http still counts its connection as idle until the head is whole.
func (c *bufferedConn) begun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads.begun(c.now())
}

// markAborted notes that a handler has given the request up, and logged that.
func (c *bufferedConn) markAborted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads.aborted = true
}

// wrote notes that a part of an answer is written.
func (c *bufferedConn) wrote() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads.wrote()
}

// Write implements net.Conn.
func (c *bufferedConn) Write(p []byte) (int, error) {
	c.wrote()
	if b := c.answer.Load(); b != nil {
		return b.write(p)
	}
	return c.Conn.Write(p)
}

// Close closes the connection, and releases what is held for the caller. If its answer is not finished the connection is
// reset, as a caller of HTTP/1.0 would take an orderly end for that of the answer. net/http closes the connection by
// itself when a write fails, before the handler can abort the answer.
func (c *bufferedConn) Close() error {
	return c.closeFor(ClosedByServer)
}

// closeFor is Close, and says who closes the connection.
func (c *bufferedConn) closeFor(by ClosedBy) error {
	c.logUnanswered(by)
	if b := c.answer.Load(); b != nil {
		b.abandon(net.ErrClosed)
		network.ResetOnClose(c.Conn)
	}
	return c.Conn.Close()
}

// logUnanswered logs, the first time, a request that got no answer before its connection is closed.
func (c *bufferedConn) logUnanswered(by ClosedBy) {
	c.mu.Lock()
	reads, again := c.reads, c.closed
	c.closed = true
	c.mu.Unlock()
	if c.log != nil && !again && reads.unanswered(c.now()) {
		c.log.closed(reads, by)
	}
}

// SyscallConn implements syscall.Conn.
func (c *bufferedConn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.NotSupportedf("access to the socket")
}

// CloseWrite closes the writing side, as net/http does before it closes a connection with an unread request.
func (c *bufferedConn) CloseWrite() error {
	if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return nil
}

// SetLinger sets how a socket is closed, and has no effect on other connections.
func (c *bufferedConn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}
