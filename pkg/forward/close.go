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
	if e.pool.endedUnplanned(e.ctx, e.target, keep) {
		return fmt.Errorf("%w: the target's process has ended", ErrClosedEarly)
	}
	return nil
}

// endedUnplanned reports whether the process of a target has certainly ended although the target was not leaving. It
// makes a connection, which it keeps for a request within the time keep.
func (p *Pool) endedUnplanned(ctx context.Context, t *routing.Target, keep clock.Millis) bool {
	if p.leaves(t) {
		return false
	}
	dialCtx, cancel := context.WithTimeout(ctx, endedTimeout.Duration())
	defer cancel()
	c, err := p.dial(dialCtx, t)
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

// leaves reports whether a target is leaving, by its own report or the newest target list. One that is no longer listed
// may be leaving without a report.
func (p *Pool) leaves(t *routing.Target) bool {
	if p.advice.Status(t.Incarnation()).Leaving {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targets == nil {
		return false
	}
	listed := p.targets.Target(t.ID)
	return listed == nil || listed.Leaving
}
