package ingress

import (
	"fmt"

	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
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

// failureTime limits the time for the body of a failure while another target may still do better.
const failureTime = 250 * clock.Millisecond

// plainBody is what was read of an answer that is not a stream.
type plainBody struct {
	data  []byte
	whole bool // there is no more
}

// held returns how many bytes are counted in the account of buffers: all memory of the body.
func (b plainBody) held() int { return cap(b.data) }

// readBuffered reads an answer that is not a stream, up to maxBuffered, or until the buffers of this entry are full.
func (d *delivery) readBuffered(a *forward.Answer) (plainBody, error) {
	next := max(minBody, min(int(a.Length)+1, maxStatedBody))
	data, whole, err := readCounted(a, maxBuffered, func(size int) (int, bool) {
		grown := min(next, maxBuffered)
		next += next/4 + minBody
		slowest, held := d.buffers.HoldAnswer(d.Clock.Now(), grown-size)
		buffers.BreakOff(slowest)
		return grown, held
	})
	b := plainBody{data: data, whole: whole}
	if err != nil {
		d.buffers.ReleaseAnswer(b.held())
		return plainBody{}, fmt.Errorf("reading the answer: %w", err)
	}
	return b, nil
}
