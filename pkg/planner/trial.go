package planner

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Trial is what a version on trial gets of the jobs whose entries may send them to it.
type Trial struct {
	// Share is the part of all jobs.
	Fraction float64
	// Leave, if set, is when the other targets are to run no job that could not be sent to
	// another target: those that would not surely have ended go to the version on trial.
	UnrepeatableUntil clock.Millis
	// Close says that no job of that kind is given to the other targets any more.
	NoUnrepeatable bool
	// Opens, if set, is when the targets on trial get all jobs: their version has taken over, and
	// jobs wait for that moment.
	OpensAt clock.Millis
}

// trial is a planner's part in the trial of a version.
type trial struct {
	Trial
	watched bool      // observations are wanted
	targets []*target // of the version on trial
	// earned is how many jobs of each route are still to go to it: half of them by the routes'
	// requests, and half for all routes alike, so that those with few are tried as well, also under
	// load, when the queue's order would leave lower tiers out. saved is their sum.
	earned map[ids.Route]float64
	saved  float64
	routes []ids.Route // those seen; the next one earns next
	next   int
	alike  bool // the next job earns for the next route, not for its own
	// filled is the target that is being filled, up to fillUntil.
	filled       ids.TargetIncarnation
	fillUntil    clock.Millis
	observations []Observation
}

// Observation is what became of a job at a target, for the one who judges versions.
type Observation struct {
	Incarnation ids.TargetIncarnation
	Route       ids.Route
	Trial       bool
	Failed      bool
	// Ratio is how much longer it took than such a job takes on a target of factor 1, and Factor
	// that of its target.
	Ratio, Factor float64
	// Loaded says that most places of its target were taken.
	Loaded bool
}

const (
	// mostEarned bounds what a route saves up; what a route with few requests cannot use goes to
	// the others.
	mostEarned = 8
	// fillFor is for how long one target is filled with what was saved up: the few jobs that a
	// version on trial gets would load none of its targets, and one that is bad under load would not
	// show it. So they are saved until they fill one target, and one target after the other is filled.
	fillFor = clock.Second
	// mostBorrowed is how many jobs of one route go to a target that is filled beyond what the
	// route has saved up, so that it is full before its first jobs have ended.
	mostBorrowed = 8
	// overdue is how many jobs of a route are to be saved up for it to be tried at once: jobs of
	// routes with few requests do not come while a target is filled.
	overdue = 5
	// firstEarned is what a route begins with, so that short orders tell something of it: the part of
	// the bound that does not grow with the requests has room for it.
	firstEarned = 3
	// outlastDoubt is how much longer than guessed an answer is reckoned with where it must not
	// outlast its target.
	outlastDoubt = 3.0
)

// SetTrial says what a version on trial gets; watch says whether observations are wanted.
func (p *Planner) SetTrial(t Trial, watch bool) {
	p.trial.Trial = t
	p.trial.watched = watch
	if !watch {
		p.trial.observations = nil
		p.trial.forget()
	}
}

// Observations takes what was observed since the last call.
func (p *Planner) Observations() []Observation {
	taken := p.trial.observations
	p.trial.observations = nil
	return taken
}

// TrialTargets is how many targets of a version on trial there are, and how many others.
func (p *Planner) TrialTargets() (onTrial, others int) {
	return len(p.trial.targets), len(p.list)
}

// Factors lists the factors, as far as they are known, of the targets that are not on trial.
func (p *Planner) Factors() []float64 {
	var list []float64
	for _, t := range p.list {
		if t.factor.known {
			list = append(list, t.factor.value)
		}
	}
	return list
}

// Unrepeatable is how many jobs run on targets that are not on trial and could not be sent to
// another one.
func (p *Planner) Unrepeatable() int {
	n := 0
	for _, r := range p.runs {
		if !r.trial && !r.Movable {
			n++
		}
	}
	return n
}

// earn notes that a job of a route was given a target.
func (t *trial) earn(route ids.Route) {
	if t.Fraction <= 0 {
		return
	}
	if t.earned == nil {
		t.earned = make(map[ids.Route]float64)
	}
	if _, seen := t.earned[route]; !seen {
		t.earned[route] = firstEarned
		t.saved += firstEarned
		t.routes = append(t.routes, route)
	}
	t.alike = !t.alike
	if !t.alike && t.earned[route] < mostEarned {
		t.earned[route] += t.Fraction
		t.saved += t.Fraction
		return
	}
	for range t.routes {
		t.next = (t.next + 1) % len(t.routes)
		if next := t.routes[t.next]; t.earned[next] < mostEarned {
			t.earned[next] += t.Fraction
			t.saved += t.Fraction
			return
		}
	}
}

func (t *trial) forget() {
	t.earned, t.routes, t.saved = nil, nil, 0
}

// spend notes that a job of a route was given to the version on trial.
func (t *trial) spend(route ids.Route) {
	t.earn(route)
	t.earned[route]--
	t.saved--
}

// closed reports whether a job is not given to other targets than those on trial any more.
func (t *trial) closed(w *waiting) bool {
	return t.NoUnrepeatable && !w.Movable
}

// placeOnTrial gives jobs that are due to a version on trial its targets. The order of the queue
// holds, and what is held back for a higher tier gets nothing here either.
func (p *Planner) placeOnTrial(now clock.Millis) {
	if p.trial.Fraction <= 0 || len(p.trial.targets) == 0 {
		return
	}
	p.fill(now)
	p.queue.sort(now)
	p.queue.drop(func(w *waiting) bool {
		if !w.Trial || p.held(now, w) || !p.dueForTrial(now, w) {
			return false
		}
		t := p.trialTarget(now, w)
		if t == nil {
			return false
		}
		p.trial.spend(w.Route)
		p.grant(now, w, t).trial = true
		return true
	})
}

// dueForTrial reports whether it is a job's turn, or it has to leave the other targets.
func (p *Planner) dueForTrial(now clock.Millis, w *waiting) bool {
	earned := p.trial.earned[w.Route]
	if earned >= overdue || now < p.trial.fillUntil && p.trial.saved >= 1 && earned >= 1-mostBorrowed {
		return true
	}
	return p.trial.closed(w) || p.trial.UnrepeatableUntil > 0 && !w.Movable && p.outlasts(now, w)
}

// fill chooses the next target to be filled once enough is saved up.
func (p *Planner) fill(now clock.Millis) {
	if now < p.trial.fillUntil || len(p.trial.targets) == 0 {
		return
	}
	turn := strconv.FormatInt(int64(now), 10)
	order := func(t *target) uint64 { return xxhash.Sum64String(string(t.ID) + turn) }
	next := slices.MinFunc(p.trial.targets, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.tried, b.tried), cmp.Compare(order(a), order(b)))
	})
	if p.trial.saved < float64(next.limit()) {
		return
	}
	next.tried++
	p.trial.filled = next.Incarnation()
	p.trial.fillUntil = now + fillFor
}

// outlasts reports whether a job may not have ended when the other targets are left.
func (p *Planner) outlasts(now clock.Millis, w *waiting) bool {
	if w.Deadline <= p.trial.UnrepeatableUntil {
		return false
	}
	rest := p.speeds.firstTime(w.Prompt) + outlastDoubt*float64(w.Events)*p.speeds.pauseTime(1)
	return now+clock.Millis(rest) > p.trial.UnrepeatableUntil
}

// trialTarget returns the target on trial that is to get a job, or nil: the one that is being
// filled, and the quickest once work leaves the others.
func (p *Planner) trialTarget(now clock.Millis, w *waiting) *target {
	var best *target
	for _, t := range p.trial.targets {
		switch {
		case !p.room(now, t, true) || t.health.Ejected(now) || slices.Contains(w.Exclude, t.Incarnation()) || !t.admits(now, w.ID.Entry):
		case p.trial.UnrepeatableUntil == 0 && t.Incarnation() != p.trial.filled:
		case best == nil || p.cost(now, t, &w.Job) < p.cost(now, best, &w.Job):
			best = t
		}
	}
	return best
}

// observe notes what became of a job, if somebody judges versions by it.
func (p *Planner) observe(now clock.Millis, r *run, outcome Outcome, flow StreamStats) {
	if !p.trial.watched {
		return
	}
	o := Observation{Incarnation: r.target.Incarnation(), Route: r.Route, Trial: r.trial, Failed: outcome == Failed, Factor: r.target.factor.get()}
	o.Loaded = float64(r.beside) >= loadedPart*float64(r.target.limit())
	expected := p.speeds.firstTime(r.ahead) + float64(flow.Events)*p.speeds.pauseTime((r.beside+len(r.target.runs))/2)
	o.Ratio = float64(max(0, now-r.since-flow.Stalled)) / max(1, expected)
	switch {
	case outcome == Served, outcome == Failed:
	case outcome == Abandoned && o.Ratio >= givenUpSlow:
		// Its caller had waited for far longer than such a job takes.
	default:
		return
	}
	p.trial.observations = append(p.trial.observations, o)
}

// loadedPart is which part of its places a target that is loaded runs.
const loadedPart = 0.7

// givenUpSlow is from which ratio on a job that its caller gave up tells that its target is slow.
const givenUpSlow = 3.0
