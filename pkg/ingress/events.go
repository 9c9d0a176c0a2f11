package ingress

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

var errEventTooLong = errors.New("event of the stream is longer than 1 MiB")

// eventReader splits an event stream into complete events.
type eventReader struct {
	reader *bufio.Reader
	peeked *peekedEvent // read by peek, nil if none
}

// peekedEvent is a result of next that peek has read ahead.
type peekedEvent struct {
	event event
	err   error
}

// eventBuffer is the size in bytes of the buffer through which answers are read. An event may be larger.
const eventBuffer = 4 << 10

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(from, eventBuffer)}
}

// event is the bytes of one event, with the number of its id line.
type event struct {
	raw   []byte // as received, with the empty line that ends it, if it was terminated
	id    int64
	hasID bool // the event has a numeric id
}

// next returns the next complete event. After the last one it returns io.EOF if the stream ended properly, together
// with the bytes of an event that was not terminated. Any other error says that the stream broke off or that an event
// has more than maxEventBytes; the event is then incomplete.
func (r *eventReader) next() (event, error) {
	if ahead := r.peeked; ahead != nil {
		r.peeked = nil
		return ahead.event, ahead.err
	}
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return e, errEventTooLong
		case errors.Is(err, io.EOF):
			return e, io.EOF
		case err != nil:
			return e, fmt.Errorf("reading an event: %w", err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		e.parseLine(line)
	}
}

// peek reads ahead the next event, or the proper end of the stream, which next then returns. It returns an error if it
// gets neither.
func (r *eventReader) peek() error {
	e, err := r.next()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	r.peeked = &peekedEvent{e, err}
	return nil
}

// parseLine takes the id from an id line with a number, and ignores all other lines.
func (e *event) parseLine(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.id = id
		e.hasID = true
	}
}

// buffered reports whether more bytes can be read without waiting.
func (r *eventReader) buffered() bool {
	return r.reader.Buffered() > 0
}
