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

// TestNoPlaceOnATargetThatHasSaidNo: schedulers of one entry alone go by what its targets have told it, and say when to
// come back if all rest.
func TestNoPlaceOnATargetThatHasSaidNo(t *testing.T) {
	c := commontest.New(network.NewMemory(nil))
	schedulers := []struct {
		name string
		of   func(*advisory.Tracker) schedule.Scheduler
	}{
		{"own counts", func(b *advisory.Tracker) schedule.Scheduler { return schedule.NewLocal(c, newView(3), b) }},
		{"in turn", func(b *advisory.Tracker) schedule.Scheduler {
			return schedule.NewBaseline(c, newView(3), schedule.RoundRobin, b)
		}},
		{"least reported", func(b *advisory.Tracker) schedule.Scheduler {
			return schedule.NewBaseline(c, newView(3), schedule.LeastReported, b)
		}},
	}
	scenarios := []struct {
		name    string
		said    map[ids.Target]advisory.Advice
		got     ids.Target // empty if refused
		resting bool
	}{
		{"one has said nothing", map[ids.Target]advisory.Advice{"t0": {Leaving: true}, "t1": {Backoff: 3 * clock.Second}}, "t2", false},
		{"all leave", map[ids.Target]advisory.Advice{"t0": {Leaving: true}, "t1": {Leaving: true}, "t2": {Leaving: true}}, "", false},
		{"all rest or leave", map[ids.Target]advisory.Advice{"t0": {Leaving: true}, "t1": {Backoff: 3 * clock.Second}, "t2": {Backoff: 5 * clock.Second}}, "", true},
	}
	for _, of := range schedulers {
		for _, s := range scenarios {
			t.Run(of.name+", "+s.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					book := advisory.NewTracker(c)
					for id, a := range s.said {
						book.Observe(ids.TargetIncarnation{Target: id}, 0, "r", a)
					}
					scheduler := of.of(book)
					for range 6 {
						p, refused, err := scheduler.Acquire(context.Background(), schedule.Request{Service: "s"})
						switch {
						case err != nil:
							t.Fatal(err)
						case p != nil && p.Target().ID != s.got, p == nil && s.got != "":
							t.Fatalf("place %v, refused %+v", p, refused)
						case s.resting && (!refused.BackedOff || refused.RetryAfter < 3000 || refused.RetryAfter > 4000):
							t.Fatalf("refused %+v", refused)
						case p == nil && !s.resting && refused.BackedOff:
							t.Fatalf("refused %+v", refused)
						}
					}
				})
			})
		}
	}
}

// TestOwnCountsGiveNothingToLimitedTargets guards against entries without a home that each send what a target takes from all.
func TestOwnCountsGiveNothingToLimitedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := commontest.New(network.NewMemory(nil))
		book := advisory.NewTracker(c)
		for _, id := range []ids.Target{"t0", "t1"} {
			book.Observe(ids.TargetIncarnation{Target: id}, 0, "r", advisory.Advice{Limit: ratelimit.ParsedLimit{Given: true, Readable: true, Rate: 5}, RequestedAt: c.Clock.Now()})
		}
		local := schedule.NewLocal(c, newView(3), book)
		for range 6 {
			p, refused, err := local.Acquire(context.Background(), schedule.Request{Service: "s"})
			if err != nil || refused != nil {
				t.Fatalf("refused %+v, %v", refused, err)
			}
			if p.Target().ID != "t2" {
				t.Errorf("%s has named a limit", p.Target().ID)
			}
		}
	})
}
