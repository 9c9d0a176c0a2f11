// Package eventstream splits event streams (text/event-stream, in the HTML standard's "Server-sent events") into their
// events, and tells a stream that ended between two events from one that ended inside an event. The bytes of events are
// passed on unchanged.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes is the size limit of one event of a stream.
const maxEventBytes = 1 << 20

// bufferBytes is the size of the buffer through which streams are read. An event may be larger.
const bufferBytes = 4 << 10

// byteOrderMark may begin a stream; it belongs to no line.
var byteOrderMark = []byte("\ufeff")

// Errors of Reader.Next.
var (
	// ErrTooLong means that an event is larger than 1 MiB.
	ErrTooLong = errors.New("event of the stream is longer than 1 MiB")
	// ErrInsideEvent means that the stream ended, but inside an event.
	ErrInsideEvent = errors.New("stream ended inside an event")
)

// Event is the bytes of one event.
type Event struct {
	// Raw is the event as received, with the empty line that ends it.
	Raw []byte
	// ID is the number of its last id line that has one, if HasID.
	ID    int64
	HasID bool
	// HasFields is false if there are only comments and empty lines.
	HasFields bool

	held int // bytes of Raw that are counted
}

// Memory counts the bytes of events.
type Memory interface {
	// Hold counts n bytes more, or fails if there is no room for them.
	Hold(n int) error
	// Release takes back n bytes that Hold has counted.
	Release(n int)
}

// Reader splits a stream into events. It is not safe for concurrent use.
type Reader struct {
	from    *bufio.Reader
	memory  Memory  // nil if events are not counted
	given   int     // bytes of the event that Next has returned, as far as they are counted
	peeked  *peeked // read by Peek, nil if none
	afterCR bool    // the last line ended with a CR, and an LF that follows it belongs to it
	begun   bool    // a line has been read
	fields  bool    // an event with a field has been read
}

// peeked is a result of Next that Peek has read ahead.
type peeked struct {
	event Event
	err   error
}

// NewReader returns a reader of a stream, whose events are not counted.
func NewReader(from io.Reader) *Reader {
	return NewReaderWithin(from, nil)
}

// NewReaderWithin returns a reader of a stream, which counts the event that it reads and the one that Next has returned
// last, if they are larger than 4 KiB. What it has counted at the end of the stream is not taken back.
func NewReaderWithin(from io.Reader, memory Memory) *Reader {
	return &Reader{from: bufio.NewReaderSize(from, bufferBytes), memory: memory}
}

// Next returns the next event. After the last one it returns io.EOF, together with the bytes of comments behind it, if
// any. ErrInsideEvent says that the stream ended inside an event, ErrTooLong that an event is too long, and any other
// error is one of the underlying reader or of its memory; the event is then incomplete.
func (r *Reader) Next() (Event, error) {
	if r.given > 0 {
		r.memory.Release(r.given)
	}
	e, err := r.take()
	r.given = e.held
	return e, err
}

// take returns what Peek has read ahead, or else reads the next event.
func (r *Reader) take() (Event, error) {
	if ahead := r.peeked; ahead != nil {
		r.peeked = nil
		return ahead.event, ahead.err
	}
	return r.read()
}

// read reads the next event.
func (r *Reader) read() (Event, error) {
	var e Event
	for {
		start, err := r.readLine(&e)
		if err != nil {
			return e, e.endError(start, err)
		}
		line := bytes.TrimRight(e.Raw[start:], "\r\n")
		if !r.begun {
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		r.begun = true
		if len(line) == 0 {
			r.fields = r.fields || e.HasFields
			return e, nil
		}
		e.parseLine(line)
	}
}

// Peek reads ahead what Next then returns, and returns its error.
func (r *Reader) Peek() error {
	e, err := r.take()
	r.peeked = &peeked{e, err}
	return err
}

// Peeked returns the event that Peek has read ahead; none if Next has returned it since.
func (r *Reader) Peeked() Event {
	if r.peeked == nil {
		return Event{}
	}
	return r.peeked.event
}

// HasFields reports whether there has been an event with a field, and not only comments and empty lines.
func (r *Reader) HasFields() bool { return r.fields }

// Buffered reports whether more bytes can be read without waiting.
func (r *Reader) Buffered() bool {
	return r.from.Buffered() > 0
}

// readLine appends the next line with its end to an event. It returns the index of the line's first byte. A line ends
// with LF, CR LF or CR. After a CR it does not wait for the next byte, which may not come before the next event.
func (r *Reader) readLine(e *Event) (start int, err error) {
	if err := r.readRestOfLineEnd(e); err != nil {
		return len(e.Raw), err
	}
	start = len(e.Raw)
	for {
		if _, err := r.from.Peek(1); err != nil {
			return start, err
		}
		available, _ := r.from.Peek(r.from.Buffered())
		n, ended := lineLength(available)
		r.afterCR = ended && n == len(available) && available[n-1] == '\r'
		if err := r.grow(e, n); err != nil {
			return start, err
		}
		e.Raw = append(e.Raw, available[:n]...)
		_, _ = r.from.Discard(n) // it is buffered
		switch {
		case len(e.Raw) > maxEventBytes:
			return start, ErrTooLong
		case ended:
			return start, nil
		}
	}
}

// grow makes room for n bytes more in an event. Beyond the size of the buffer the memory that it takes is counted.
func (r *Reader) grow(e *Event, n int) error {
	if r.memory == nil || len(e.Raw)+n <= max(cap(e.Raw), bufferBytes) {
		return nil
	}
	size := max(len(e.Raw)+n, min(2*cap(e.Raw), maxEventBytes+bufferBytes))
	if err := r.memory.Hold(size - e.held); err != nil {
		return err
	}
	e.held = size
	e.Raw = append(make([]byte, 0, size), e.Raw...)
	return nil
}

// readRestOfLineEnd appends an LF that follows the CR of the line before.
func (r *Reader) readRestOfLineEnd(e *Event) error {
	if !r.afterCR {
		return nil
	}
	next, err := r.from.Peek(1)
	if err != nil {
		return err
	}
	r.afterCR = false
	if next[0] == '\n' {
		e.Raw = append(e.Raw, '\n')
		_, _ = r.from.Discard(1) // it is buffered
	}
	return nil
}

// lineLength returns the length of the line at the beginning of text with its end, or the length of text and false if
// the line goes on behind it.
func lineLength(text []byte) (length int, ended bool) {
	lf := bytes.IndexByte(text, '\n')
	before := text
	if lf >= 0 {
		before = text[:lf]
	}
	cr := bytes.IndexByte(before, '\r')
	switch {
	case cr >= 0 && cr+1 == lf, cr < 0 && lf >= 0:
		return lf + 1, true
	case cr >= 0:
		return cr + 1, true
	default:
		return len(text), false
	}
}

// endError returns the error of Next for an event that is not terminated, whose last line began at start.
func (e *Event) endError(start int, err error) error {
	switch {
	case errors.Is(err, ErrTooLong):
		return err
	case !errors.Is(err, io.EOF):
		return fmt.Errorf("reading an event: %w", err)
	case e.HasFields || len(e.Raw) > start:
		return ErrInsideEvent
	default:
		return io.EOF
	}
}

// parseLine takes the id from an id line with a number, and ignores all other fields. The line is not empty.
func (e *Event) parseLine(line []byte) {
	if line[0] == ':' {
		return // a comment
	}
	e.HasFields = true
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.ID = id
		e.HasID = true
	}
}
