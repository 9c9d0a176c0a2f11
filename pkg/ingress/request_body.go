package ingress

import (
	"errors"
	"io"
	"math"

	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
)

// errBuffersFull means that this entry holds too much for callers and targets to take a body.
var errBuffersFull = errors.New("too much is held for callers and targets")

// bodyStep is the number of bytes by which the memory for a body grows at least.
const bodyStep = 4 << 10

// readBody reads the body of a request, and counts it in the account of buffers as it arrives: a caller that has only
// stated a length takes no room from others. A body that is shorter than stated is an error.
func (a *admission) readBody(q *request, from io.Reader) ([]byte, error) {
	body, whole, err := readCounted(from, math.MaxInt, func(size int) (int, bool) {
		grown := max(bodyStep, 2*size)
		if stated := q.http.ContentLength; stated >= int64(size) && int64(grown) >= stated {
			grown = int(stated) + 1 // one more, to find the end
		}
		return grown, a.holdBody(q, grown-size)
	})
	switch {
	case err != nil:
		return nil, err
	case !whole:
		return nil, errBuffersFull
	}
	return body, nil
}

// holdBody counts n more bytes of a request's body, and reports whether they are within the bounds.
func (a *admission) holdBody(q *request, n int) bool {
	slowest, held := a.buffers.HoldBody(a.Clock.Now(), q.tier(), n)
	buffers.BreakOff(slowest)
	if held {
		q.heldBody += n
	}
	return held
}

// Callers whose bodies are refused come back after buffersRetry or later, spread over buffersSpread, so that they do not
// come back together.
const (
	buffersRetry  = 500 * clock.Millisecond
	buffersSpread = clock.Second
)

// buffersRetryAfter returns when a caller should come back whose body there was no room for.
func (a *admission) buffersRetryAfter() clock.Millis {
	return buffersRetry + clock.Millis(a.Random.Fork().Float64()*float64(buffersSpread))
}
