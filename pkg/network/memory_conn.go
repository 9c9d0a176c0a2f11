package network

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipeBytes is how much one direction buffers before its writer waits, and maxPipeBytes the most that this is expanded to.
const (
	pipeBytes    = 64 << 10
	maxPipeBytes = 4 << 20
)

// stream is one direction of an in-memory connection. We don't use a library's
// pipe because it starts timers of zero length, which crash the race detector in
// virtual time.
type stream struct {
	mu            sync.Mutex
	changed       sync.Cond // of mu; any change of the fields below
	data          []byte    // written and not yet read
	limit         int       // of data
	ended         bool      // the writer has closed it
	broken        bool      // the reader has closed it
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is the read or write deadline of one side. The mutex of its stream guards it.
type deadline struct {
	expired    bool
	timer      *time.Timer // nil if no deadline was set, or one in the past
	generation int         // incremented by each setDeadline, so that an old timer has no effect
}

func newStream() *stream {
	s := &stream{limit: pipeBytes}
	s.changed.L = &s.mu
	return s
}

// read waits for data, the end, or the read deadline. After the writer has closed the stream it returns what is
// left, then io.EOF.
func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.data) == 0 && !s.ended && !s.broken && !s.readDeadline.expired {
		s.changed.Wait()
	}
	switch {
	case s.broken:
		return 0, net.ErrClosed
	case s.readDeadline.expired:
		return 0, os.ErrDeadlineExceeded
	case len(s.data) == 0:
		return 0, io.EOF
	}
	n := copy(p, s.data)
	s.data = s.data[n:]
	s.changed.Broadcast()
	return n, nil
}

// write waits until all of p is buffered. It fails if either side closes the stream or the write deadline
// expires, and returns how much was buffered by then.
func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for written < len(p) {
		for len(s.data) >= s.limit && !s.ended && !s.broken && !s.writeDeadline.expired {
			s.changed.Wait()
		}
		switch {
		case s.ended:
			return written, net.ErrClosed
		case s.broken:
			return written, io.ErrClosedPipe
		case s.writeDeadline.expired:
			return written, os.ErrDeadlineExceeded
		}
		n := min(len(p)-written, s.limit-len(s.data))
		s.data = append(s.data, p[written:written+n]...)
		written += n
		s.changed.Broadcast()
	}
	return written, nil
}

// writeNow buffers as much of p as there is room for.
func (s *stream) writeNow(p []byte) (int, error) {
	s.mu.Lock()
	room := max(0, s.limit-len(s.data))
	gone := s.ended || s.broken || s.writeDeadline.expired
	s.mu.Unlock()
	if !gone { // else write fails at once
		p = p[:min(len(p), room)]
	}
	return s.write(p)
}

// expand makes room for n bytes more.
func (s *stream) expand(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = max(s.limit, min(len(s.data)+n, maxPipeBytes))
	s.changed.Broadcast()
}

// close closes the stream from one side; flag is ended for the writer and broken for the reader.
func (s *stream) close(flag *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = true
	for _, d := range []*deadline{&s.readDeadline, &s.writeDeadline} {
		if d.timer != nil {
			d.timer.Stop()
		}
	}
	s.changed.Broadcast()
}

// setDeadline makes d expire at a time; the zero time removes the deadline.
func (s *stream) setDeadline(d *deadline, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.generation++
	wait := time.Until(at)
	d.expired = !at.IsZero() && wait <= 0
	if !at.IsZero() && wait > 0 {
		generation := d.generation
		d.timer = time.AfterFunc(wait, func() { s.expire(d, generation) })
	}
	s.changed.Broadcast()
}

// expire marks d as expired unless it was set anew since its timer started.
func (s *stream) expire(d *deadline, generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.generation == generation {
		d.expired = true
		s.changed.Broadcast()
	}
}

// memoryConn is one side of an in-memory connection.
type memoryConn struct {
	in, out *stream
	address memoryAddr // of the listener; both sides give it as their own address and as the other's
}

// memoryAddr is the address of a listener in a Memory network.
type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }

// newPipe returns the two sides of a connection to address.
func newPipe(address string) (dialled, accepted net.Conn) {
	request, reply := newStream(), newStream()
	return &memoryConn{in: reply, out: request, address: memoryAddr(address)},
		&memoryConn{in: request, out: reply, address: memoryAddr(address)}
}

func (c *memoryConn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *memoryConn) Write(p []byte) (int, error) { return c.out.write(p) }

// WriteNow implements NowWriter.
func (c *memoryConn) WriteNow(p []byte) (int, error) { return c.out.writeNow(p) }

// Expand implements NowWriter.
func (c *memoryConn) Expand(n int) error {
	c.out.expand(n)
	return nil
}

// Close closes both directions. The peer can still read what was written before.
func (c *memoryConn) Close() error {
	c.in.close(&c.in.broken)
	c.out.close(&c.out.ended)
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr  { return c.address }
func (c *memoryConn) RemoteAddr() net.Addr { return c.address }

func (c *memoryConn) SetReadDeadline(at time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, at)
	return nil
}

func (c *memoryConn) SetWriteDeadline(at time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, at)
	return nil
}

func (c *memoryConn) SetDeadline(at time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, at)
	c.out.setDeadline(&c.out.writeDeadline, at)
	return nil
}
