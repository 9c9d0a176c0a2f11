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

// Policy names a scheduler, so that the same deployment can be measured with
// simple ones beside the planners.
type Policy string

// The policies.
const (
	// Planned: one planner for each service.
	Planned Policy = "planned"
	// RoundRobin: the targets in turn.
	RoundRobin Policy = "round-robin"
	// LeastReported: the target with the least load as it last reported, up to
	// reportAge ago.
	LeastReported Policy = "least-reported"
)

// reportAge is for how long a report is relied on.
const reportAge = 1500 * clock.Millisecond

// Baseline places at once, by a simple policy and by what this entry saw alone.
type Baseline struct {
	common.Common
	view   *view.View
	policy Policy
	advice *advisory.Tracker

	mu      sync.Mutex
	turns   map[ids.Service]int
	reports map[ids.TargetIncarnation]report
}

type report struct {
	load int
	at   clock.Millis
}

// NewBaseline returns a scheduler of a simple policy.
func NewBaseline(c common.Common, v *view.View, policy Policy, advice *advisory.Tracker) *Baseline {
	return &Baseline{Common: c, view: v, policy: policy, advice: advice, turns: make(map[ids.Service]int), reports: make(map[ids.TargetIncarnation]report)}
}

// Acquire gives a target at once.
func (b *Baseline) Acquire(ctx context.Context, ask Request) (Assignment, *Refused, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var offered []*routing.Target
	for _, t := range b.view.Directory().Serving(ask.Service) {
		if !slices.Contains(ask.Exclude, t.Incarnation()) && !b.advice.Status(t.Incarnation()).Blocks() {
			offered = append(offered, t)
		}
	}
	if len(offered) == 0 {
		return nil, refusedBy(b.Common, b.advice, b.view.Directory().Serving(ask.Service)), nil
	}
	slices.SortFunc(offered, func(x, y *routing.Target) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return &baselinePlace{baseline: b, target: b.pick(ask.Service, offered)}, nil, nil
}

func (b *Baseline) pick(service ids.Service, offered []*routing.Target) *routing.Target {
	b.turns[service]++
	first := b.turns[service] % len(offered)
	best := offered[first]
	if b.policy == RoundRobin {
		return best
	}
	now := b.Clock.Now()
	for i := range offered {
		// From the turn on, so that equal ones are taken in turn.
		if t := offered[(first+i)%len(offered)]; b.load(now, t.Incarnation()) < b.load(now, best.Incarnation()) {
			best = t
		}
	}
	return best
}

func (b *Baseline) load(now clock.Millis, life ids.TargetIncarnation) int {
	if r := b.reports[life]; now-r.at <= reportAge {
		return r.load
	}
	return 0
}

type baselinePlace struct {
	baseline *Baseline
	target   *routing.Target
}

func (p *baselinePlace) Target() *routing.Target { return p.target }

func (p *baselinePlace) Began(load *planner.Load) {
	if load == nil {
		return
	}
	p.baseline.mu.Lock()
	defer p.baseline.mu.Unlock()
	p.baseline.reports[p.target.Incarnation()] = report{load: load.Running + load.Waiting, at: p.baseline.Clock.Now()}
}

func (p *baselinePlace) Moved() <-chan struct{} { return nil }

func (p *baselinePlace) Done(planner.Outcome, planner.StreamStats) {}
