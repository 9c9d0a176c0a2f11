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
	var b plainBody
	size := max(minBody, min(int(a.Length)+1, maxStatedBody))
	for len(b.data) < maxBuffered {
		if len(b.data) == cap(b.data) {
			if !d.growPlain(&b, min(size, maxBuffered)) {
				break
			}
			size += size/4 + minBody
		}
		n, err := a.Read(b.data[len(b.data):cap(b.data)])
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

// growPlain counts and makes memory of the given size for a body. It reports false if the buffers of this entry have no
// room for that.
func (d *delivery) growPlain(b *plainBody, size int) bool {
	slowest, held := d.buffers.HoldAnswer(d.Clock.Now(), size-b.held)
	buffers.BreakOff(slowest)
	if !held {
		return false
	}
	b.held = size
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}
