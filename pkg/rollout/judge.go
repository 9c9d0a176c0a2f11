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

// A version is judged by how many of its targets look worse than the old version's, and not
// by how many answers are bad: single targets that fail, crash or are slow for reasons of
// their own count once each, however bad they are, while a bad version shows on most of the
// targets that it runs on.

const (
	// suspectChance is the chance with which an ordinary target looks suspect by luck alone.
	suspectChance = 0.1
	// ailing is the least part of targets that is reckoned to ail for reasons of its own.
	ailing = 0.05
	// badChance is from which chance on that so many targets are suspect by luck a version
	// counts as bad, if most and at least mostFew of its targets are; doubtChance
	// counts at the end of a trial: a good version that is rolled back costs less than a bad
	// one that is completed.
	badChance   = 1e-4
	doubtChance = 1e-2
	doubtRecent = 1e-3 // of late, when fewer targets tell
	mostFew     = 3
	// fewChance takes the place of badChance where a version has hardly any targets, so that
	// one that ails for its own reasons cannot be told from a bad version.
	fewChance = 1e-6
	// fewBad is how many bad answers it then needs at the least.
	fewBad = 6
	// trimmedPart of the targets, those with the most bad answers, are left out where answers are
	// counted, one at the least: so many may ail for reasons of their own. trimmedBad and
	// trimmedDoubt are the chances from which on what is left is no luck.
	trimmedPart  = 0.2
	trimmedBad   = 1e-5
	trimmedDoubt = 1e-2
	// pooledDoubt is the chance from which on bad answers since the order speak against a version
	// at the end of its trial, however few targets gave them, if there are pooledBad at the least.
	// Of late, when some target may ail, it has to be pooledRecent.
	pooledDoubt  = 6e-3
	pooledRecent = 1e-4
	pooledBad    = 4
	// mostExcess is how many more bad answers than the old version would have given end a
	// trial whatever the pattern: well before the fiftieth that the bound speaks of, of which an
	// earlier home may have seen some.
	mostExcess = 20
	// mostOfOne is how many bad answers of one suspect target count towards that while most
	// targets are sound.
	mostOfOne = 4
)

// Finding is what the evidence says.
type Finding struct {
	// Bad says that the version is bad, Doubt that it may be.
	Bad, PossiblyBad bool
	Why              string
}

// comparison is how the targets of the version on trial stand beside the old ones.
type comparison struct {
	targets, suspect int
	// chance is that of so many suspects by luck.
	chance float64
	// fresh counts the answers of the version on trial, and expected how many bad ones the old
	// version would have given in their place.
	fresh    tally
	expected float64
	rate     float64 // of the old version's answers that are bad
	excess   float64
	most     bool // of the targets are suspect
	// trimmed is the chance of so many bad answers without the worst targets, 1 if there are too
	// few targets to leave one out.
	trimmed float64
}

// compare compares the versions on a slice.
func (e *Evidence) compare(of slice, recent bool) comparison {
	old := e.old.byTarget(of, recent)
	if of.loaded && e.oldLoaded < enoughLoaded {
		old = e.old.byTarget(slice{}, recent)
	}
	rate := badRate(old)
	c := comparison{trimmed: 1, rate: rate}
	oldTargets, oldSuspect := 0, 0
	for _, t := range old {
		if t.n >= leastAnswers {
			oldTargets++
			if t.bad >= suspectFrom(t.n, rate) {
				oldSuspect++
			}
		}
	}
	ill := max(ailing, float64(oldSuspect)/float64(max(1, oldTargets)))
	var chances []float64
	var suspects []tally
	fresh := e.fresh.byTarget(of, recent)
	for _, t := range fresh {
		c.fresh.n += t.n
		c.fresh.bad += t.bad
		c.expected += float64(t.n) * rate
		if t.n < leastAnswers {
			continue
		}
		c.targets++
		from := suspectFrom(t.n, rate)
		chances = append(chances, 1-(1-ill)*(1-atLeast(t.n, rate, from)))
		if t.bad >= from {
			c.suspect++
			suspects = append(suspects, t)
		}
	}
	c.chance = chanceOf(chances, c.suspect)
	if len(fresh) >= mostFew {
		c.trimmed = trimmedChance(slices.Collect(maps.Values(fresh)), rate)
	}
	c.most = 2*c.suspect >= c.targets && c.suspect > 0
	c.excess = float64(c.fresh.bad) - c.expected
	if !c.most {
		for _, t := range suspects {
			c.excess -= max(0, float64(t.bad)-float64(t.n)*rate-mostOfOne)
		}
	}
	return c
}

// trimmedChance is the chance of so many bad answers at the targets that are not the worst.
func trimmedChance(of []tally, rate float64) float64 {
	slices.SortFunc(of, func(a, b tally) int { return cmp.Or(cmp.Compare(b.bad, a.bad), cmp.Compare(a.n, b.n)) })
	var rest tally
	for _, t := range of[max(1, int(math.Ceil(trimmedPart*float64(len(of))))):] {
		rest.n += t.n
		rest.bad += t.bad
	}
	return atLeast(rest.n, rate, rest.bad)
}

// leastAnswers is how many answers of a target tell anything.
const leastAnswers = 2

// badRate is how many of the old version's answers are bad, with some caution while few are
// known.
func badRate(of map[ids.TargetIncarnation]tally) float64 {
	const priorBad, priorAll = 0.5, 50
	var sum tally
	for _, t := range of {
		sum.n += t.n
		sum.bad += t.bad
	}
	return (float64(sum.bad) + priorBad) / (float64(sum.n) + priorAll)
}

// chanceOf is the chance of at least k of some events, each with its own chance.
func chanceOf(chances []float64, k int) float64 {
	if k <= 0 {
		return 1
	}
	// exactly[i] is the chance of exactly i of those so far.
	exactly := make([]float64, len(chances)+1)
	exactly[0] = 1
	for n, p := range chances {
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

// Judge says what the evidence says now; targets is how many of its targets the version on
// trial could use.
func (e *Evidence) Judge(now clock.Millis, targets int) Finding {
	e.sort()
	e.fresh.forget(now - recentFor)
	e.old.forget(now - recentFor)
	finding := e.guard()
	if f := e.pace.finding(); f.Bad && !finding.Bad || f.PossiblyBad && !finding.PossiblyBad {
		finding = f
	}
	for _, of := range e.slices() {
		for _, recent := range []bool{true, false} {
			c := e.compare(of, recent)
			f := c.finding(of, recent, targets)
			if f.Bad && !finding.Bad || f.PossiblyBad && !finding.PossiblyBad && !finding.Bad {
				finding = f
			}
		}
	}
	return finding
}

func (c *comparison) finding(of slice, recent bool, targets int) Finding {
	few := targets < mostFew
	bad := c.most && c.suspect >= mostFew && c.chance <= badChance
	if few && c.most && c.fresh.bad >= fewBad {
		bad = c.luck() <= fewChance
	}
	bad = bad || c.trimmed <= trimmedBad
	limit, chance := pooledDoubt, doubtChance
	if recent {
		limit, chance = pooledRecent, doubtRecent
	}
	pooled := c.fresh.bad >= pooledBad && c.luck() <= limit
	doubt := bad || pooled || c.trimmed <= trimmedDoubt || c.suspect >= 2 && c.chance <= chance || few && c.most && c.luck() <= doubtChance
	if !doubt {
		return Finding{}
	}
	span := "since the order"
	if recent {
		span = "of late"
	}
	return Finding{Bad: bad, PossiblyBad: true, Why: fmt.Sprintf("%d of %d targets suspect on %v %s, %d of %d answers bad where %.1f were expected (chance %.1g, without the worst targets %.1g)",
		c.suspect, c.targets, of, span, c.fresh.bad, c.fresh.n, c.expected, c.chance, c.trimmed)}
}

// finding says whether the new version is slower on all of its targets.
func (p *pace) finding() Finding {
	if len(p.factors) == 0 {
		return Finding{}
	}
	if slow, targets, chance := p.beyond(); slow >= 2 && chance <= beyondDoubt {
		return Finding{Bad: slow >= mostFew && chance <= beyondBad, PossiblyBad: true, Why: fmt.Sprintf("%d of %d targets are far slower than any old one (chance %.1g)", slow, targets, chance)}
	}
	sigmas, targets := p.slower()
	bad := sigmas >= slowSigmas && targets >= slowTargets
	if !bad && (sigmas < doubtSigmas || targets < doubtTargets) {
		return Finding{}
	}
	return Finding{Bad: bad, PossiblyBad: true, Why: fmt.Sprintf("%d targets are more than %.0f times as slow as the old ones (%.1f standard deviations)", targets, levelTimes, sigmas)}
}

// luck is the chance of so many bad answers in all if the old version had given them.
func (c *comparison) luck() float64 {
	return atLeast(c.fresh.n, c.expected/float64(max(1, c.fresh.n)), c.fresh.bad)
}

// guard ends a trial after too many bad answers, whatever their pattern.
func (e *Evidence) guard() Finding {
	c := e.compare(slice{}, false)
	carried := max(0, float64(e.carried.Bad)-c.rate*float64(e.carried.Requests))
	if c.excess+carried < mostExcess || carried < mostExcess && c.luck() > doubtChance {
		return Finding{}
	}
	return Finding{Bad: true, PossiblyBad: true, Why: fmt.Sprintf("%d of %d answers bad where %.1f were expected, %d of %d before this entry took over",
		c.fresh.bad, c.fresh.n, c.expected, e.carried.Bad, e.carried.Requests)}
}
