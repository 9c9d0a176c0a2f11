package schedule

import (
	"context"
	"slices"
	"sync"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
)

// Local places requests by what this entry alone knows. It serves targets
// without an agent, and everything while no agent can be reached.
type Local struct {
	common.Common
	view   *view.View
	advice *advisory.Tracker

	mu      sync.Mutex
	targets map[ids.TargetIncarnation]*record
}

// record is what is known of one life of a target.
type record struct {
	running int
	health  planner.Health
}

// NewLocal returns a scheduler that has placed nothing. It gives no target that has told this entry to
// send nothing, as the book has it.
func NewLocal(c common.Common, v *view.View, advice *advisory.Tracker) *Local {
	return &Local{Common: c, view: v, advice: advice, targets: make(map[ids.TargetIncarnation]*record)}
}

const noTargetRetry = 500 * clock.Millisecond

// refusedBy says why none of some targets may get a request from here.
func refusedBy(c common.Common, advice *advisory.Tracker, targets []*routing.Target) *Refused {
	if rest := advice.AllBackoff(targets); rest > 0 {
		return &Refused{BackedOff: true, Wait: rest, RetryAfter: planner.AfterBackoff(rest, c.Random.Fork().Float64())}
	}
	return &Refused{RetryAfter: noTargetRetry}
}

// Acquire gives the least loaded target at once.
func (l *Local) Acquire(ctx context.Context, ask Request) (Assignment, *Refused, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.best(ask)
	if target == nil {
		return nil, refusedBy(l.Common, l.advice, l.view.Directory().Serving(ask.Service)), nil
	}
	l.record(target.Incarnation()).running++
	return &localPlace{local: l, target: target}, nil, nil
}

func (l *Local) record(life ids.TargetIncarnation) *record {
	r := l.targets[life]
	if r == nil {
		r = &record{}
		l.targets[life] = r
	}
	return r
}

// best returns the target with the least work for its slots. Targets set aside are taken only if there are no
// others, and cold and limited ones never: what all entries may send them together is given out by the home alone.
func (l *Local) best(ask Request) *routing.Target {
	now := l.Clock.Now()
	random := l.Random.Fork()
	service := l.view.Catalog().Service(ask.Service)
	var best *routing.Target
	var least float64
	for _, t := range l.view.Directory().Serving(ask.Service) {
		said := l.advice.Status(t.Incarnation())
		if said.Blocks() || said.Limit.IsLimited() || t.Cold(now, service) {
			continue
		}
		r := l.record(t.Incarnation())
		cost := (float64(r.running) + random.Float64()/2) / float64(max(1, t.Slots))
		if r.health.Ejected(now) {
			const setAside = 1000
			cost += setAside
		}
		if slices.Contains(ask.Exclude, t.Incarnation()) {
			const tried = 2000
			cost += tried
		}
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

type localPlace struct {
	local  *Local
	target *routing.Target
}

func (p *localPlace) Target() *routing.Target { return p.target }

func (p *localPlace) Began(*planner.Load) {}

func (p *localPlace) Moved() <-chan struct{} { return nil }

func (p *localPlace) Done(o planner.Outcome, _ planner.StreamStats) {
	l := p.local
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(p.target.Incarnation())
	r.running--
	r.health.Record(l.Clock.Now(), o)
}
