package dispatch

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/planner"
	"quaydock/pkg/rollout"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
)

// startAssignment records that a request goes to a target. Until Done, the lists for the owner include it. The
// assignment local is that of the entry's own scheduler, nil if the owner chose the target.
func (d *Dispatcher) startAssignment(number uint64, request *schedule.Request, t *routing.Target, local schedule.Assignment) *assignment {
	p := &assignment{dispatcher: d, number: number, target: t, request: request, local: local, sentAt: d.Clock.Now(), redispatched: make(chan struct{}), order: d.trials.currentOrder(request.Service)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[number] = p
	return p
}

// assignment is one request given to one target. It implements schedule.Assignment.
type assignment struct {
	dispatcher   *Dispatcher
	number       uint64
	target       *routing.Target
	request      *schedule.Request
	local        schedule.Assignment // nil unless the entry chose the target by its own counts
	order        rollout.Revision    // the roll-out during which it was sent, or 0
	sentAt       clock.Millis
	begun        bool          // the target has begun to answer; guarded by the dispatcher's lock
	redispatched chan struct{} // closed when the owner decides that the request should be re-dispatched
	moveOnce     sync.Once     // closes redispatched
}

func (a *assignment) Target() *routing.Target { return a.target }

func (a *assignment) Redispatched() <-chan struct{} { return a.redispatched }

// Began counts the request as one that reached its service, for a roll-out, and informs the owner. From then on the
// owner can no longer have it re-dispatched.
func (a *assignment) Began(load *planner.Load) {
	a.dispatcher.mu.Lock()
	a.begun = true
	a.dispatcher.mu.Unlock()
	if a.local != nil {
		a.local.Began(load)
	}
	a.dispatcher.trials.countReached(a)
	a.dispatcher.sendProgress(progressMessage{Number: a.number, Service: a.request.Service, Progress: begun, Load: load})
}

// Done informs the owner, with the time for which this process was stalled meanwhile. If the message is lost, the next
// lists of running requests show it.
func (a *assignment) Done(outcome planner.Outcome, flow planner.StreamStats) {
	a.dispatcher.mu.Lock()
	delete(a.dispatcher.running, a.number)
	a.dispatcher.syncsLeft[a.request.Service] = finalSyncs
	a.dispatcher.mu.Unlock()
	if a.local != nil {
		a.local.Done(outcome, flow)
	}
	flow.Stalled = a.dispatcher.owner.stalls.Within(a.sentAt, a.dispatcher.Clock.Now())
	a.dispatcher.sendProgress(progressMessage{Number: a.number, Service: a.request.Service, Progress: done, Outcome: outcome, Flow: flow})
}
