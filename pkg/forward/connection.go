package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// readBuffer is the size of a connection's buffer for answers.
const readBuffer = 4 << 10

// connection is one connection to a target. It carries one request at a time.
type connection struct {
	net.Conn
	source     *source
	reader     *bufio.Reader // of source
	reused     bool          // taken from the idle connections at least once
	latest     string        // the request id of the latest exchange on it, of which a second answer may still come
	reuseUntil clock.Millis  // when an idle connection is too old to be used again
	// madeAt is the Unix millisecond at which the connection was made, to be compared with starts of targets.
	madeAt ids.Start
}

func newConnection(c net.Conn) *connection {
	s := &source{Reader: c}
	return &connection{Conn: c, source: s, reader: bufio.NewReaderSize(s, readBuffer), madeAt: ids.Start(time.Now().UnixMilli())}
}

// source is what a connection's buffer is filled from.
type source struct {
	io.Reader
	// count is called with the size of each piece of a head, and may end reading it; nil while no head is read.
	count func(size int) error
	last  int // size of the latest piece, which may go on behind the end of the head
}

// countHead has the next head counted.
func (s *source) countHead(count func(size int) error) { s.count, s.last = count, 0 }

// Read reads from the connection. While a head is read, more is read only once all of the piece before belongs to it.
func (s *source) Read(p []byte) (int, error) {
	if s.count == nil {
		return s.Reader.Read(p)
	}
	if err := s.count(s.last); err != nil {
		return 0, err
	}
	n, err := s.Reader.Read(p)
	s.last = headSize(p[:n])
	return n, err
}

// usable reports whether an idle connection is still open and has nothing to read: what a target sends between two
// requests belongs to neither.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // an in-memory network; a failure shows at the next use
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(descriptor), one[:])
		usable = err == syscall.EAGAIN
		return true
	})
	return err == nil && usable
}

// keepFor returns how long the connection may stay idle after an answer: maxIdle, or the time-out that the target
// states less idleMargin, if that is shorter. A result of 0 or less means that the connection is not kept.
func keepFor(h http.Header) clock.Millis {
	limit := maxIdle
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			limit = min(limit, clock.Millis(seconds)*clock.Second-idleMargin)
		}
	}
	return limit
}
