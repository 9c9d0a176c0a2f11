package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// A version is evaluated by how many of its targets look worse than the old version's, not by the number of bad
// answers. A single target that fails, crashes or is slow for reasons of its own counts once, however bad it is, while
// a bad version shows on most of its targets.

const (
	// worseProbability is the highest probability that an ordinary target looks worse by chance.
	worseProbability = 0.1
	// minAilingRate is the lowest assumed fraction of targets that ail for reasons of their own.
	minAilingRate = 0.05
	// A version counts as bad if most of its targets, and at least minTargets, look worse, and the probability of that
	// by chance is at most badProbability. possiblyBadProbability applies at the end of a trial: rolling back a good
	// version costs less than completing a bad one.
	badProbability               = 1e-4
	possiblyBadProbability       = 1e-2
	possiblyBadRecentProbability = 1e-3 // for recent answers, which come from fewer targets
	minTargets                   = 3
	// fewTargetsBadProbability replaces badProbability if a version has fewer than minTargets targets, since one that
	// ails for its own reasons can't be told from a bad version then.
	fewTargetsBadProbability = 1e-6
	// fewTargetsMinBad is the number of bad answers that is also required in that case.
	fewTargetsMinBad = 6
	// trimmedFraction of the targets, those with the most bad answers and at least one, are left out when answers are
	// counted, since so many may ail for reasons of their own. The probabilities of the remaining bad answers by
	// chance are compared with trimmedBadProbability and trimmedPossiblyBadProbability.
	trimmedFraction               = 0.2
	trimmedBadProbability         = 1e-5
	trimmedPossiblyBadProbability = 1e-2
	// pooledPossiblyBadProbability is the probability by chance up to which bad answers since the order count against
	// a version at the end of its trial, however few targets gave them, if there are at least pooledMinBad. For recent
	// answers, when one target may be ailing, the limit is pooledPossiblyBadRecentProbability.
	pooledPossiblyBadProbability       = 6e-3
	pooledPossiblyBadRecentProbability = 1e-4
	pooledMinBad                       = 4
	// maxExcessBad is the number of bad answers in excess of what the old version would have given that ends a trial
	// whatever the pattern. It is well below the fifty in the definition of the limits, since an earlier owner may
	// have seen some of these.
	maxExcessBad = 20
	// maxExcessPerTarget limits what one target that looks worse adds to that excess while most targets are sound.
	maxExcessPerTarget = 4
)

// Finding is the conclusion from the evidence.
type Finding struct {
	// Bad says that the version is bad, PossiblyBad that it may be.
	Bad, PossiblyBad bool
	Why              string // the evidence against it, as a text for operators; empty if there is none
}

// comparison holds how the canary's targets compare with the old version's.
type comparison struct {
	// targets counts the canary's targets with at least minAnswersPerTarget answers, worse those of them that look
	// worse.
	targets, worse int
	// probability is that of at least so many targets looking worse by chance.
	probability float64
	// answers counts the canary's answers, and expected is the number of bad ones that the old version would have
	// given in their place.
	answers  tally
	expected float64
	rate     float64 // fraction of bad answers of the old version
	// excess is the number of bad answers beyond expected. Unless halfWorse, a target that looks worse adds at most
	// maxExcessPerTarget to it.
	excess    float64
	halfWorse bool // at least half of the targets look worse
	// trimmedProbability is that of at least so many bad answers by chance without the worst targets, 1 if there are
	// too few targets to leave one out.
	trimmedProbability float64
}

// compare compares the versions on a subset of the evidence, with recent only on the answers of the last recentWindow.
// If the old version has too few answers from loaded targets, all of its answers stand for them. The canary's answers
// count as of the last classify.
func (e *Evidence) compare(sub subset, recent bool) comparison {
	old := e.oldVersion.byTarget(sub, recent)
	if sub.loaded && e.oldLoaded < oldLoadedAnswers {
		old = e.oldVersion.byTarget(subset{}, recent)
	}
	rate := badRate(old)
	c := comparison{trimmedProbability: 1, rate: rate}
	oldTargets, oldWorse := 0, 0
	for _, t := range old {
		if t.n >= minAnswersPerTarget {
			oldTargets++
			if t.bad >= worseThreshold(t.n, rate) {
				oldWorse++
			}
		}
	}
	ailingRate := max(minAilingRate, float64(oldWorse)/float64(max(1, oldTargets)))
	var probabilities []float64
	var worse []tally
	fresh := e.newVersion.byTarget(sub, recent)
	for _, t := range fresh {
		c.answers.n += t.n
		c.answers.bad += t.bad
		c.expected += float64(t.n) * rate
		if t.n < minAnswersPerTarget {
			continue
		}
		c.targets++
		threshold := worseThreshold(t.n, rate)
		probabilities = append(probabilities, 1-(1-ailingRate)*(1-binomialTail(t.n, rate, threshold)))
		if t.bad >= threshold {
			c.worse++
			worse = append(worse, t)
		}
	}
	c.probability = poissonBinomialTail(probabilities, c.worse)
	if len(fresh) >= minTargets {
		c.trimmedProbability = trimmedTail(slices.Collect(maps.Values(fresh)), rate)
	}
	c.halfWorse = 2*c.worse >= c.targets && c.worse > 0
	c.excess = float64(c.answers.bad) - c.expected
	if !c.halfWorse {
		for _, t := range worse {
			c.excess -= max(0, float64(t.bad)-float64(t.n)*rate-maxExcessPerTarget)
		}
	}
	return c
}

// trimmedTail returns the probability of at least so many bad answers on all targets but the worst: those with the most
// bad answers, and among equals those with the fewest answers. rate is the old version's bad rate; tallies is sorted in
// place.
func trimmedTail(tallies []tally, rate float64) float64 {
	slices.SortFunc(tallies, func(a, b tally) int { return cmp.Or(cmp.Compare(b.bad, a.bad), cmp.Compare(a.n, b.n)) })
	var rest tally
	for _, t := range tallies[max(1, int(math.Ceil(trimmedFraction*float64(len(tallies))))):] {
		rest.n += t.n
		rest.bad += t.bad
	}
	return binomialTail(rest.n, rate, rest.bad)
}

// minAnswersPerTarget is the number of answers below which a target is not evaluated.
const minAnswersPerTarget = 2

// badRate returns the fraction of bad answers of the old version, with a prior that dominates while few answers are
// known.
func badRate(tallies map[ids.TargetIncarnation]tally) float64 {
	const priorBad, priorAll = 0.5, 50
	var sum tally
	for _, t := range tallies {
		sum.n += t.n
		sum.bad += t.bad
	}
	return (float64(sum.bad) + priorBad) / (float64(sum.n) + priorAll)
}

// poissonBinomialTail returns the probability of at least k of several events, each with its own probability.
func poissonBinomialTail(probabilities []float64, k int) float64 {
	if k <= 0 {
		return 1
	}
	// exactly[i] is the probability of exactly i of the events processed so far.
	exactly := make([]float64, len(probabilities)+1)
	exactly[0] = 1
	for n, p := range probabilities {
		for i := n + 1; i > 0; i-- {
			exactly[i] = exactly[i]*(1-p) + exactly[i-1]*p
		}
		exactly[0] *= 1 - p
	}
	sum := 0.0
	for i := k; i < len(exactly); i++ {
		sum += exactly[i]
	}
	return sum
}

// Evaluate returns the current finding; targets is the number of canary targets that could be used.
func (e *Evidence) Evaluate(now clock.Millis, targets int) Finding {
	e.classify()
	e.newVersion.dropBefore(now - recentWindow)
	e.oldVersion.dropBefore(now - recentWindow)
	finding := e.checkExcess()
	if f := e.latency.finding(); f.Bad && !finding.Bad || f.PossiblyBad && !finding.PossiblyBad {
		finding = f
	}
	for _, sub := range e.subsets() {
		for _, recent := range []bool{true, false} {
			c := e.compare(sub, recent)
			f := c.finding(sub, recent, targets)
			if f.Bad && !finding.Bad || f.PossiblyBad && !finding.PossiblyBad && !finding.Bad {
				finding = f
			}
		}
	}
	return finding
}

// finding returns the conclusion from a comparison; targets is the number of canary targets that could be used. The
// version counts as possibly bad wherever it counts as bad.
func (c *comparison) finding(sub subset, recent bool, targets int) Finding {
	few := targets < minTargets
	bad := c.halfWorse && c.worse >= minTargets && c.probability <= badProbability
	if few && c.halfWorse && c.answers.bad >= fewTargetsMinBad {
		bad = c.pooledProbability() <= fewTargetsBadProbability
	}
	bad = bad || c.trimmedProbability <= trimmedBadProbability
	maxPooledProbability, maxProbability := pooledPossiblyBadProbability, possiblyBadProbability
	if recent {
		maxPooledProbability, maxProbability = pooledPossiblyBadRecentProbability, possiblyBadRecentProbability
	}
	pooled := c.answers.bad >= pooledMinBad && c.pooledProbability() <= maxPooledProbability
	possiblyBad := bad || pooled || c.trimmedProbability <= trimmedPossiblyBadProbability || c.worse >= 2 && c.probability <= maxProbability || few && c.halfWorse && c.pooledProbability() <= possiblyBadProbability
	if !possiblyBad {
		return Finding{}
	}
	span := "since the order"
	if recent {
		span = "of late"
	}
	return Finding{Bad: bad, PossiblyBad: true, Why: fmt.Sprintf("%d of %d targets suspect on %v %s, %d of %d answers bad where %.1f were expected (chance %.1g, without the worst targets %.1g)",
		c.worse, c.targets, sub, span, c.answers.bad, c.answers.n, c.expected, c.probability, c.trimmedProbability)}
}

// finding reports whether the canary is slow: several of its targets are far slower than any old one, or all together
// are much slower than the old ones. It finds nothing while the factors of the old targets are unknown.
func (p *latencies) finding() Finding {
	if len(p.oldFactors) == 0 {
		return Finding{}
	}
	if slow, targets, probability := p.outliers(); slow >= 2 && probability <= outlierPossiblyBadProbability {
		return Finding{Bad: slow >= minTargets && probability <= outlierBadProbability, PossiblyBad: true, Why: fmt.Sprintf("%d of %d targets are far slower than any old one (chance %.1g)", slow, targets, probability)}
	}
	sigmas, targets := p.rankTest()
	bad := sigmas >= slowSigmas && targets >= slowTargets
	if !bad && (sigmas < possiblyBadSigmas || targets < possiblyBadTargets) {
		return Finding{}
	}
	return Finding{Bad: bad, PossiblyBad: true, Why: fmt.Sprintf("%d targets are more than %.0f times as slow as the old ones (%.1f standard deviations)", targets, slowLevelRatio, sigmas)}
}

// pooledProbability returns the probability of at least so many bad answers in total if the old version had given them.
func (c *comparison) pooledProbability() float64 {
	return binomialTail(c.answers.n, c.expected/float64(max(1, c.answers.n)), c.answers.bad)
}

// checkExcess finds the version bad after too many bad answers, whatever their pattern. Those that earlier owners
// counted are included. If they are not enough by themselves, this owner's own answers must also be unlikely by chance.
func (e *Evidence) checkExcess() Finding {
	c := e.compare(subset{}, false)
	inheritedExcess := max(0, float64(e.inherited.Bad)-c.rate*float64(e.inherited.Requests))
	if c.excess+inheritedExcess < maxExcessBad || inheritedExcess < maxExcessBad && c.pooledProbability() > possiblyBadProbability {
		return Finding{}
	}
	return Finding{Bad: true, PossiblyBad: true, Why: fmt.Sprintf("%d of %d answers bad where %.1f were expected, %d of %d before this entry took over",
		c.answers.bad, c.answers.n, c.expected, e.inherited.Bad, e.inherited.Requests)}
}
