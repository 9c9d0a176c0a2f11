package network

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// NowWriter writes without waiting.
type NowWriter interface {
	// WriteNow writes as much of p as can be written without waiting, possibly nothing, and returns how much that is.
	WriteNow(p []byte) (int, error)
	// Expand makes room for n bytes more than the connection holds for its peer, as far as its limit permits. A write
	// that waits goes on. It may be called while another goroutine writes.
	Expand(n int) error
}

// NewNowWriter returns a NowWriter of a connection, or nil if there can be none. Its WriteNow is not safe for concurrent
// use.
func NewNowWriter(conn net.Conn) NowWriter {
	if w, ok := conn.(NowWriter); ok {
		return w
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	w := &socketWriter{raw: raw}
	w.attempt = w.write
	return w
}

// socketWriter is the NowWriter of a socket.
type socketWriter struct {
	raw     syscall.RawConn
	attempt func(descriptor uintptr) bool // write, kept to spare an allocation for each call
	p       []byte                        // argument of the present call
	n       int                           // its results
	err     error
}

// WriteNow implements NowWriter.
func (w *socketWriter) WriteNow(p []byte) (int, error) {
	w.p, w.n, w.err = p, 0, nil
	err := w.raw.Write(w.attempt)
	w.p = nil
	if err == nil {
		err = w.err
	}
	if err != nil {
		return w.n, fmt.Errorf("writing without waiting: %w", err)
	}
	return w.n, nil
}

// write makes one attempt. It returns true, as false would make RawConn.Write wait.
func (w *socketWriter) write(descriptor uintptr) bool {
	for {
		n, err := syscall.Write(int(descriptor), w.p)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
		case err != nil:
			w.err = err
		default:
			w.n = n
		}
		return true
	}
}
