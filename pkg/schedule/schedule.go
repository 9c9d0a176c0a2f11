// Package schedule decides which target gets a request and when, and which requests are
// refused with a time after which to retry.
package schedule

import (
	"context"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// Request is a request for an assignment to a target of a service. The scheduler sets the
// job's ID.
type Request struct {
	planner.Job
	Service ids.Service
}

// Assignment is one request given to one target. Done must be called exactly once.
type Assignment interface {
	Target() *routing.Target
	// Began records that the target has begun to answer: with a complete answer, or the
	// first event of a stream. The load is the target's own report, nil if it gave none.
	Began(load *planner.Load)
	// Redispatched is closed when the request should be re-dispatched, as its target does not
	// respond. It is nil if the scheduler never signals this.
	Redispatched() <-chan struct{}
	// Done frees the slot; flow describes the answer's stream of events.
	Done(outcome planner.Outcome, flow planner.StreamStats)
}

// Refused says that there is no free slot or no target.
type Refused struct {
	// Overloaded is false if the service has no target at all, or all of them have asked for a back-off.
	Overloaded bool
	// BackedOff says that all targets have asked this entry for a back-off.
	BackedOff bool
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter clock.Millis
	// Ahead is how many requests were ahead of this one, and Wait how long it would have
	// waited by estimate, or until the first target's back-off ends.
	Ahead int
	Wait  clock.Millis
}

// Scheduler assigns requests to targets.
type Scheduler interface {
	// Acquire waits for an assignment. It returns an error if ctx ended first, and a
	// refusal if the request should be retried later.
	Acquire(ctx context.Context, request Request) (Assignment, *Refused, error)
}
