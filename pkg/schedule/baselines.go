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

// Policy names a scheduler. Besides the planners there are simple ones, to measure the same
// deployment with them for comparison.
type Policy string

// The policies.
const (
	// Planned uses one planner for each service.
	Planned Policy = "planned"
	// RoundRobin takes the targets in turn.
	RoundRobin Policy = "round-robin"
	// LeastReported takes the target with the least load by its last report, if that is at
	// most maxReportAge old.
	LeastReported Policy = "least-reported"
)

// maxReportAge is how long a load report is used; after that the target counts as idle until its next report.
const maxReportAge = 1500 * clock.Millisecond

// Baseline assigns requests at once, by a simple policy and by what this entry alone has seen.
type Baseline struct {
	common.Common
	view   *view.View
	policy Policy
	advice *advisory.Tracker

	mu      sync.Mutex
	turns   map[ids.Service]int // how many requests were assigned, each beginning at the next target
	reports map[ids.TargetIncarnation]report
}

// report is the last load report of a target.
type report struct {
	load int // requests running and waiting
	at   clock.Millis
}

// NewBaseline returns a scheduler with a simple policy, RoundRobin or LeastReported.
func NewBaseline(c common.Common, v *view.View, policy Policy, advice *advisory.Tracker) *Baseline {
	return &Baseline{Common: c, view: v, policy: policy, advice: advice, turns: make(map[ids.Service]int), reports: make(map[ids.TargetIncarnation]report)}
}

// Acquire returns an assignment or a refusal at once.
func (b *Baseline) Acquire(ctx context.Context, request Request) (Assignment, *Refused, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var offered []*routing.Target
	for _, t := range b.view.Directory().Serving(request.Service) {
		if request.MayGet(t) && !b.advice.Status(t.Incarnation()).Blocks() {
			offered = append(offered, t)
		}
	}
	if len(offered) == 0 {
		return nil, refusalFor(b.Common, b.advice, request, b.view.Directory().Serving(request.Service)), nil
	}
	slices.SortFunc(offered, func(x, y *routing.Target) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return &baselineAssignment{baseline: b, target: b.pick(request.Service, offered)}, nil, nil
}

// pick returns the target by the policy; offered holds at least one. The lock is held.
func (b *Baseline) pick(service ids.Service, offered []*routing.Target) *routing.Target {
	b.turns[service]++
	first := b.turns[service] % len(offered)
	best := offered[first]
	if b.policy == RoundRobin {
		return best
	}
	now := b.Clock.Now()
	for i := range offered {
		// Start at this turn's target, so that equally loaded targets are taken in turn.
		if t := offered[(first+i)%len(offered)]; b.load(now, t.Incarnation()) < b.load(now, best.Incarnation()) {
			best = t
		}
	}
	return best
}

// load returns a target's last reported number of requests, 0 without a recent report. The lock is held.
func (b *Baseline) load(now clock.Millis, incarnation ids.TargetIncarnation) int {
	if r := b.reports[incarnation]; now-r.at <= maxReportAge {
		return r.load
	}
	return 0
}

// baselineAssignment is an assignment of Baseline, which never re-dispatches and keeps only reports: it counts no
// running requests, so Done has nothing to do.
type baselineAssignment struct {
	baseline *Baseline
	target   *routing.Target
}

func (a *baselineAssignment) Target() *routing.Target { return a.target }

// Began stores the target's load report.
func (a *baselineAssignment) Began(load *planner.Load) {
	if load == nil {
		return
	}
	a.baseline.mu.Lock()
	defer a.baseline.mu.Unlock()
	a.baseline.reports[a.target.Incarnation()] = report{load: load.Running + load.Waiting, at: a.baseline.Clock.Now()}
}

func (a *baselineAssignment) Redispatched() <-chan struct{} { return nil }

func (a *baselineAssignment) Done(planner.Outcome, planner.StreamStats) {}
