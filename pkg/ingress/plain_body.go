package ingress

import (
	"errors"
	"fmt"
	"io"

	"quaydock/pkg/buffers"
	"quaydock/pkg/forward"
)

// maxBuffered is the number of bytes of an answer, if it is not a stream, that are read before any of it goes to the
// caller, so that a request whose answer breaks off may be retried.
const maxBuffered = 1 << 20

// Sizes in bytes of the memory for a body: its first, and the most that is taken for a length that the target states.
const (
	minBody       = 512
	maxStatedBody = 64 << 10
)

// plainBody is what was read of an answer that is not a stream.
type plainBody struct {
	data  []byte
	whole bool // there is no more
	held  int  // bytes counted in the account of buffers
}

// readBuffered reads an answer that is not a stream, up to maxBuffered, or until the buffers of this entry are full.
func (d *delivery) readBuffered(a *forward.Answer) (plainBody, error) {
	b := plainBody{data: make([]byte, 0, max(minBody, min(int(a.Length)+1, maxStatedBody)))}
	for full := d.holdPlain(&b); len(b.data) < maxBuffered && !full; {
		if len(b.data) == cap(b.data) {
			b.data = append(b.data, 0)[:len(b.data)]
			full = d.holdPlain(&b)
		}
		n, err := a.Read(b.data[len(b.data):min(cap(b.data), maxBuffered)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF):
			b.whole = true
			return b, nil
		case err != nil:
			d.buffers.ReleaseAnswer(b.held)
			return plainBody{}, fmt.Errorf("reading the answer: %w", err)
		}
	}
	return b, nil
}

// holdPlain counts the memory of a body, and reports whether the buffers of this entry are full.
func (d *delivery) holdPlain(b *plainBody) bool {
	more := cap(b.data) - b.held
	b.held += more
	slowest, full := d.buffers.HoldAnswer(d.Clock.Now(), more)
	buffers.BreakOff(slowest)
	return full
}
