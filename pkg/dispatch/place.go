package dispatch

import (
	gosync "sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/planner"
	"quaydock/pkg/rollout"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
)

func (d *Dispatcher) begin(number uint64, want *schedule.Request, t *routing.Target, own schedule.Assignment) *place {
	p := &place{dispatcher: d, number: number, target: t, want: want, own: own, sentAt: d.Clock.Now(), moved: make(chan struct{}), order: d.trials.order(want.Service)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[number] = p
	return p
}

// place is a request on a target.
type place struct {
	dispatcher *Dispatcher
	number     uint64
	target     *routing.Target
	want       *schedule.Request
	own        schedule.Assignment // if it was placed by the entry's own counts
	order      rollout.Revision    // of the roll-out during which it was sent, or 0
	sentAt     clock.Millis
	begun      bool // guarded by the dispatcher's lock
	moved      chan struct{}
	moveOnce   gosync.Once
}

func (p *place) Target() *routing.Target { return p.target }

func (p *place) Moved() <-chan struct{} { return p.moved }

func (p *place) Began(load *planner.Load) {
	p.dispatcher.mu.Lock()
	p.begun = true
	p.dispatcher.mu.Unlock()
	p.dispatcher.trials.reached(p)
	p.dispatcher.step(step{Number: p.number, Service: p.want.Service, Progress: begun, Load: load})
}

func (p *place) Done(outcome planner.Outcome, flow planner.StreamStats) {
	p.dispatcher.mu.Lock()
	delete(p.dispatcher.running, p.number)
	p.dispatcher.lists[p.want.Service] = emptyLists
	p.dispatcher.mu.Unlock()
	if p.own != nil {
		p.own.Done(outcome, flow)
	}
	flow.Stalled = p.dispatcher.home.stalls.Within(p.sentAt, p.dispatcher.Clock.Now())
	p.dispatcher.step(step{Number: p.number, Service: p.want.Service, Progress: done, Outcome: outcome, Flow: flow})
}
