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
	select {
	case <-e.writeEnd:
		if e.writeErr != nil {
			return fmt.Errorf("%w: sending the request: %w", ErrClosedEarly, e.writeErr)
		}
	case <-time.After(endedTimeout.Duration()): // the target has closed one direction only
	}
	if e.pool.hasEnded(e.ctx, e.target, keep) {
		return fmt.Errorf("%w: the target's process has ended", ErrClosedEarly)
	}
	return nil
}

// hasEnded reports whether the process of a target has certainly ended. It makes a connection, which it keeps for a
// request within the time keep.
func (p *Pool) hasEnded(ctx context.Context, t *routing.Target, keep clock.Millis) bool {
	if p.isReplaced(t) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, endedTimeout.Duration())
	defer cancel()
	c, err := p.dial(ctx, t)
	switch {
	case err != nil:
		return errors.Is(err, syscall.ECONNREFUSED)
	case keep > 0:
		p.keepIdle(t.Incarnation(), c, keep)
	default:
		discard(c)
	}
	return false
}
