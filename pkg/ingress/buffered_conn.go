package ingress

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"

	"quaydock/pkg/network"
)

// bufferedConn is a caller's connection. While an answer is read ahead of its caller, Write does not wait for the caller
// but buffers what it does not take yet; at any other time it is an ordinary connection.
type bufferedConn struct {
	net.Conn
	writer network.NowWriter
	answer atomic.Pointer[answerBuffer] // of the answer that is read ahead, nil if there is none
}

// newBufferedConn wraps a connection, if it can be written to without waiting.
func newBufferedConn(c net.Conn) net.Conn {
	writer := network.NewNowWriter(c)
	if writer == nil {
		return c
	}
	return &bufferedConn{Conn: c, writer: writer}
}

// Write implements net.Conn.
func (c *bufferedConn) Write(p []byte) (int, error) {
	if b := c.answer.Load(); b != nil {
		return b.write(p)
	}
	return c.Conn.Write(p)
}

// Close closes the connection, and releases what is held for the caller. If its answer is not finished the connection is
// reset, as a caller of HTTP/1.0 would take an orderly end for that of the answer. net/http closes the connection by
// itself when a write fails, before the handler can abort the answer.
func (c *bufferedConn) Close() error {
	if b := c.answer.Load(); b != nil {
		b.abandon(net.ErrClosed)
		network.ResetOnClose(c.Conn)
	}
	return c.Conn.Close()
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
