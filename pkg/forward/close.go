package forward

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// ErrClosedEarly means that an answer that ends with its connection is not whole, although the connection was closed in
// good order: the target's process has ended, or the target has not read the request.
var ErrClosedEarly = errors.New("the connection was closed before the answer's end")

// checkClose returns nil if an answer is whole whose connection the target has closed, and ErrClosedEarly otherwise. The
// kernel also closes the connections of a process that has ended. It reports a reset only once, and possibly to write;
// reading then finds nothing but the end. A target that can't be reached counts as running.
func (e *exchange) checkClose(keep clock.Millis) error {
	began := e.pool.Clock.Now()
	verdict := e.judgeClose(keep)
	e.recordEnd(verdict, began)
	switch {
	case verdict.whole():
		return nil
	case verdict == EndUnread:
		return fmt.Errorf("%w: sending the request: %w", ErrClosedEarly, e.writeErr)
	default:
		return fmt.Errorf("%w: the target's process has ended", ErrClosedEarly)
	}
}

// judgeClose judges the end of an answer whose connection the target has closed. The verdict is EndUnread only after
// write has ended.
func (e *exchange) judgeClose(keep clock.Millis) EndVerdict {
	select {
	case <-e.writeEnd:
		if e.writeErr != nil {
			return EndUnread
		}
	case <-time.After(endedTimeout.Duration()): // the target has closed one direction only
	}
	return e.pool.judgeProcess(e.ctx, e.target, keep)
}

// judgeProcess asks whether the process of a target has certainly ended. It makes a connection, which it keeps for a
// request within the time keep.
func (p *Pool) judgeProcess(ctx context.Context, t *routing.Target, keep clock.Millis) EndVerdict {
	if p.isReplaced(t) {
		return EndReplaced
	}
	ctx, cancel := context.WithTimeout(ctx, endedTimeout.Duration())
	defer cancel()
	c, err := p.dial(ctx, t)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return EndRefused
	case err != nil:
		return EndNotKnown
	case keep > 0:
		p.keepIdle(t.Incarnation(), c, keep)
	default:
		discard(c)
	}
	return EndAccepted
}
