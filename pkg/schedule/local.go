package schedule

import (
	"context"
	"slices"
	"sync"

	"quaydock/pkg/ablation"
	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/slowdown"
	"quaydock/pkg/view"
)

// Local assigns requests by what this entry alone knows. It serves targets
// without an agent, and all targets while no agent can be reached.
type Local struct {
	common.Common
	view   *view.View
	advice *advisory.Tracker

	mu      sync.Mutex
	targets map[ids.TargetIncarnation]*targetState
	// persistence is learned from the reports of all targets.
	persistence slowdown.Persistence
}

// targetState is what this entry knows of one incarnation of a target.
type targetState struct {
	running int // assignments of this scheduler that are not done
	health  planner.Health
	// slowdown is what the target reported with the answers to assignments of this scheduler.
	slowdown slowdown.Estimate
}

// NewLocal returns a scheduler without running requests. It assigns none to targets that have told this entry to
// send nothing, by their advice.
func NewLocal(c common.Common, v *view.View, advice *advisory.Tracker) *Local {
	return &Local{Common: c, view: v, advice: advice, targets: make(map[ids.TargetIncarnation]*targetState)}
}

// noTargetRetry is the RetryAfter of a refusal if there is no target.
const noTargetRetry = 500 * clock.Millisecond

// refusalFor returns the refusal for a request that it cannot give to any of these targets from this entry: because all
// of its version back off, or because there is none.
func refusalFor(c common.Common, advice *advisory.Tracker, request Request, targets []*routing.Target) *Refused {
	targets = slices.DeleteFunc(slices.Clone(targets), func(t *routing.Target) bool { return !request.FitsVersion(t) })
	if backoff := advice.ShortestBackoff(targets); backoff > 0 {
		return &Refused{BackedOff: true, Wait: backoff, RetryAfter: planner.AfterBackoff(backoff, c.Random.Fork().Float64())}
	}
	return &Refused{RetryAfter: noTargetRetry}
}

// Acquire assigns the least loaded target, or refuses, at once.
func (l *Local) Acquire(ctx context.Context, request Request) (Assignment, *Refused, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.best(request)
	if target == nil {
		return nil, refusalFor(l.Common, l.advice, request, l.view.Directory().Serving(request.Service)), nil
	}
	l.stateOf(target.Incarnation()).running++
	return &localAssignment{local: l, target: target}, nil, nil
}

// stateOf returns the state of a target incarnation, and creates it for a new one. The lock is held.
func (l *Local) stateOf(incarnation ids.TargetIncarnation) *targetState {
	r := l.targets[incarnation]
	if r == nil {
		r = &targetState{}
		l.targets[incarnation] = r
	}
	return r
}

// best returns the target with the fewest requests per slot, or nil; the lock is held. Ejected targets are taken only
// if there are no others, those that the request excludes only after these. Those of another version than the request's
// are never taken, nor are cold and rate-limited ones: only the owner divides up what all entries together may send them.
func (l *Local) best(request Request) *routing.Target {
	now := l.Clock.Now()
	random := l.Random.Fork()
	service := l.view.Catalog().Service(request.Service)
	var best *routing.Target
	var minCost float64 // in requests per slot
	for _, t := range l.view.Directory().Serving(request.Service) {
		status := l.advice.Status(t.Incarnation())
		if !request.FitsVersion(t) || status.Blocks() || status.Limit.IsLimited() || t.Cold(now, service) {
			continue
		}
		r := l.stateOf(t.Incarnation())
		// The random part, of less than one request, spreads requests over targets with as many running.
		cost := (float64(r.running) + random.Float64()/2) / float64(max(1, t.Slots))
		// On a slowed target the request itself takes longer too.
		slowed := float64(r.slowdown.Forecast(now).Now())
		cost = cost*slowed + (slowed-float64(slowdown.Usual))/float64(max(1, t.Slots))
		if r.health.Ejected(now) {
			const ejectedCost = 1000 // outweighs the load of the other targets
			cost += ejectedCost
		}
		if slices.Contains(request.Exclude, t.Incarnation()) {
			const triedCost = 2000 // outweighs ejectedCost too
			cost += triedCost
		}
		if best == nil || cost < minCost {
			best, minCost = t, cost
		}
	}
	return best
}

// localAssignment is an assignment of Local, which never re-dispatches.
type localAssignment struct {
	local  *Local
	target *routing.Target
}

func (a *localAssignment) Target() *routing.Target { return a.target }

// Began records the slowness that the target has reported; the rest of the report is not used.
func (a *localAssignment) Began(load *planner.Load) {
	l := a.local
	if load == nil || l.Ablation.Off(ablation.TargetSlowdown) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateOf(a.target.Incarnation()).slowdown.Report(l.Clock.Now(), load.Slowdown, &l.persistence)
}

func (a *localAssignment) Redispatched() <-chan struct{} { return nil }

// Done counts the request as no longer running and records its outcome for the target's health.
func (a *localAssignment) Done(o planner.Outcome, _ planner.StreamStats) {
	l := a.local
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.stateOf(a.target.Incarnation())
	r.running--
	r.health.Record(l.Clock.Now(), o)
}
