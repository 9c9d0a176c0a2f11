package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/prefix"
)

// tokensPerBlock is the prompt tokens of one block of a chain.
const tokensPerBlock = prefix.BlockBytes / 4

// runShare is the part of the time to the deadline that a run may take where the
// target is chosen for what it holds rather than for its speed.
const runShare = 0.7

// affine orders candidates for a job with a long prompt: by the expected wait
// less the time that the part of the prompt already held there saves. So the
// targets that hold it come first as long as waiting for them is shorter than
// computing it again. Without a holder its home comes first on the same terms.
// Speed counts only where the run would come near the deadline: if it counted
// always, all long prompts would crowd the fastest targets and drive one another
// out of their caches.
func (c *Chooser) affine(random *rand.Rand, job Job, candidates []Candidate) []int {
	order := random.Perm(len(candidates))
	costs := make([]float64, len(candidates))
	held := false
	for i := range candidates {
		blocks := c.holdings.CachedBlocks(candidates[i].Target, job.Prefix)
		held = held || blocks > 0
		costs[i] = candidates[i].affineCost(job) - candidates[i].saved(float64(blocks))
	}
	if !held {
		home := prefix.Owner(job.Prefix[0], placesOf(candidates))
		costs[home] -= candidates[home].saved(float64(len(job.Prefix)))
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(costs[i], costs[j])
	})
	return order
}

func (c *Candidate) affineCost(job Job) float64 {
	wait := c.expectedWait(job.Tier)
	run := c.expectedEnd(job) - wait
	if run > runShare*float64(job.Remaining)/float64(clock.Second) {
		return wait + run
	}
	return wait
}

// placesOf lists the candidates as homes of prompts, the faster ones with more
// room for them.
func placesOf(candidates []Candidate) []prefix.WeightedTarget {
	places := make([]prefix.WeightedTarget, len(candidates))
	for i := range candidates {
		unit := max(1, candidates[i].Load.UnitMicros)
		places[i] = prefix.WeightedTarget{Target: candidates[i].Target, Weight: 1 / float64(unit)}
	}
	return places
}

// saved is the time, in seconds, for computing blocks of a prompt.
func (c *Candidate) saved(blocks float64) float64 {
	const unknownMicros = 1000
	unit := float64(c.Load.UnitMicros)
	if unit <= 0 {
		unit = unknownMicros
	}
	return blocks * tokensPerBlock / control.PrefillPerDecode * unit / microsPerSecond
}
