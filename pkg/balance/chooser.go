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

// Chooser applies a policy and keeps what the policy has to remember from one
// request to the next.
type Chooser struct {
	policy Policy
	asked  int
	lag    clock.Millis
	// holdings is what this entry has lately sent where.
	holdings *prefix.CacheEstimate

	mu      sync.Mutex
	turns   map[ids.Service]int
	reports map[ids.Target]report
}

// report is a load as a baseline knows it.
type report struct {
	load control.Load
	at   clock.Millis
}

// NewChooser returns a chooser. Asked is how many targets are asked at once;
// lag is how old the load is that a baseline decides on.
func NewChooser(policy Policy, asked int, lag clock.Millis) *Chooser {
	return &Chooser{
		policy: policy, asked: asked, lag: lag, holdings: prefix.NewCacheEstimate(),
		turns: make(map[ids.Service]int), reports: make(map[ids.Target]report),
	}
}

// Order returns the indexes of the candidates in the order in which to ask
// them.
func (c *Chooser) Order(now clock.Millis, random *rand.Rand, job Job, candidates []Candidate) []int {
	switch c.policy.(type) {
	case RoundRobin:
		return c.inTurn(job.Service, len(candidates))
	case LeastLoad:
		return sortedByLoad(random.Perm(len(candidates)), len(candidates), c.reported(now, candidates))
	case PowerOfTwo:
		const drawn = 2
		return sortedByLoad(random.Perm(len(candidates)), drawn, c.reported(now, candidates))
	default:
		if len(job.Prefix) > 0 && len(candidates) > 0 {
			return c.affine(random, job, candidates)
		}
		return Order(random, job, candidates, c.asked)
	}
}

// Asked returns how many targets to ask at once. A job with a long prompt is
// placed with one, since the first of several to have room is rarely the one
// that holds the prompt.
func (c *Chooser) Asked(job Job) int {
	if len(job.Prefix) > 0 {
		return 1
	}
	return c.asked
}

// Bound notes that a job with the given prefix was bound to a target.
func (c *Chooser) RecordBinding(target ids.Target, chain []prefix.Fingerprint) {
	c.holdings.Record(target, chain)
}

func (c *Chooser) inTurn(service ids.Service, n int) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.turns[service]
	c.turns[service]++
	order := make([]int, n)
	for i := range order {
		order[i] = (first + i) % n
	}
	return order
}

// reported returns the candidates' running and queued work as last reported.
func (c *Chooser) reported(now clock.Millis, candidates []Candidate) []ids.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := make([]ids.Tokens, len(candidates))
	for i := range candidates {
		r, known := c.reports[candidates[i].Target]
		if !known || now-r.at >= c.lag {
			r = report{load: candidates[i].Load, at: now}
			c.reports[candidates[i].Target] = r
		}
		loads[i] = r.load.QueuedBefore(ids.BelowAllTiers) + r.load.Running
	}
	return loads
}

// sortedByLoad puts the first drawn of order in the order of their loads.
func sortedByLoad(order []int, drawn int, loads []ids.Tokens) []int {
	slices.SortStableFunc(order[:min(drawn, len(order))], func(i, j int) int {
		return int(loads[i] - loads[j])
	})
	return order
}
