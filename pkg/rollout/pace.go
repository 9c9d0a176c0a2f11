package rollout

import (
	"math"
	"slices"

	"quaydock/pkg/ids"
)

// Machines differ in speed, and calm planners use the fast ones: a new version on all kinds of
// machines looks slow beside the old one on the fast ones. So an answer counts as slow beside what its own
// target does, and a target's level beside those of all of the old version's targets, used or
// not.

const (
	// slowTimes is how much longer than its target's usual answers one takes at the least to
	// count as slow: bad versions take several times as long.
	slowTimes = 2.5
	// usualQuantile of a target's answers is its usual one: a part of them may be slow.
	usualQuantile = 0.3
	// highMargin is by how much a target's usual answers may exceed those of the slowest old
	// targets before these count instead.
	highMargin = 1.2
	// usualKnown is how many answers of a target tell its usual one, levelKnown how many its level, routeKnown how many of the old
	// version what such a request takes on a route; answersKept of each are kept.
	usualKnown  = 2
	levelKnown  = 4
	routeKnown  = 20
	answersKept = 200
	// levelTimes is by how much the targets of the new version together have to be slower than
	// the old ones for it to count as slow.
	levelTimes = 2.0
	// slowSigmas is from how many standard deviations on that is no luck, among at least
	// slowTargets targets, and doubtSigmas at the end of a trial among doubtTargets. A version that
	// is as quick as the old one lies some two below zero.
	slowSigmas   = 1.5
	slowTargets  = 5
	doubtSigmas  = 1.0
	doubtTargets = 3
	// beyondSlowest is by how much a target has to be slower than the slowest old one to look as if
	// no machine were the reason, and ailingSlow the part of targets that are so for reasons of
	// their own.
	beyondSlowest = 1.5
	ailingSlow    = 0.07
	beyondBad     = 1e-3
	beyondDoubt   = 3e-2
)

// sample keeps the last values of something.
type sample struct {
	kept []float64
	next int
	// sorted is kept in order, as it was when fresh values ago.
	sorted []float64
	fresh  int
}

// resortPart is which part of the values may be new before they are put in order again:
// quantiles move little by so few, and are asked for with each answer.
const resortPart = 10

func (s *sample) add(x float64) {
	s.fresh++
	if len(s.kept) < answersKept {
		s.kept = append(s.kept, x)
		return
	}
	s.kept[s.next] = x
	s.next = (s.next + 1) % answersKept
}

// quantile is 0 while nothing is known.
func (s *sample) quantile(part float64) float64 {
	if len(s.kept) == 0 {
		return 0
	}
	if s.sorted == nil || s.fresh*resortPart > len(s.kept) {
		s.sorted = slices.AppendSeq(s.sorted[:0], slices.Values(s.kept))
		slices.Sort(s.sorted)
		s.fresh = 0
	}
	return s.sorted[min(len(s.sorted)-1, int(part*float64(len(s.sorted))))]
}

const middle = 0.5

// pace knows how long answers take.
type pace struct {
	routes  map[ids.Route]*sample // ratios of the old version
	used    sample                // factors of the old targets, one for each of their answers
	fresh   map[ids.TargetIncarnation]*sample
	old     map[ids.TargetIncarnation]*sample
	factors []float64 // of the old version's targets, beside those that are used most
	high    float64   // of the slowest of these
}

func newPace() pace {
	return pace{routes: make(map[ids.Route]*sample), fresh: make(map[ids.TargetIncarnation]*sample), old: make(map[ids.TargetIncarnation]*sample), high: 1}
}

func (p *pace) setFactors(factors []float64) {
	usual := p.used.quantile(middle)
	if usual == 0 || len(factors) == 0 {
		return
	}
	p.factors = p.factors[:0]
	for _, f := range factors {
		p.factors = append(p.factors, f/usual)
	}
	p.high = max(1, slices.Max(p.factors))
}

// note takes how long an answer took, and returns that beside what answers of its route
// usually take, 0 if it is not known.
func (p *pace) note(onTrial bool, o Observation) float64 {
	if o.Ratio <= 0 {
		return 0
	}
	route := get(p.routes, o.Route)
	known := len(route.kept) >= routeKnown
	usual := route.quantile(middle)
	of := p.fresh
	if !onTrial {
		of = p.old
		route.add(o.Ratio)
		p.used.add(o.Factor)
	}
	if !known || usual <= 0 {
		return 0
	}
	took := o.Ratio / usual
	get(of, o.Incarnation).add(took)
	return took
}

// slow reports whether an answer took several times as long as its target's usually do.
func (p *pace) slow(onTrial bool, life ids.TargetIncarnation, took float64) bool {
	of := p.old
	if onTrial {
		of = p.fresh
	}
	return took > 0 && took > slowTimes*p.usual(get(of, life))
}

func get[K comparable](of map[K]*sample, key K) *sample {
	s := of[key]
	if s == nil {
		s = &sample{}
		of[key] = s
	}
	return s
}

// usual is what a target's answers usually take, but no more than those of the slowest old
// targets do.
func (p *pace) usual(target *sample) float64 {
	if len(target.kept) < usualKnown {
		return highMargin * p.high
	}
	return min(target.quantile(usualQuantile), highMargin*p.high)
}

// levels lists how long answers take at each target of the new version that tells.
func (p *pace) levels() []float64 {
	var list []float64
	for _, s := range p.fresh {
		if len(s.kept) >= levelKnown {
			list = append(list, s.quantile(middle))
		}
	}
	return list
}

// beyond counts the targets of the new version that are slower than any old one, those that
// tell at all, and the chance of so many by luck.
func (p *pace) beyond() (slow, targets int, chance float64) {
	var chances []float64
	for _, level := range p.levels() {
		chances = append(chances, ailingSlow)
		if level > beyondSlowest*p.high {
			slow++
		}
	}
	return slow, len(chances), chanceOf(chances, slow)
}

// slower is by how many standard deviations the targets of the new version are more than
// levelTimes slower than the old ones, by the ranks of both together, and how many of them
// tell.
func (p *pace) slower() (sigmas float64, targets int) {
	greater, pairs := 0.0, 0
	for _, level := range p.levels() {
		targets++
		level /= levelTimes
		for _, f := range p.factors {
			pairs++
			switch {
			case level > f:
				greater++
			case level == f:
				greater += 0.5
			}
		}
	}
	if pairs == 0 {
		return 0, targets
	}
	m, n := float64(targets), float64(len(p.factors))
	const half, twelve = 0.5, 12
	deviation := math.Sqrt((m + n + 1) / (twelve * m * n))
	return (greater/float64(pairs) - half) / deviation, targets
}
