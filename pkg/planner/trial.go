package planner

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Trial sets what a canary version gets of the jobs whose entries may send them to it.
type Trial struct {
	// Fraction is the fraction of all jobs that go to the canary version.
	Fraction float64
	// UnrepeatableUntil, if set, is from when on the other targets must run no job that could not be re-dispatched to
	// another target: such jobs go to the canary version unless they will probably have ended by then.
	UnrepeatableUntil clock.Millis
	// NoUnrepeatable is set if no such job is given to the other targets any more.
	NoUnrepeatable bool
	// OpensAt, if set, is when the canary targets get all jobs: their version has taken over, and jobs wait for
	// that moment.
	OpensAt clock.Millis
}

// trial is the planner's state for the trial of a version.
type trial struct {
	Trial
	observing bool      // record observations
	targets   []*target // targets of the canary version
	// credit is, by route, how many jobs are still due to the canary version, below 0 after an overdraft: half of it
	// grows with the requests of the route and half in equal measure for all routes, so that routes with few requests
	// are tried as well, also under load, when the order of the queue would exclude lower tiers. totalCredit is the sum.
	credit      map[ids.Route]float64
	totalCredit float64
	routes      []ids.Route // known routes, in the order in which they get credit
	next        int         // index in routes of the last one that got credit in its turn
	toNextRoute bool        // the last job added credit for the next route, so the next job adds it for its own
	// filling is the target that is being filled until fillUntil.
	filling      ids.TargetIncarnation
	fillUntil    clock.Millis
	observations []Observation // made since the last call of Observations
}

// Observation is the result of a job at a target, for evaluating versions.
type Observation struct {
	Incarnation ids.TargetIncarnation
	Route       ids.Route
	Trial       bool // the target was on trial when the job was granted
	Failed      bool
	// Ratio is the duration of the job relative to the expected one on a target of factor 1; Factor is the factor
	// of its target.
	Ratio, Factor float64
	// Loaded is set if most slots of its target were taken.
	Loaded bool
}

const (
	// maxCredit limits the credit of a route; what a route with few requests cannot use goes to the others.
	maxCredit = 8
	// fillDuration is how long one target is filled with the saved credit: the few jobs that a canary version gets
	// would load none of its targets, and a version that is bad under load would not show it. So credit is saved
	// until it fills one target, and targets are filled one after the other.
	fillDuration = clock.Second
	// maxOverdraft is by how many jobs one route may exceed its credit at a target that is being filled, so that
	// the target is full before its first jobs have ended.
	maxOverdraft = 8
	// overdueCredit is the credit from which a route is tried at once: jobs of routes with few requests do not
	// arrive while a target is filled.
	overdueCredit = 5
	// initialCredit is the credit of a new route, so that short roll-out orders tell something about it: the part
	// of the limit that does not grow with the requests allows for it.
	initialCredit = 3
	// outlastMargin multiplies the estimated remaining time of an answer that must not outlast its target.
	outlastMargin = 3.0
)

// SetTrial sets what a canary version gets; watch enables observations.
func (p *Planner) SetTrial(t Trial, watch bool) {
	p.trial.Trial = t
	p.trial.observing = watch
	if !watch {
		p.trial.observations = nil
		p.trial.resetCredit()
	}
}

// Observations returns the observations made since the last call.
func (p *Planner) Observations() []Observation {
	taken := p.trial.observations
	p.trial.observations = nil
	return taken
}

// TargetCounts returns the number of canary targets and of other eligible targets.
func (p *Planner) TargetCounts() (canary, others int) {
	return len(p.trial.targets), len(p.eligible)
}

// KnownFactors returns the known factors of the targets that do not run the canary version.
func (p *Planner) KnownFactors() []float64 {
	var list []float64
	for _, t := range p.eligible {
		if t.factor.known {
			list = append(list, t.factor.value)
		}
	}
	return list
}

// UnrepeatableRuns returns the number of jobs that run on other than canary targets and could not be re-dispatched.
func (p *Planner) UnrepeatableRuns() int {
	n := 0
	for _, r := range p.runs {
		if !r.canary && !r.Movable {
			n++
		}
	}
	return n
}

// addCredit adds credit for a granted job of a route, in turns to that route and to the next one that can use it.
func (t *trial) addCredit(route ids.Route) {
	if t.Fraction <= 0 {
		return
	}
	if t.credit == nil {
		t.credit = make(map[ids.Route]float64)
	}
	if _, seen := t.credit[route]; !seen {
		t.credit[route] = initialCredit
		t.totalCredit += initialCredit
		t.routes = append(t.routes, route)
	}
	t.toNextRoute = !t.toNextRoute
	if !t.toNextRoute && t.credit[route] < maxCredit {
		t.credit[route] += t.Fraction
		t.totalCredit += t.Fraction
		return
	}
	for range t.routes {
		t.next = (t.next + 1) % len(t.routes)
		if next := t.routes[t.next]; t.credit[next] < maxCredit {
			t.credit[next] += t.Fraction
			t.totalCredit += t.Fraction
			return
		}
	}
}

// resetCredit forgets all routes and their credit.
func (t *trial) resetCredit() {
	t.credit, t.routes, t.totalCredit = nil, nil, 0
}

// spendCredit records that a job of a route was given to the canary version; like any granted job it also adds credit.
func (t *trial) spendCredit(route ids.Route) {
	t.addCredit(route)
	t.credit[route]--
	t.totalCredit--
}

// canaryOnly reports whether a job may go only to canary targets: it could not be re-dispatched, and the other targets
// get no such job any more.
func (t *trial) canaryOnly(w *queuedJob) bool {
	return t.NoUnrepeatable && !w.Movable
}

// placeOnCanary assigns jobs that are due to canary targets. The order of the queue holds, and jobs that must
// wait for a higher tier get nothing here either.
func (p *Planner) placeOnCanary(now clock.Millis) {
	if p.trial.Fraction <= 0 || len(p.trial.targets) == 0 {
		return
	}
	p.chooseFillTarget(now)
	p.queue.sort(now)
	p.queue.removeIf(func(w *queuedJob) bool {
		if !w.Trial || p.mustWait(now, w) || !p.dueForCanary(now, w) {
			return false
		}
		t := p.canaryTarget(now, w)
		if t == nil {
			return false
		}
		p.trial.spendCredit(w.Route)
		p.grant(now, w, t).canary = true
		return true
	})
}

// dueForCanary reports whether a job's route is due for the canary version, or the job must not run on the other
// targets, or may get targets of one version only. A route is due with overdueCredit, or while a target is being filled, credit is left in all, and the route's
// overdraft is below its limit.
func (p *Planner) dueForCanary(now clock.Millis, w *queuedJob) bool {
	if w.Version != nil {
		return true // canaryTarget finds one only if the stream began at the canary version
	}
	credit := p.trial.credit[w.Route]
	if credit >= overdueCredit || now < p.trial.fillUntil && p.trial.totalCredit >= 1 && credit >= 1-maxOverdraft {
		return true
	}
	return p.trial.canaryOnly(w) || p.trial.UnrepeatableUntil > 0 && !w.Movable && p.outlasts(now, w)
}

// chooseFillTarget chooses the next target to be filled once enough credit is saved: of those filled least often, one
// by a hash of its id and the time.
func (p *Planner) chooseFillTarget(now clock.Millis) {
	if now < p.trial.fillUntil || len(p.trial.targets) == 0 {
		return
	}
	salt := strconv.FormatInt(int64(now), 10)
	order := func(t *target) uint64 { return xxhash.Sum64String(string(t.ID) + salt) }
	next := slices.MinFunc(p.trial.targets, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.fillCount, b.fillCount), cmp.Compare(order(a), order(b)))
	})
	if p.trial.totalCredit < float64(next.capacity()) {
		return
	}
	next.fillCount++
	p.trial.filling = next.Incarnation()
	p.trial.fillUntil = now + fillDuration
}

// outlasts reports whether a job granted now may still run at UnrepeatableUntil.
func (p *Planner) outlasts(now clock.Millis, w *queuedJob) bool {
	if w.Deadline <= p.trial.UnrepeatableUntil {
		return false
	}
	remaining := p.timings.firstEventTime(w.Prompt) + outlastMargin*float64(w.Events)*p.timings.eventInterval(1)
	return now+clock.Millis(remaining) > p.trial.UnrepeatableUntil
}

// canaryTarget returns the canary target for a job, or nil if it cannot take the job: the one being filled, or, once
// UnrepeatableUntil is set or for a stream that began at the canary version, the cheapest of all. A target that was ejected gets one job at a time until it served one.
func (p *Planner) canaryTarget(now clock.Millis, w *queuedJob) *target {
	var best *target
	for _, t := range p.trial.targets {
		switch {
		case !p.hasFreeSlot(now, t, true) || t.health.Ejected(now) || !t.mayGet(now, &w.Job) || !t.admits(now, w.ID.Entry):
		case p.trial.UnrepeatableUntil == 0 && t.Incarnation() != p.trial.filling && w.Version == nil:
		case best == nil || p.cost(now, t, &w.Job) < p.cost(now, best, &w.Job):
			best = t
		}
	}
	return best
}

// observe records the result of a job, if observations are wanted and the result tells something of the target.
func (p *Planner) observe(now clock.Millis, r *run, outcome Outcome, flow StreamStats) {
	if !p.trial.observing {
		return
	}
	o := Observation{Incarnation: r.target.Incarnation(), Route: r.Route, Trial: r.canary, Failed: outcome == Failed, Factor: r.target.factor.get()}
	o.Loaded = float64(r.concurrency) >= loadedFraction*float64(r.target.capacity())
	// The job is expected to have run beside as many as the mean of those at its grant and now.
	expected := p.timings.firstEventTime(r.promptAhead) + float64(flow.Events)*p.timings.eventInterval((r.concurrency+len(r.target.runs))/2)
	// What passes at the target is not its version's; a version that is slow for good still shows.
	took := float64(max(0, now-r.grantedAt-flow.Stalled)) / r.meanExcess(now)
	o.Ratio = took / max(1, expected)
	switch {
	case outcome == Served, outcome == Failed:
	case outcome == Abandoned && o.Ratio >= abandonedSlowRatio:
		// The caller waited far longer than such a job takes.
	default:
		return
	}
	p.trial.observations = append(p.trial.observations, o)
}

// loadedFraction is the fraction of taken slots from which a target counts as loaded.
const loadedFraction = 0.7

// abandonedSlowRatio is the ratio from which a job that its caller abandoned counts as evidence that its target is
// slow.
const abandonedSlowRatio = 3.0
