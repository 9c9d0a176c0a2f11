package rollout

import (
	"math"
	"slices"

	"quaydock/pkg/ids"
)

// VMs differ in speed, and planners without much load use the fast ones: a new version on all kinds of VMs looks slow
// compared with the old one on the fast ones. An answer therefore counts as slow in comparison with other answers of
// its own target, and a target's level is compared with those of all targets of the old version, whether they are used
// or not.

const (
	// slowAnswerRatio is the duration relative to its target's typical answers above which an answer counts as slow:
	// bad versions take several times as long.
	slowAnswerRatio = 2.5
	// typicalQuantile of a target's answers is its typical duration, since some of them may be slow.
	typicalQuantile = 0.3
	// slowestMargin is the factor by which a target's typical duration may exceed that of the slowest old target; a
	// longer one is capped there.
	slowestMargin = 1.2
	// minTypicalSamples is the number of answers required for a target's typical duration, minLevelSamples for its
	// level, and minRouteSamples of the old version for the typical duration on a route. sampleSize is the number of
	// values kept for each.
	minTypicalSamples = 2
	minLevelSamples   = 4
	minRouteSamples   = 20
	sampleSize        = 200
	// slowLevelRatio is by how much the targets of the new version together must be slower than the old ones to count
	// as slow.
	slowLevelRatio = 2.0
	// slowSigmas is the number of standard deviations, among at least slowTargets targets, from which on a slowdown is
	// not due to chance. possiblyBadSigmas and possiblyBadTargets apply at the end of a trial. A version as fast as
	// the old one is about two standard deviations below zero.
	slowSigmas         = 1.5
	slowTargets        = 5
	possiblyBadSigmas  = 1.0
	possiblyBadTargets = 3
	// outlierRatio is by how much a target must be slower than the slowest old one for its VM not to be the
	// explanation. outlierBaseRate is the fraction of targets that are so for reasons of their own.
	outlierRatio    = 1.5
	outlierBaseRate = 0.07
	// outlierBadProbability and outlierPossiblyBadProbability are the probabilities by chance up to which the number of
	// such targets makes a version bad or possibly bad.
	outlierBadProbability         = 1e-3
	outlierPossiblyBadProbability = 3e-2
)

// sample keeps the last sampleSize values.
type sample struct {
	values []float64
	next   int // index of the oldest value once there are sampleSize
	// sorted holds the values in order, without the last addedSinceSort ones.
	sorted         []float64
	addedSinceSort int
}

// resortDivisor sets the fraction of new values, one in resortDivisor, at which the sample is sorted again: fewer
// hardly move the quantiles, which are read with each answer.
const resortDivisor = 10

// add adds a value, in place of the oldest one if there are sampleSize.
func (s *sample) add(x float64) {
	s.addedSinceSort++
	if len(s.values) < sampleSize {
		s.values = append(s.values, x)
		return
	}
	s.values[s.next] = x
	s.next = (s.next + 1) % sampleSize
}

// quantile returns the value below which the given fraction of the sample lies, 0 for an empty sample. Up to one in
// resortDivisor of the values, the newest, may not be taken into account yet.
func (s *sample) quantile(fraction float64) float64 {
	if len(s.values) == 0 {
		return 0
	}
	if s.sorted == nil || s.addedSinceSort*resortDivisor > len(s.values) {
		s.sorted = slices.AppendSeq(s.sorted[:0], slices.Values(s.values))
		slices.Sort(s.sorted)
		s.addedSinceSort = 0
	}
	return s.sorted[min(len(s.sorted)-1, int(fraction*float64(len(s.sorted))))]
}

// medianQuantile is the fraction of a sample that lies below its median.
const medianQuantile = 0.5

// latencies holds durations of answers as ratios: on each route, to what is expected on an ordinary target; on each
// target, to the typical duration on the route with the old version. Like the evidence that it is part of, it has no
// lock.
type latencies struct {
	routeRatios   map[ids.Route]*sample             // Observation.Ratio of the old version's answers
	usedFactors   sample                            // Observation.Factor of the old version's answers
	newTargets    map[ids.TargetIncarnation]*sample // relative durations on the canary's targets
	oldTargets    map[ids.TargetIncarnation]*sample // and on the old version's
	oldFactors    []float64                         // of the old version's targets, relative to the median of usedFactors
	slowestFactor float64                           // the highest of these, at least 1
}

func newLatencies() latencies {
	return latencies{routeRatios: make(map[ids.Route]*sample), newTargets: make(map[ids.TargetIncarnation]*sample), oldTargets: make(map[ids.TargetIncarnation]*sample), slowestFactor: 1}
}

// setFactors sets the factors of the old version's targets, relative to the median of those that answered, since the
// durations on targets are relative to these answers too. Without such answers it does nothing.
func (p *latencies) setFactors(factors []float64) {
	median := p.usedFactors.quantile(medianQuantile)
	if median == 0 || len(factors) == 0 {
		return
	}
	p.oldFactors = p.oldFactors[:0]
	for _, f := range factors {
		p.oldFactors = append(p.oldFactors, f/median)
	}
	p.slowestFactor = max(1, slices.Max(p.oldFactors))
}

// add records the duration of an answer. It returns the duration relative to the typical one of the route, 0 if that
// is not known.
func (p *latencies) add(onTrial bool, o Observation) float64 {
	if o.Ratio <= 0 {
		return 0
	}
	route := sampleFor(p.routeRatios, o.Route)
	known := len(route.values) >= minRouteSamples
	median := route.quantile(medianQuantile)
	targets := p.newTargets
	if !onTrial {
		targets = p.oldTargets
		route.add(o.Ratio)
		p.usedFactors.add(o.Factor)
	}
	if !known || median <= 0 {
		return 0
	}
	relative := o.Ratio / median
	sampleFor(targets, o.Incarnation).add(relative)
	return relative
}

// slow reports whether an answer took several times as long as is typical for its target. An unknown duration, 0, is
// not slow.
func (p *latencies) slow(onTrial bool, incarnation ids.TargetIncarnation, relative float64) bool {
	targets := p.oldTargets
	if onTrial {
		targets = p.newTargets
	}
	return relative > 0 && relative > slowAnswerRatio*p.typical(sampleFor(targets, incarnation))
}

// sampleFor returns the sample of a key, and creates it if necessary.
func sampleFor[K comparable](samples map[K]*sample, key K) *sample {
	s := samples[key]
	if s == nil {
		s = &sample{}
		samples[key] = s
	}
	return s
}

// typical returns the typical duration on a target, relative to that of its routes and capped near that of the slowest
// old target. With too few answers it is the cap.
func (p *latencies) typical(target *sample) float64 {
	if len(target.values) < minTypicalSamples {
		return slowestMargin * p.slowestFactor
	}
	return min(target.quantile(typicalQuantile), slowestMargin*p.slowestFactor)
}

// levels lists the median relative duration on each target of the new version that has at least minLevelSamples
// answers.
func (p *latencies) levels() []float64 {
	var list []float64
	for _, s := range p.newTargets {
		if len(s.values) >= minLevelSamples {
			list = append(list, s.quantile(medianQuantile))
		}
	}
	return list
}

// outliers counts the targets of the new version that are more than outlierRatio times as slow as the slowest old one,
// and the targets with enough answers, and returns the probability of at least so many outliers by chance.
func (p *latencies) outliers() (slow, targets int, probability float64) {
	var probabilities []float64
	for _, level := range p.levels() {
		probabilities = append(probabilities, outlierBaseRate)
		if level > outlierRatio*p.slowestFactor {
			slow++
		}
	}
	return slow, len(probabilities), poissonBinomialTail(probabilities, slow)
}

// rankTest returns by how many standard deviations the targets of the new version are more than slowLevelRatio slower
// than the old ones, and the number of targets with enough answers. It is the Mann-Whitney test: the fraction of pairs
// in which the new target is the slower one is compared with a half. Below zero the new targets are the faster ones.
func (p *latencies) rankTest() (sigmas float64, targets int) {
	greater, pairs := 0.0, 0
	for _, level := range p.levels() {
		targets++
		level /= slowLevelRatio
		for _, f := range p.oldFactors {
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
	m, n := float64(targets), float64(len(p.oldFactors))
	const half, twelve = 0.5, 12
	deviation := math.Sqrt((m + n + 1) / (twelve * m * n))
	return (greater/float64(pairs) - half) / deviation, targets
}
