package schedule_test

import (
	"context"
	"testing"
	"testing/synctest"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/schedule"
)

// TestNoAssignmentToBlockedTargets: schedulers that use only this entry's knowledge must not assign requests to targets
// that have told it to send nothing, and must say when to retry if all targets have asked for a back-off.
func TestNoAssignmentToBlockedTargets(t *testing.T) {
	c := commontest.New(network.NewMemory(nil))
	schedulers := []struct {
		name string
		of   func(*advisory.Tracker) schedule.Scheduler
	}{
		{"local", func(b *advisory.Tracker) schedule.Scheduler { return schedule.NewLocal(c, newView(3), b) }},
		{"round robin", func(b *advisory.Tracker) schedule.Scheduler {
			return schedule.NewBaseline(c, newView(3), schedule.RoundRobin, b)
		}},
		{"least reported", func(b *advisory.Tracker) schedule.Scheduler {
			return schedule.NewBaseline(c, newView(3), schedule.LeastReported, b)
		}},
	}
	scenarios := []struct {
		name      string
		advice    map[ids.Target]advisory.Advice
		got       ids.Target // empty if refused
		backedOff bool
	}{
		{"one target without advice", map[ids.Target]advisory.Advice{"t0": {Leaving: true}, "t1": {Backoff: 3 * clock.Second}}, "t2", false},
		{"all leaving", map[ids.Target]advisory.Advice{"t0": {Leaving: true}, "t1": {Leaving: true}, "t2": {Leaving: true}}, "", false},
		{"all backing off or leaving", map[ids.Target]advisory.Advice{"t0": {Leaving: true}, "t1": {Backoff: 3 * clock.Second}, "t2": {Backoff: 5 * clock.Second}}, "", true},
	}
	for _, of := range schedulers {
		for _, s := range scenarios {
			t.Run(of.name+", "+s.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					tracker := advisory.NewTracker(c)
					for id, a := range s.advice {
						tracker.Observe(ids.TargetIncarnation{Target: id}, 0, "r", a)
					}
					scheduler := of.of(tracker)
					for range 6 {
						p, refused, err := scheduler.Acquire(context.Background(), schedule.Request{Service: "s"})
						switch {
						case err != nil:
							t.Fatal(err)
						case p != nil && p.Target().ID != s.got, p == nil && s.got != "":
							t.Fatalf("assignment %v, refused %+v", p, refused)
						case s.backedOff && (!refused.BackedOff || refused.RetryAfter < 3000 || refused.RetryAfter > 4000):
							t.Fatalf("refused %+v", refused)
						case p == nil && !s.backedOff && refused.BackedOff:
							t.Fatalf("refused %+v", refused)
						}
					}
				})
			})
		}
	}
}

// TestLocalAssignsNothingToLimitedTargets guards against entries that reach no owner and each send a target the rate
// that it takes from all entries together.
func TestLocalAssignsNothingToLimitedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := commontest.New(network.NewMemory(nil))
		tracker := advisory.NewTracker(c)
		for _, id := range []ids.Target{"t0", "t1"} {
			tracker.Observe(ids.TargetIncarnation{Target: id}, 0, "r", advisory.Advice{Limit: ratelimit.ParsedLimit{Given: true, Readable: true, Rate: 5}, RequestedAt: c.Clock.Now()})
		}
		local := schedule.NewLocal(c, newView(3), tracker)
		for range 6 {
			p, refused, err := local.Acquire(context.Background(), schedule.Request{Service: "s"})
			if err != nil || refused != nil {
				t.Fatalf("refused %+v, %v", refused, err)
			}
			if p.Target().ID != "t2" {
				t.Errorf("assigned to %s, which has reported a rate limit", p.Target().ID)
			}
		}
	})
}
