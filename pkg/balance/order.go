// Package balance decides which targets a request's tickets go to first. It
// does no I/O; the random numbers come from the caller, so that a seed repeats
// a decision.
package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/prefix"
)

// Candidate is a target that could serve a request, as its entry last heard of
// it.
type Candidate struct {
	Target ids.Target
	Load   control.Load
	// Outstanding is the work of this entry's tickets placed since that reply.
	Outstanding ids.Tokens
}

// Job is what is to be placed.
type Job struct {
	Service ids.Service
	Tier    ids.TierRank
	// Work is the estimated work of the request.
	Work ids.Tokens
	// Remaining is the time to its deadline.
	Remaining clock.Millis
	// Prefix is the chain of the prompt's blocks; empty for a short prompt.
	Prefix []prefix.Fingerprint
}

const microsPerSecond = 1e6

// expectedEnd estimates in seconds how long the job takes at the candidate:
// its wait, and its run at the measured speed.
func (c *Candidate) expectedEnd(job Job) float64 {
	return c.expectedWait(job.Tier) + float64(job.Work)*float64(c.Load.UnitMicros)/microsPerSecond
}

// expectedWait estimates in seconds how long new work of a tier waits, by the
// queue before it and the measured drain rate.
func (c *Candidate) expectedWait(tier ids.TierRank) float64 {
	const unknownDrain = 1000
	drain := float64(c.Load.DrainPerSecond)
	if drain <= 0 {
		drain = unknownDrain
	}
	work := float64(c.Load.QueuedBefore(tier) + c.Outstanding)
	if c.Load.Free == 0 {
		// The next of the running requests ends after about its share of the
		// time in which all of them end.
		work += float64(c.Load.Running) / float64(max(1, c.Load.Slots))
	}
	return work/drain + c.Load.Rest.Duration().Seconds()
}

// Order returns the indexes of the candidates in the order in which to ask
// them. Of twice as many as will be asked, drawn at random, the ones with the
// earliest expected end go first: reports are stale, so that always asking the
// best would make all entries crowd the same target.
func Order(random *rand.Rand, job Job, candidates []Candidate, asked int) []int {
	order := random.Perm(len(candidates))
	drawn := min(2*asked, len(order))
	slices.SortStableFunc(order[:drawn], func(i, j int) int {
		return compare(&candidates[i], &candidates[j], job)
	})
	return order
}

func compare(a, b *Candidate, job Job) int {
	if a.Load.Leaving != b.Load.Leaving {
		if a.Load.Leaving {
			return 1
		}
		return -1
	}
	if sooner := cmp.Compare(a.expectedEnd(job), b.expectedEnd(job)); sooner != 0 {
		return sooner
	}
	return b.Load.Free - a.Load.Free
}
