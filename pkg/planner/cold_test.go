package planner_test

import (
	"math"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// TestColdRates: over all owners that may grant at the same time, one cold target gets no more than the limit, with
// some of it left for requests that reach it late.
func TestColdRates(t *testing.T) {
	scenarios := []struct {
		name      string
		bounds    planner.ColdBounds
		perSecond float64 // the rate that the service declares for cold targets
		rate      float64 // in jobs per second, of an owner with which all entries agree
	}{
		{"the full declared rate", planner.ColdBounds{Over: 2, Slack: 10}, 20, 20},
		{"a limit little above the declared rate", planner.ColdBounds{Over: 1.5, Slack: 5}, 20, 19.25},
		{"a limit equal to the declared rate", planner.ColdBounds{}, 20, 11},
		{"a slack above the declared rate", planner.ColdBounds{Over: 1.5, Slack: 50}, 4, 4},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			service := &routing.Service{Name: "s", ColdPerSecond: s.perSecond}
			if got := s.bounds.Rate(service, planner.Agreement{Fraction: 1}); math.Abs(got-s.rate) > 1e-9 {
				t.Errorf("%.3f per second, want %.3f", got, s.rate)
			}
			limit := max(1, s.bounds.Over)*s.perSecond + s.bounds.Slack // a tenth of it is left for late requests
			if both := s.bounds.Rate(service, planner.Agreement{Fraction: 1}) + s.bounds.Rate(service, planner.Agreement{Fraction: 1, JustStarted: true}); both > 0.9*limit {
				t.Errorf("two owners grant %.1f per second, limit %.1f", both, limit)
			}
			if half := s.bounds.Rate(service, planner.Agreement{Fraction: 0.5}); half > s.rate/2+1e-9 {
				t.Errorf("%.3f per second with the agreement of half the entries", half)
			}
		})
	}
}

// TestColdTargetIsRateLimited: a cold target gets no more than the rate and the other target the remainder; once
// warm, it gets jobs beyond that rate.
func TestColdTargetIsRateLimited(t *testing.T) {
	const warmAt = start + 3*clock.Second
	service := &routing.Service{Name: "s", ColdPerSecond: 20}
	p := newPlanner()
	p.SetColdLimit(service, 10)
	p.SetTargets(start, []*routing.Target{
		{ID: "cold", Service: "s", Slots: 4, ColdUntil: warmAt}, {ID: "warm", Service: "s", Slots: 4},
	})
	given := map[string]int{} // by "cold" or "warm" at the time of the grant, and by target
	for i := range 800 {      // one job every 5 ms, 600 of them before warmAt
		now := start + clock.Millis(i)*5
		j := job(uint64(i), 0)
		j.Arrived, j.Deadline = now, now+clock.Second
		p.Submit(now, j)
		p.Tick(now)
		for _, d := range p.Decisions() {
			if g, ok := d.(planner.Grant); ok {
				when := "cold "
				if now >= warmAt {
					when = "warm "
				}
				given[when+string(g.Incarnation.Target)]++
				p.RecordFirstEvent(now, g.ID, nil)
				p.Finish(now, g.ID, planner.Served, planner.StreamStats{})
			}
		}
	}
	if n := given["cold cold"]; n < 25 || n > 32 {
		t.Errorf("%d jobs in three seconds of slow start, at 10 per second", n)
	}
	if n := given["cold warm"]; n < 560 {
		t.Errorf("the warm target got %d of 600", n)
	}
	if n := given["warm cold"]; n < 60 {
		t.Errorf("%d of 200 jobs once it was warm", n)
	}
}
