package balance_test

import (
	"math/rand/v2"
	"testing"

	"quaydock/pkg/balance"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/prefix"
)

// candidate returns a target with eight slots; queued is the work that waits below the highest tier. It does work of
// 1,000 tokens per second, and a run takes unitMicros per token.
func candidate(name ids.Target, free int, queued, running ids.Tokens, unitMicros int64) balance.Candidate {
	return balance.Candidate{Target: name, Load: control.Load{
		Free: free, Slots: 8, Queued: []ids.Tokens{0, queued}, Running: running, DrainPerSecond: 1000, UnitMicros: unitMicros,
	}}
}

// TestOrder checks which candidate comes first, with 20 seeds each.
func TestOrder(t *testing.T) {
	long := []prefix.Fingerprint{1, 2, 3, 4, 5, 6, 7, 8} // the chain of a prompt of eight blocks
	scenarios := []struct {
		name       string
		job        balance.Job
		held       ids.Target // has cached the job's prompt
		candidates []balance.Candidate
		first      ids.Target
	}{
		{
			name: "the shorter wait", job: balance.Job{Tier: 1, Work: 10},
			candidates: []balance.Candidate{candidate("busy", 0, 5000, 100, 3000), candidate("idle", 4, 0, 100, 3000)}, first: "idle",
		},
		{
			name: "the faster of free targets", job: balance.Job{Tier: 1, Work: 100},
			candidates: []balance.Candidate{candidate("slow", 8, 0, 0, 8000), candidate("fast", 1, 0, 0, 3000)}, first: "fast",
		},
		{
			name: "lower tiers do not add to the wait", job: balance.Job{Tier: 0, Work: 100},
			candidates: []balance.Candidate{candidate("fast", 0, 5000, 100, 3000), candidate("slow", 1, 0, 0, 8000)}, first: "fast",
		},
		{
			name: "a draining target last", job: balance.Job{Tier: 1, Work: 10},
			candidates: []balance.Candidate{
				{Target: "leaving", Load: control.Load{Free: 8, Slots: 8, Leaving: true}}, candidate("busy", 0, 500, 100, 3000),
			}, first: "busy",
		},
		{
			name: "the target that cached a long prompt, though another is free", job: balance.Job{Tier: 1, Work: 100, Remaining: 60_000, Prefix: long}, held: "holder",
			candidates: []balance.Candidate{candidate("free", 8, 0, 0, 3000), candidate("holder", 0, 100, 800, 3000)}, first: "holder",
		},
		{
			name: "a free target if waiting for the cached prompt takes longer than computing it", job: balance.Job{Tier: 1, Work: 100, Remaining: 60_000, Prefix: long}, held: "holder",
			candidates: []balance.Candidate{candidate("free", 8, 0, 0, 3000), candidate("holder", 0, 5000, 800, 3000)}, first: "free",
		},
		{
			name: "a faster target if the one that cached the prompt is too slow for the deadline", job: balance.Job{Tier: 1, Work: 1000, Remaining: 9000, Prefix: long}, held: "holder",
			candidates: []balance.Candidate{candidate("free", 8, 0, 0, 3000), candidate("holder", 8, 0, 0, 8000)}, first: "free",
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := balance.NewChooser(balance.LateBinding{}, 2, 0)
			c.RecordBinding(s.held, s.job.Prefix)
			for seed := range uint64(20) {
				order := c.Order(0, rand.New(rand.NewPCG(seed, 0)), s.job, s.candidates)
				if got := s.candidates[order[0]].Target; got != s.first {
					t.Fatalf("seed %d: %s first, want %s", seed, got, s.first)
				}
			}
		})
	}
}
