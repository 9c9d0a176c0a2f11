package rollout_test

import (
	"math/rand/v2"
	"testing"

	"quaydock/pkg/rollout"
)

var bounds = rollout.Bounds{Fraction: 0.1, Slack: 50, Stop: 5000}

// TestExposureOfAllEntriesHolds has entries send what they may while entries begin anew, some
// not knowing the order from before it came, and others are added: at no moment more goes to the
// version on trial than the bound allows of what has reached the service.
func TestExposureOfAllEntriesHolds(t *testing.T) {
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
			case random.IntN(400) == 0: // it begins anew
				entries[i] = rollout.NewExposure()
				entries[i].Begin(o, 0)
				continue
			case e.Reserve(service, bounds):
				if random.IntN(3) == 0 {
					e.Release(service) // it got another target
				} else if e.Commit(service, "v2") {
					sent++
				}
			}
			if random.IntN(10) > 0 {
				e.Reached(service, o.Placed)
				reached++
			}
			if float64(sent) > bounds.Fraction*float64(reached)+bounds.Slack {
				t.Fatalf("seed %d: %d of %d requests", seed, sent, reached)
			}
		}
		if sent == 0 {
			t.Errorf("seed %d: the version was never tried", seed)
		}
	}
}

// TestExposureIsForOneOrder has an order replaced: what was counted for it is not the next one's.
func TestExposureIsForOneOrder(t *testing.T) {
	e := rollout.NewExposure()
	first, next := order("v2", 10), order("v3", 20)
	e.Begin(first, 5)
	if !e.Reserve(service, bounds) {
		t.Fatal("nothing may be sent")
	}
	e.Begin(next, 0)
	e.Reached(service, first.Placed)
	if e.Commit(service, "v2") || e.Reserve(service, bounds) {
		t.Error("a request goes to the version that was replaced")
	}
	if reached, sent := e.Counts(service); reached != 0 || sent != 0 {
		t.Errorf("%d reached, %d sent", reached, sent)
	}
	e.End(service)
	if e.Placed(service) != 0 {
		t.Error("the account is still open")
	}
}

func TestCredit(t *testing.T) {
	scenarios := []struct{ entries, want int }{{1, 5}, {4, 20}, {12, 24}, {25, 25}, {30, 25}, {350, 25}}
	for _, s := range scenarios {
		sum := 0
		for nth := range s.entries {
			sum += rollout.SlackCredit(bounds, nth, s.entries)
		}
		if sum != s.want {
			t.Errorf("%d entries get %d in all, want %d", s.entries, sum, s.want)
		}
	}
}
