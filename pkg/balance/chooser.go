package balance

import (
	"math/rand/v2"
	"slices"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/prefix"
)

// Chooser applies a policy and keeps the policy's state from one request to the next. It is safe for concurrent use.
type Chooser struct {
	policy    Policy
	fanOut    int          // how many targets are queried at once
	reportLag clock.Millis // how long baseline policies use a report before they take a newer one
	// cached estimates which prompts targets have cached, from what this entry sent them lately.
	cached *prefix.CacheEstimate

	mu        sync.Mutex
	rotations map[ids.Service]int   // how many requests RoundRobin has ordered, each from the next candidate on
	reports   map[ids.Target]report // used by LeastLoad and PowerOfTwo
}

// report is a load report as a baseline policy uses it.
type report struct {
	load control.Load
	at   clock.Millis // when the policy took it over
}

// NewChooser returns a chooser. fanOut is how many targets are queried at once;
// reportLag is the age up to which baseline policies decide on a load report
// before they take a newer one.
func NewChooser(policy Policy, fanOut int, reportLag clock.Millis) *Chooser {
	return &Chooser{
		policy: policy, fanOut: fanOut, reportLag: reportLag, cached: prefix.NewCacheEstimate(),
		rotations: make(map[ids.Service]int), reports: make(map[ids.Target]report),
	}
}

// Order returns the indexes of the candidates in the order in which to query
// them.
func (c *Chooser) Order(now clock.Millis, random *rand.Rand, job Job, candidates []Candidate) []int {
	switch c.policy.(type) {
	case RoundRobin:
		return c.rotate(job.Service, len(candidates))
	case LeastLoad:
		return sortedByLoad(random.Perm(len(candidates)), len(candidates), c.reportedLoads(now, candidates))
	case PowerOfTwo:
		const drawn = 2
		return sortedByLoad(random.Perm(len(candidates)), drawn, c.reportedLoads(now, candidates))
	default:
		if len(job.Prefix) > 0 && len(candidates) > 0 {
			return c.orderByAffinity(random, job, candidates)
		}
		return Order(random, job, candidates, c.fanOut)
	}
}

// FanOut returns how many targets to query at once. A job with a long prompt is
// sent to one, since the first of several to have a free slot is rarely the one
// that has cached the prompt.
func (c *Chooser) FanOut(job Job) int {
	if len(job.Prefix) > 0 {
		return 1
	}
	return c.fanOut
}

// RecordBinding records that a job with the given prefix chain was bound to a target.
func (c *Chooser) RecordBinding(target ids.Target, chain []prefix.Fingerprint) {
	c.cached.Record(target, chain)
}

// rotate returns the indexes from 0 to n-1, each time begun at the next one.
func (c *Chooser) rotate(service ids.Service, n int) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.rotations[service]
	c.rotations[service]++
	order := make([]int, n)
	for i := range order {
		order[i] = (first + i) % n
	}
	return order
}

// reportedLoads returns the candidates' running and queued work by the reports in use. One that was taken over
// reportLag ago is replaced by the newest first. All queued work counts, whatever its tier.
func (c *Chooser) reportedLoads(now clock.Millis, candidates []Candidate) []ids.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := make([]ids.Tokens, len(candidates))
	for i := range candidates {
		r, known := c.reports[candidates[i].Target]
		if !known || now-r.at >= c.reportLag {
			r = report{load: candidates[i].Load, at: now}
			c.reports[candidates[i].Target] = r
		}
		loads[i] = r.load.QueuedBefore(ids.BelowAllTiers) + r.load.Running
	}
	return loads
}

// sortedByLoad sorts the first drawn elements of order, which are indexes in loads, by load, the lowest first; the
// others stay.
func sortedByLoad(order []int, drawn int, loads []ids.Tokens) []int {
	slices.SortStableFunc(order[:min(drawn, len(order))], func(i, j int) int {
		return int(loads[i] - loads[j])
	})
	return order
}
