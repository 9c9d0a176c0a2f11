package rollout

import (
	"maps"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Observation is what became of one request at a target.
type Observation struct {
	At          clock.Millis
	Incarnation ids.TargetIncarnation // of its target
	Route       ids.Route
	// Failed says that the target failed it; Ratio is how much longer it took than such a
	// request takes at an ordinary target, and Factor how much slower than such a one the target
	// is; 0 if that is not known.
	Failed        bool
	Ratio, Factor float64
	// Loaded says that most places of its target were taken.
	Loaded bool
}

// recentFor is the span of the recent evidence: badness that comes later is not to be
// hidden by what was good before.
const recentFor = 6 * clock.Second

// tally counts answers.
type tally struct{ n, bad int }

func (t *tally) add(bad bool) {
	t.n++
	if bad {
		t.bad++
	}
}

// history counts answers over the whole trial and of late.
type history struct {
	all    tally
	recent []answer
}

// answer is one answer of late.
type answer struct {
	at  clock.Millis
	bad bool
}

func (h *history) add(at clock.Millis, bad bool) {
	h.all.add(bad)
	h.recent = append(h.recent, answer{at, bad})
}

func (h *history) forget(before clock.Millis) {
	i := 0
	for i < len(h.recent) && h.recent[i].at < before {
		i++
	}
	h.recent = slices.Delete(h.recent, 0, i)
}

// over counts the answers of a span.
func (h *history) over(recent bool) tally {
	if !recent {
		return h.all
	}
	var t tally
	for _, a := range h.recent {
		t.add(a.bad)
	}
	return t
}

// cell is where an answer is counted.
type cell struct {
	life   ids.TargetIncarnation
	route  ids.Route
	loaded bool
}

// slice is a part of the evidence: of one route if that is set, and of loaded targets only.
type slice struct {
	route  ids.Route
	loaded bool
}

func (s slice) has(c cell) bool {
	return (s.route == "" || s.route == c.route) && (!s.loaded || c.loaded)
}

// String names a slice for logs.
func (s slice) String() string {
	switch {
	case s.loaded:
		return "loaded targets"
	case s.route != "":
		return "route " + string(s.route)
	}
	return "all routes"
}

// group is the evidence of one version, by target and route.
type group struct {
	cells map[cell]*history
}

func newGroup() group { return group{cells: make(map[cell]*history)} }

func (g *group) add(o Observation, bad bool) {
	c := cell{o.Incarnation, o.Route, o.Loaded}
	h := g.cells[c]
	if h == nil {
		h = &history{}
		g.cells[c] = h
	}
	h.add(o.At, bad)
}

func (g *group) forget(before clock.Millis) {
	for _, h := range g.cells {
		h.forget(before)
	}
}

// byTarget sums the answers of a slice by target, each of its lives for itself.
func (g *group) byTarget(of slice, recent bool) map[ids.TargetIncarnation]tally {
	return sumBy(g, of, recent, func(c cell) ids.TargetIncarnation { return c.life })
}

// byRoute sums all answers by route.
func (g *group) byRoute() map[ids.Route]tally {
	return sumBy(g, slice{}, false, func(c cell) ids.Route { return c.route })
}

// sumBy sums the answers of a slice by a part of where they are counted.
func sumBy[K comparable](g *group, of slice, recent bool, key func(cell) K) map[K]tally {
	sums := make(map[K]tally)
	for c, h := range g.cells {
		if !of.has(c) {
			continue
		}
		t := h.over(recent)
		sum := sums[key(c)]
		sums[key(c)] = tally{sum.n + t.n, sum.bad + t.bad}
	}
	return sums
}

// Evidence gathers what is known of a version on trial and of the old one meanwhile.
type Evidence struct {
	// answers are those of the version on trial. Which of them were slow is told anew each time
	// they are judged, since a target's first ones say little until there are more.
	answers    []paced
	fresh, old group
	pace       pace
	// loaded and oldLoaded count the answers of targets most of whose places were taken.
	loaded, oldLoaded int
	oldAnswers        int
	// carried is what an earlier home had gathered.
	carried Summary
	// excused are lives that ended under a request that ends targets whatever their version.
	excused map[ids.TargetIncarnation]bool
}

// paced is an answer of the version on trial, and how long it took beside others of its route.
type paced struct {
	Observation
	took float64
}

// mostAnswers bounds the answers of the version on trial that are kept: beyond some hundred
// more of them tell no more.
const mostAnswers = 4000

// NewEvidence returns evidence that begins with what an earlier home had gathered.
func NewEvidence(carried Summary) *Evidence {
	return &Evidence{fresh: newGroup(), old: newGroup(), pace: newPace(), carried: carried}
}

// mostExcused is how many lives are excused at the most: two such requests end so many targets. A version
// whose targets end by themselves has them end under one request or another, and more of them.
const mostExcused = 6

// Excuse has what these lives failed count neither against the version on trial nor against the old one.
// A request that ends its targets fails with all that runs beside it; which one it was is known
// with the second target that it ends, when the first has been noted already.
func (e *Evidence) Excuse(lives []ids.TargetIncarnation) {
	for _, life := range lives {
		if e.excused[life] || len(e.excused) >= mostExcused {
			continue
		}
		if e.excused == nil {
			e.excused = make(map[ids.TargetIncarnation]bool)
		}
		e.excused[life] = true
		maps.DeleteFunc(e.old.cells, func(c cell, _ *history) bool { return c.life == life })
		e.forgetCutShort(life)
	}
}

// forgetCutShort takes what an excused life failed out of what its answers usually take: beside answers that
// its end cut short its whole ones would look slow.
func (e *Evidence) forgetCutShort(life ids.TargetIncarnation) {
	delete(e.pace.old, life)
	delete(e.pace.fresh, life)
	for _, a := range e.answers {
		if a.Incarnation == life && !a.Failed && a.took > 0 {
			get(e.pace.fresh, life).add(a.took)
		}
	}
}

// Note takes an answer of the version on trial, or of the old one.
func (e *Evidence) Add(onTrial bool, o Observation) {
	if o.Failed && e.excused[o.Incarnation] {
		return
	}
	took := e.pace.note(onTrial, o)
	loaded := &e.oldLoaded
	if onTrial {
		loaded = &e.loaded
		e.answers = append(e.answers, paced{o, took})
		e.answers = e.answers[max(0, len(e.answers)-mostAnswers):]
	} else {
		e.old.add(o, o.Failed || e.pace.slow(false, o.Incarnation, took))
		e.oldAnswers++
	}
	if o.Loaded {
		*loaded++
	}
}

// sort tells which answers of the version on trial were bad.
func (e *Evidence) sort() {
	e.fresh = newGroup()
	for _, a := range e.answers {
		if a.Failed && e.excused[a.Incarnation] {
			continue
		}
		e.fresh.add(a.Observation, a.Failed || e.pace.slow(true, a.Incarnation, a.took))
	}
}

// SetFactors takes how much slower than ordinary ones the old version's targets are, as far
// as that is known, also of those that get few requests.
func (e *Evidence) SetFactors(factors []float64) {
	e.pace.setFactors(factors)
}

// Summary describes the evidence.
func (e *Evidence) Summary() Summary {
	e.sort()
	own := Summary{}
	for route, t := range e.fresh.byRoute() {
		own.Requests += t.n
		own.Bad += t.bad
		own.Routes = append(own.Routes, RouteSummary{Route: route, Requests: t.n, Bad: t.bad})
	}
	old := Summary{}
	for route, t := range e.old.byRoute() {
		old.Routes = append(old.Routes, RouteSummary{Route: route, Old: t.n, OldBad: t.bad})
	}
	s := e.carried.plus(own, 1).plus(old, 1)
	all := e.compare(slice{}, false)
	s.Targets, s.WorseTargets = all.targets, all.suspect
	return s
}

// oldUnderLoad reports whether the old version's targets are loaded for a good part of the time.
func (e *Evidence) oldUnderLoad() bool {
	return e.oldLoaded >= enoughLoaded && float64(e.oldLoaded) >= loadedPart*float64(e.oldAnswers)
}

// own is how many answers of the version on trial this home has seen itself.
func (e *Evidence) own() int { return len(e.answers) }

// slices lists the parts of the evidence that are judged by themselves.
func (e *Evidence) slices() []slice {
	list := []slice{{}, {loaded: true}}
	for _, route := range slices.Sorted(maps.Keys(e.fresh.byRoute())) {
		list = append(list, slice{route: route})
	}
	return list
}
