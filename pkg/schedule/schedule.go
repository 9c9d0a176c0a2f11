// Package schedule decides which target gets a request, when, and who is told
// to come back later.
package schedule

import (
	"context"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// Ask is a request that wants a place on a target of a service. Its id is set by
// the scheduler.
type Request struct {
	planner.Job
	Service ids.Service
}

// Place is a place on a target. Exactly one of its ends is called.
type Assignment interface {
	Target() *routing.Target
	// Began notes that the target has begun to answer: a whole answer, or the
	// first event of a stream. The load is its own report, if it gave one.
	Began(load *planner.Load)
	// Moved is closed when the request is better sent elsewhere, as its target
	// gives no sign of life. It is nil if that is never told.
	Moved() <-chan struct{}
	// Done gives the place back; events is how many events the answer had.
	Done(outcome planner.Outcome, flow planner.StreamStats)
}

// Refused says that there is no place.
type Refused struct {
	// Overloaded is false if the service has no target at all, or all of them rest.
	Overloaded bool
	// Resting says that all targets have asked this entry for rest.
	BackedOff  bool
	RetryAfter clock.Millis
	// Ahead is how many requests went before it, Wait how long it would have
	// waited.
	Ahead int
	Wait  clock.Millis
}

// Scheduler gives out places.
type Scheduler interface {
	// Acquire waits for a place. It returns an error if ctx ended first, and a
	// refusal if the request should come back later.
	Acquire(ctx context.Context, ask Request) (Assignment, *Refused, error)
}
