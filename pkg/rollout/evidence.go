package rollout

import (
	"maps"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Observation is the outcome of one request at a target.
type Observation struct {
	At          clock.Millis          // when the owner recorded it, by its own clock
	Incarnation ids.TargetIncarnation // of its target
	Route       ids.Route
	// Failed says that the target failed the request. Ratio is its duration relative to the same request on an
	// ordinary target, and Factor the target's slowdown relative to an ordinary one; 0 if unknown.
	Failed        bool
	Ratio, Factor float64
	// Loaded says that most slots of the target were taken when the request was granted to it.
	Loaded bool
}

// recentWindow is the span of recent evidence, which is evaluated separately so that earlier good answers don't mask a
// version that turns bad later.
const recentWindow = 6 * clock.Second

// tally counts answers and how many of them were bad.
type tally struct{ n, bad int }

func (t *tally) add(bad bool) {
	t.n++
	if bad {
		t.bad++
	}
}

// answerHistory counts answers since the start of the trial, and keeps those of the last recentWindow before the newest
// evaluation and later ones, the oldest first.
type answerHistory struct {
	all    tally
	recent []answer
}

// answer is one recent answer.
type answer struct {
	at  clock.Millis // when the owner recorded it, by its own clock
	bad bool
}

// add counts an answer; at is no earlier than that of the last one.
func (h *answerHistory) add(at clock.Millis, bad bool) {
	h.all.add(bad)
	h.recent = append(h.recent, answer{at, bad})
}

// dropBefore drops answers recorded before a moment from the recent ones; the counts stay.
func (h *answerHistory) dropBefore(before clock.Millis) {
	i := 0
	for i < len(h.recent) && h.recent[i].at < before {
		i++
	}
	h.recent = slices.Delete(h.recent, 0, i)
}

// tally counts the recent answers, or all of them.
func (h *answerHistory) tally(recent bool) tally {
	if !recent {
		return h.all
	}
	var t tally
	for _, a := range h.recent {
		t.add(a.bad)
	}
	return t
}

// historyKey identifies the counter to which an answer is added.
type historyKey struct {
	incarnation ids.TargetIncarnation
	route       ids.Route
	loaded      bool // most slots of the target were taken
}

// subset selects a part of the evidence: one route if that is set, or only answers of loaded targets, which had most of
// their slots taken. The zero value selects everything.
type subset struct {
	route  ids.Route
	loaded bool
}

// contains reports whether the answers that a key counts belong to the subset.
func (s subset) contains(c historyKey) bool {
	return (s.route == "" || s.route == c.route) && (!s.loaded || c.loaded)
}

// String names the subset for logs.
func (s subset) String() string {
	switch {
	case s.loaded:
		return "loaded targets"
	case s.route != "":
		return "route " + string(s.route)
	}
	return "all routes"
}

// versionHistory holds the answers of one version by target, route and load.
type versionHistory struct {
	histories map[historyKey]*answerHistory
}

func newVersionHistory() versionHistory {
	return versionHistory{histories: make(map[historyKey]*answerHistory)}
}

// add adds an answer, which is bad or not, to the counter of its target, route and load.
func (v *versionHistory) add(o Observation, bad bool) {
	c := historyKey{o.Incarnation, o.Route, o.Loaded}
	h := v.histories[c]
	if h == nil {
		h = &answerHistory{}
		v.histories[c] = h
	}
	h.add(o.At, bad)
}

// dropBefore drops answers recorded before a moment from the recent ones; the counts since the start of the trial stay.
func (v *versionHistory) dropBefore(before clock.Millis) {
	for _, h := range v.histories {
		h.dropBefore(before)
	}
}

// byTarget sums the answers of a subset by target; each incarnation of a target counts separately.
func (v *versionHistory) byTarget(sub subset, recent bool) map[ids.TargetIncarnation]tally {
	return sumBy(v, sub, recent, func(c historyKey) ids.TargetIncarnation { return c.incarnation })
}

// byRoute sums all answers by route.
func (v *versionHistory) byRoute() map[ids.Route]tally {
	return sumBy(v, subset{}, false, func(c historyKey) ids.Route { return c.route })
}

// sumBy sums the answers of a subset, grouped by key.
func sumBy[K comparable](g *versionHistory, sub subset, recent bool, key func(historyKey) K) map[K]tally {
	sums := make(map[K]tally)
	for c, h := range g.histories {
		if !sub.contains(c) {
			continue
		}
		t := h.tally(recent)
		sum := sums[key(c)]
		sums[key(c)] = tally{sum.n + t.n, sum.bad + t.bad}
	}
	return sums
}

// Evidence collects the answers of the canary and, over the same time, of the old version. It has no lock: the owner of
// the service calls it under its own.
type Evidence struct {
	// answers are the last maxAnswers of the canary, the oldest first. Which of them were slow is determined again at
	// each evaluation, since the first answers of a target say little until there are more.
	answers                []timedObservation
	newVersion, oldVersion versionHistory
	latency                latencies
	// loaded and oldLoaded count the answers of the canary and of the old version from targets that had most of their
	// slots taken, oldAnswers all answers of the old version.
	loaded, oldLoaded int
	oldAnswers        int
	// inherited is the evidence that earlier owners had collected.
	inherited Summary
	// excused are incarnations that ended under a request that ends targets whatever their version.
	excused map[ids.TargetIncarnation]bool
}

// timedObservation is an answer of the canary with its duration relative to the typical one of its route, 0 if that is
// not known.
type timedObservation struct {
	Observation
	relative float64
}

// maxAnswers limits the canary's answers that are kept: beyond some hundred, more answers add no information.
const maxAnswers = 4000

// NewEvidence returns evidence that starts with what an earlier owner had collected.
func NewEvidence(inherited Summary) *Evidence {
	return &Evidence{newVersion: newVersionHistory(), oldVersion: newVersionHistory(), latency: newLatencies(), inherited: inherited}
}

// maxExcused limits the excused incarnations: two requests that end their targets account for so many. If targets of a
// version end by themselves, they end under various requests, and there are more of them.
const maxExcused = 6

// Excuse ignores the failures of these incarnations for both versions. A request that ends its target also fails
// everything that runs beside it. Which request it was is known only when a second target ends under it, and by then
// the failures at the first one have been recorded. The caller holds the owner's lock.
func (e *Evidence) Excuse(incarnations []ids.TargetIncarnation) {
	for _, incarnation := range incarnations {
		if e.excused[incarnation] || len(e.excused) >= maxExcused {
			continue
		}
		if e.excused == nil {
			e.excused = make(map[ids.TargetIncarnation]bool)
		}
		e.excused[incarnation] = true
		maps.DeleteFunc(e.oldVersion.histories, func(c historyKey, _ *answerHistory) bool { return c.incarnation == incarnation })
		e.dropTruncated(incarnation)
	}
}

// dropTruncated removes the failed answers of an excused incarnation from its typical durations: compared with answers
// that the target end cut short, complete ones would look slow. On the old version it removes all durations of the
// incarnation, since that version's answers are not kept.
func (e *Evidence) dropTruncated(incarnation ids.TargetIncarnation) {
	delete(e.latency.oldTargets, incarnation)
	delete(e.latency.newTargets, incarnation)
	for _, a := range e.answers {
		if a.Incarnation == incarnation && !a.Failed && a.relative > 0 {
			sampleFor(e.latency.newTargets, incarnation).add(a.relative)
		}
	}
}

// Add adds an answer of the canary, with onTrial, or of the old version. Failures of excused incarnations are ignored.
// Whether the old version's answer was slow is decided here, for the canary's only at each evaluation. The caller holds
// the owner's lock.
func (e *Evidence) Add(onTrial bool, o Observation) {
	if o.Failed && e.excused[o.Incarnation] {
		return
	}
	relative := e.latency.add(onTrial, o)
	loaded := &e.oldLoaded
	if onTrial {
		loaded = &e.loaded
		e.answers = append(e.answers, timedObservation{o, relative})
		e.answers = e.answers[max(0, len(e.answers)-maxAnswers):]
	} else {
		e.oldVersion.add(o, o.Failed || e.latency.slow(false, o.Incarnation, relative))
		e.oldAnswers++
	}
	if o.Loaded {
		*loaded++
	}
}

// classify rebuilds the canary's counts: an answer is bad if it failed or was slow by what is known now.
func (e *Evidence) classify() {
	e.newVersion = newVersionHistory()
	for _, a := range e.answers {
		if a.Failed && e.excused[a.Incarnation] {
			continue
		}
		e.newVersion.add(a.Observation, a.Failed || e.latency.slow(true, a.Incarnation, a.relative))
	}
}

// SetFactors sets how much slower than ordinary ones the old version's targets are, as far as known, including targets
// that get few requests. It has no effect before the first answer of the old version with a known duration.
func (e *Evidence) SetFactors(factors []float64) {
	e.latency.setFactors(factors)
}

// Summary returns the counts of the evidence, including those of earlier owners.
func (e *Evidence) Summary() Summary {
	e.classify()
	own := Summary{}
	for route, t := range e.newVersion.byRoute() {
		own.Requests += t.n
		own.Bad += t.bad
		own.Routes = append(own.Routes, RouteSummary{Route: route, Requests: t.n, Bad: t.bad})
	}
	old := Summary{}
	for route, t := range e.oldVersion.byRoute() {
		old.Routes = append(old.Routes, RouteSummary{Route: route, Old: t.n, OldBad: t.bad})
	}
	s := e.inherited.plus(own, 1).plus(old, 1)
	all := e.compare(subset{}, false)
	s.Targets, s.WorseTargets = all.targets, all.worse
	return s
}

// oldUnderLoad reports whether a considerable fraction of the old version's answers comes from loaded targets.
func (e *Evidence) oldUnderLoad() bool {
	return e.oldLoaded >= oldLoadedAnswers && float64(e.oldLoaded) >= oldLoadedFraction*float64(e.oldAnswers)
}

// ownAnswers returns the number of canary answers that this owner has seen itself, at most maxAnswers.
func (e *Evidence) ownAnswers() int { return len(e.answers) }

// subsets lists the parts of the evidence that are evaluated separately: everything, loaded targets, and each route on
// which the canary has answered.
func (e *Evidence) subsets() []subset {
	list := []subset{{}, {loaded: true}}
	for _, route := range slices.Sorted(maps.Keys(e.newVersion.byRoute())) {
		list = append(list, subset{route: route})
	}
	return list
}
