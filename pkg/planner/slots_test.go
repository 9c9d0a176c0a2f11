package planner_test

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/loadmodel"
)

// mixedCalls is a load of calls of which some end far sooner than the others, with bursts that fill the targets for a
// while. Beside the bursts a third of the slots is taken.
func mixedCalls(seed uint64) loadmodel.Load {
	l := loadmodel.Load{
		Length: 30 * clock.Second, Seed: seed,
		Kinds: []loadmodel.Kind{
			{Name: "query", PerSecond: 120, Work: 55, Spread: 0.5, Objective: 300, Deadline: 3000, MaxReturns: 1, Worth: 1, LateWorth: 0.3},
			{Name: "check", PerSecond: 45, Work: 3, Spread: 0.3, Objective: 300, Deadline: 3000, MaxReturns: 1, Worth: 1, LateWorth: 0.3},
		},
		Bursts: []loadmodel.Burst{{At: 3 * clock.Second, For: 5 * clock.Second, Factor: 2.2}, {At: 13 * clock.Second, For: 2500, Factor: 2.5}},
	}
	for _, factor := range []float64{0.6, 0.8, 1, 1.3, 1.7, 1.7} {
		l.Targets = append(l.Targets, loadmodel.TargetGroup{Count: 1, Slots: 6, Factor: factor})
	}
	return l
}

// TestCallsOfUnlikeLengthsLeaveNoSlotsUnused guards against targets that get one call at a time for good, while callers
// are refused, because the calls that run beside few others happen to be the short ones.
func TestCallsOfUnlikeLengthsLeaveNoSlotsUnused(t *testing.T) {
	for seed := range uint64(12) {
		all := loadmodel.Simulate(mixedCalls(seed+1), loadmodel.Observer{}).Total()
		t.Logf("seed %d: in time %.3f of %d", seed+1, fraction(all.InTime, all), all.Callers)
		if fraction(all.InTime, all) < 0.97 {
			t.Errorf("seed %d: in time %.3f, want at least 0.97", seed+1, fraction(all.InTime, all))
		}
	}
}
