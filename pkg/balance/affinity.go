package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/prefix"
)

// tokensPerBlock is the number of prompt tokens in one block of a prefix chain, at 4 bytes per token.
const tokensPerBlock = prefix.BlockBytes / 4

// maxRunFraction is the fraction of the time to the deadline that a run may take where the
// target is chosen for its cached prompts rather than for its speed.
const maxRunFraction = 0.7

// orderByAffinity orders candidates for a job with a long prompt: by the expected wait
// less the time saved by the prompt blocks that the target has cached. So targets with
// cached blocks come first as long as waiting for them takes less time than computing
// the blocks again. If no candidate has any, the prompt's owner comes first on the same
// terms. Speed counts only where the run would come near the deadline: if it always
// counted, all long prompts would crowd the fastest targets and evict one another from
// their caches.
func (c *Chooser) orderByAffinity(random *rand.Rand, job Job, candidates []Candidate) []int {
	order := random.Perm(len(candidates))
	costs := make([]float64, len(candidates))
	anyCached := false
	for i := range candidates {
		blocks := c.cached.CachedBlocks(candidates[i].Target, job.Prefix)
		anyCached = anyCached || blocks > 0
		costs[i] = candidates[i].affineCost(job) - candidates[i].secondsSaved(float64(blocks))
	}
	if !anyCached {
		owner := prefix.Owner(job.Prefix[0], weightedTargets(candidates))
		costs[owner] -= candidates[owner].secondsSaved(float64(len(job.Prefix)))
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(costs[i], costs[j])
	})
	return order
}

// affineCost returns the expected wait in seconds, and adds the run only if that would come near the deadline.
func (c *Candidate) affineCost(job Job) float64 {
	wait := c.expectedWait(job.Tier)
	run := c.expectedEnd(job) - wait
	if run > maxRunFraction*float64(job.Remaining)/float64(clock.Second) {
		return wait + run
	}
	return wait
}

// weightedTargets lists the candidates as possible owners of prompts; faster ones get more
// weight.
func weightedTargets(candidates []Candidate) []prefix.WeightedTarget {
	targets := make([]prefix.WeightedTarget, len(candidates))
	for i := range candidates {
		unit := max(1, candidates[i].Load.UnitMicros)
		targets[i] = prefix.WeightedTarget{Target: candidates[i].Target, Weight: 1 / float64(unit)}
	}
	return targets
}

// secondsSaved is the time, in seconds, that a target needs to compute blocks of a prompt.
func (c *Candidate) secondsSaved(blocks float64) float64 {
	// unknownMicros is the run time per token, in microseconds, of a target that has not reported one.
	const unknownMicros = 1000
	unit := float64(c.Load.UnitMicros)
	if unit <= 0 {
		unit = unknownMicros
	}
	return blocks * tokensPerBlock / control.PrefillPerDecode * unit / microsPerSecond
}
