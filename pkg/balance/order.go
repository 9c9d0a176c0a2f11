// Package balance decides to which targets a request's tickets go first. It
// does no I/O; the random numbers come from the caller, so that a seed reproduces
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

// Candidate is a target that could serve a request, with its last reported load.
type Candidate struct {
	Target ids.Target
	Load   control.Load
	// Outstanding is the work of the tickets that this entry placed since that report. All work is in tokens of
	// answer; prompt tokens are converted (see control.PrefillPerDecode).
	Outstanding ids.Tokens
}

// Job is a request to be placed.
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

// expectedWait estimates in seconds how long new work of a tier waits, from the
// work queued before it, in tokens, the measured drain rate, and the back-off that
// the target has asked for.
func (c *Candidate) expectedWait(tier ids.TierRank) float64 {
	// unknownDrain is the drain rate, in tokens per second, of a target that has not reported one.
	const unknownDrain = 1000
	drain := float64(c.Load.DrainPerSecond)
	if drain <= 0 {
		drain = unknownDrain
	}
	work := float64(c.Load.QueuedBefore(tier) + c.Outstanding)
	if c.Load.Free == 0 {
		// The next of the running requests ends after about its fraction of the
		// time in which all of them end.
		work += float64(c.Load.Running) / float64(max(1, c.Load.Slots))
	}
	return work/drain + c.Load.Rest.Duration().Seconds()
}

// Order returns the indexes of the candidates in the order in which to query
// them. It draws twice as many as will be queried and puts those with the
// earliest expected end first: load reports are stale, so if every entry always
// chose the best, all would crowd the same target.
func Order(random *rand.Rand, job Job, candidates []Candidate, fanOut int) []int {
	order := random.Perm(len(candidates))
	drawn := min(2*fanOut, len(order))
	slices.SortStableFunc(order[:drawn], func(i, j int) int {
		return compare(&candidates[i], &candidates[j], job)
	})
	return order
}

// compare orders candidates: those that are leaving last, then by expected end, and by free slots, the most first.
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
