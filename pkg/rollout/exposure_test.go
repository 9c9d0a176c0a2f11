package rollout_test

import (
	"math/rand/v2"
	"testing"

	"quaydock/pkg/rollout"
)

// bounds permit a tenth of the requests and 50 more; Stop is in ms.
var bounds = rollout.Bounds{Fraction: 0.1, Slack: 50, Stop: 5000}

// TestExposureLimitHoldsOverAllEntries has entries send what they may while others restart, some of which have not
// observed the order from its start: at no moment may more go to the canary than the limit allows for the requests
// that have reached the service.
func TestExposureLimitHoldsOverAllEntries(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		n := 1 + random.IntN(60)
		o := order("v2", 10)
		entries := make([]*rollout.Exposure, n)
		for i := range entries {
			entries[i] = rollout.NewExposure()
			entries[i].Begin(o, rollout.SlackCredit(bounds, i, n))
		}
		reached, sent := 0, 0
		for range 4000 {
			i := random.IntN(n)
			e := entries[i]
			switch {
			case random.IntN(400) == 0: // the entry restarts
				entries[i] = rollout.NewExposure()
				entries[i].Begin(o, 0)
				continue
			case e.Reserve(service, bounds):
				if random.IntN(3) == 0 {
					e.Release(service) // the request went to another target
				} else if e.Commit(service, "v2") {
					sent++
				}
			}
			if random.IntN(10) > 0 { // one request in ten, sent or not, never counts as having reached the service
				e.CountReached(service, o.Placed)
				reached++
			}
			if float64(sent) > bounds.Fraction*float64(reached)+bounds.Slack {
				t.Fatalf("seed %d: %d of %d requests went to the canary, more than the limit", seed, sent, reached)
			}
		}
		if sent == 0 {
			t.Errorf("seed %d: nothing was sent to the canary", seed)
		}
	}
}

// TestExposureCountsOneOrder replaces an order: counts of the first must not carry over to the next.
func TestExposureCountsOneOrder(t *testing.T) {
	e := rollout.NewExposure()
	first, next := order("v2", 10), order("v3", 20)
	e.Begin(first, 5)
	if !e.Reserve(service, bounds) {
		t.Fatal("no request could be reserved")
	}
	e.Begin(next, 0)
	e.CountReached(service, first.Placed)
	if e.Commit(service, "v2") || e.Reserve(service, bounds) {
		t.Error("a request was sent to the replaced version")
	}
	if reached, sent := e.Counts(service); reached != 0 || sent != 0 {
		t.Errorf("%d reached, %d sent, want none", reached, sent)
	}
	e.End(service)
	if e.CurrentOrder(service) != 0 {
		t.Error("the service is still counted after End")
	}
}

// TestSlackCredit checks the sum of the credits of all entries, in requests: at most half of the slack of 50, and at
// most maxCredit for each entry.
func TestSlackCredit(t *testing.T) {
	scenarios := []struct{ entries, want int }{{1, 5}, {4, 20}, {12, 24}, {25, 25}, {30, 25}, {350, 25}}
	for _, s := range scenarios {
		sum := 0
		for nth := range s.entries {
			sum += rollout.SlackCredit(bounds, nth, s.entries)
		}
		if sum != s.want {
			t.Errorf("%d entries get a total credit of %d, want %d", s.entries, sum, s.want)
		}
	}
}
