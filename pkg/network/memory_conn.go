package network

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipeBytes is how much one direction buffers before its writer waits.
const pipeBytes = 64 << 10

// stream is one direction of an in-memory connection. It is our own, since a
// library's pipe starts timers of no length, which crash the race detector in
// virtual time.
type stream struct {
	mu      sync.Mutex
	changed sync.Cond
	data    []byte
	ended   bool // its writer has closed
	broken  bool // its reader has closed
	reading limit
	writing limit
}

// limit is a deadline of one side.
type limit struct {
	expired bool
	timer   *time.Timer
	setting int // counts the settings, so that an old timer is known
}

func newStream() *stream {
	s := &stream{}
	s.changed.L = &s.mu
	return s
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.data) == 0 && !s.ended && !s.broken && !s.reading.expired {
		s.changed.Wait()
	}
	switch {
	case s.broken:
		return 0, net.ErrClosed
	case s.reading.expired:
		return 0, os.ErrDeadlineExceeded
	case len(s.data) == 0:
		return 0, io.EOF
	}
	n := copy(p, s.data)
	s.data = s.data[n:]
	s.changed.Broadcast()
	return n, nil
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for written < len(p) {
		for len(s.data) >= pipeBytes && !s.ended && !s.broken && !s.writing.expired {
			s.changed.Wait()
		}
		switch {
		case s.ended:
			return written, net.ErrClosed
		case s.broken:
			return written, io.ErrClosedPipe
		case s.writing.expired:
			return written, os.ErrDeadlineExceeded
		}
		n := min(len(p)-written, pipeBytes-len(s.data))
		s.data = append(s.data, p[written:written+n]...)
		written += n
		s.changed.Broadcast()
	}
	return written, nil
}

// close ends the stream from one side; flag is ended or broken.
func (s *stream) close(flag *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = true
	for _, l := range []*limit{&s.reading, &s.writing} {
		if l.timer != nil {
			l.timer.Stop()
		}
	}
	s.changed.Broadcast()
}

// set makes a limit expire at a moment; the zero time lifts it.
func (s *stream) set(l *limit, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	l.setting++
	wait := time.Until(at)
	l.expired = !at.IsZero() && wait <= 0
	if !at.IsZero() && wait > 0 {
		setting := l.setting
		l.timer = time.AfterFunc(wait, func() { s.expire(l, setting) })
	}
	s.changed.Broadcast()
}

func (s *stream) expire(l *limit, setting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.setting == setting {
		l.expired = true
		s.changed.Broadcast()
	}
}

// memoryConn is one side of an in-memory connection.
type memoryConn struct {
	in, out *stream
	address memoryAddr
}

// memoryAddr is the address of a listener.
type memoryAddr string

// Network names the kind of network.
func (memoryAddr) Network() string { return "memory" }

// String gives the address.
func (a memoryAddr) String() string { return string(a) }

// newPipe returns the two sides of a connection to address.
func newPipe(address string) (dialled, accepted net.Conn) {
	there, back := newStream(), newStream()
	return &memoryConn{in: back, out: there, address: memoryAddr(address)},
		&memoryConn{in: there, out: back, address: memoryAddr(address)}
}

func (c *memoryConn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *memoryConn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close ends both directions. What was written before can still be read.
func (c *memoryConn) Close() error {
	c.in.close(&c.in.broken)
	c.out.close(&c.out.ended)
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr  { return c.address }
func (c *memoryConn) RemoteAddr() net.Addr { return c.address }

func (c *memoryConn) SetReadDeadline(at time.Time) error {
	c.in.set(&c.in.reading, at)
	return nil
}

func (c *memoryConn) SetWriteDeadline(at time.Time) error {
	c.out.set(&c.out.writing, at)
	return nil
}

func (c *memoryConn) SetDeadline(at time.Time) error {
	c.in.set(&c.in.reading, at)
	c.out.set(&c.out.writing, at)
	return nil
}
