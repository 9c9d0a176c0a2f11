package dispatch

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/planner"
	"quaydock/pkg/rollout"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
)

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
	local        schedule.Assignment // set if the entry chose the target by its own counts
	order        rollout.Revision    // the roll-out during which it was sent, or 0
	sentAt       clock.Millis
	begun        bool // guarded by the dispatcher's lock
	redispatched chan struct{}
	moveOnce     sync.Once
}

func (p *assignment) Target() *routing.Target { return p.target }

func (p *assignment) Redispatched() <-chan struct{} { return p.redispatched }

func (p *assignment) Began(load *planner.Load) {
	p.dispatcher.mu.Lock()
	p.begun = true
	p.dispatcher.mu.Unlock()
	p.dispatcher.trials.countReached(p)
	p.dispatcher.sendProgress(progressMessage{Number: p.number, Service: p.request.Service, Progress: begun, Load: load})
}

func (p *assignment) Done(outcome planner.Outcome, flow planner.StreamStats) {
	p.dispatcher.mu.Lock()
	delete(p.dispatcher.running, p.number)
	p.dispatcher.syncsLeft[p.request.Service] = finalSyncs
	p.dispatcher.mu.Unlock()
	if p.local != nil {
		p.local.Done(outcome, flow)
	}
	flow.Stalled = p.dispatcher.owner.stalls.Within(p.sentAt, p.dispatcher.Clock.Now())
	p.dispatcher.sendProgress(progressMessage{Number: p.number, Service: p.request.Service, Progress: done, Outcome: outcome, Flow: flow})
}
