package advisory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
)

// answer is one answer of a target.
type answer struct {
	limit ratelimit.ParsedLimit
	sent  clock.Millis // how long before the answer arrived its request was sent
}

// limited returns a limit as an answer reports it.
func limited(perSecond ratelimit.Rate) ratelimit.ParsedLimit {
	return ratelimit.ParsedLimit{Given: true, Readable: true, Rate: perSecond}
}

// Answers arrive a second apart; the limit in force is that of the answer to the latest request.
func TestLimitHoldsUntilALaterAnswerChangesIt(t *testing.T) {
	const none = ratelimit.Rate(-1)
	unreadable := ratelimit.ParsedLimit{Given: true}
	scenarios := []struct {
		name    string
		answers []answer
		want    ratelimit.Rate // none: no limit
	}{
		{"no limit", []answer{{ratelimit.ParsedLimit{}, 10}}, none},
		{"one limit", []answer{{limited(2), 10}}, 2},
		{"then a higher one", []answer{{limited(2), 10}, {limited(5), 10}}, 5},
		{"then a lower one", []answer{{limited(5), 10}, {limited(2), 10}}, 2},
		{"then none", []answer{{limited(2), 10}, {ratelimit.ParsedLimit{}, 10}}, none},
		{"then none in the answer to an earlier request", []answer{{limited(2), 10}, {ratelimit.ParsedLimit{}, 1500}}, 2},
		{"then a higher one in the answer to an earlier request", []answer{{limited(2), 10}, {limited(5), 1500}}, 2},
		{"then a lower one in the answer to an earlier request", []answer{{limited(5), 10}, {limited(2), 1500}}, 2},
		{"then one that is not a number", []answer{{limited(2), 10}, {unreadable, 10}}, 2},
		{"only one that is not a number", []answer{{unreadable, 10}}, none},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			b := newTracker()
			for _, a := range s.answers {
				b.Observe(incarnation, 0, "r", advisory.Advice{Limit: a.limit, RequestedAt: b.Clock.Now() - a.sent})
				time.Sleep(time.Second)
			}
			got := b.Status(incarnation)
			if got.Limit.IsLimited() != (s.want != none) || s.want != none && got.Limit.Rate != s.want {
				t.Errorf("%s: %+v, want %v", s.name, got.Limit, s.want)
			}
			if got.Blocks() {
				t.Errorf("%s: a limit blocks the target", s.name)
			}
		})
	}
}

// A limit that arrived before the new incarnation was read applies to it, unless the former incarnation has certainly
// reported it. It ends with the first answer without a limit.
func TestLimitOfAnIncarnationThatWasNotReadYet(t *testing.T) {
	const start = 2_000_000
	before, next := ids.TargetIncarnation{Target: "t", Start: 1_000_000}, ids.TargetIncarnation{Target: "t", Start: start}
	scenarios := []struct {
		name            string
		connected, sent ids.Start // when the connection was made, and the date of the answer; 0 if unknown
		holds           bool      // whether the limit applies to the new incarnation
	}{
		{"dated before", start + 1000, start - 1000, false},
		{"dated after", start - 1000, start, true},
		{"connected long before", start - 3000, 0, false},
		{"connected about the start", start, 0, true},
		{"undated, time of the connection unknown", 0, 0, false},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			b := newTracker()
			b.Observe(before, s.connected, "r", advisory.Advice{Limit: limited(2), SentAt: s.sent, RequestedAt: b.Clock.Now()})
			b.SetDirectory(listed(next))
			if got := b.Status(next).Limit.IsLimited(); got != s.holds {
				t.Errorf("%s: limit applies %t, want %t", s.name, got, s.holds)
			}
			time.Sleep(time.Second)
			b.Observe(next, start+5000, "r", advisory.Advice{RequestedAt: b.Clock.Now()})
			if b.Status(next).Limit.IsLimited() {
				t.Errorf("%s: limit still applies after an answer without one", s.name)
			}
		})
	}
}

// Limits are removed some time after they were lifted, or after their targets are no longer listed.
func TestLiftedAndUnlistedLimitsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTracker()
		lifted, gone := ids.TargetIncarnation{Target: "lifted", Start: 1}, ids.TargetIncarnation{Target: "gone", Start: 1}
		b.Observe(lifted, 0, "r", advisory.Advice{Limit: limited(2), RequestedAt: b.Clock.Now()})
		b.Observe(gone, 0, "r", advisory.Advice{Limit: limited(2), RequestedAt: b.Clock.Now()})
		time.Sleep(time.Second)
		b.Observe(lifted, 0, "r", advisory.Advice{RequestedAt: b.Clock.Now()})
		time.Sleep(9 * time.Minute)
		b.Prune(listed(lifted))
		if !b.Status(gone).Limit.IsLimited() {
			t.Error("removed after nine minutes off the list")
		}
		time.Sleep(2 * time.Minute)
		b.Prune(listed(lifted))
		if len(b.All()) > 0 {
			t.Errorf("not removed: %+v", b.All())
		}
	})
}

// Guards against an owner that keeps applying a lifted limit, as it could not tell that the first answer without the
// limit was the later one. A further answer without it must still be passed on.
func TestFurtherAnswersWithoutALimitAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTracker()
		b.Observe(incarnation, 0, "r", advisory.Advice{Limit: limited(12), RequestedAt: b.Clock.Now()})
		owner := b.Status(incarnation).Limit
		time.Sleep(50 * time.Millisecond)
		b.Observe(incarnation, 0, "r", advisory.Advice{RequestedAt: b.Clock.Now()})
		now := b.Clock.Now()
		if owner = owner.Merge(b.Status(incarnation).Limit.Aged(now).Report(now)); !owner.IsLimited() {
			t.Fatal("the owner can tell after 50 ms")
		}
		time.Sleep(500 * time.Millisecond)
		b.Observe(incarnation, 0, "r", advisory.Advice{RequestedAt: b.Clock.Now()})
		now = b.Clock.Now()
		if owner = owner.Merge(b.Status(incarnation).Limit.Aged(now).Report(now)); owner.IsLimited() {
			t.Error("the owner still applies the limit after another answer without it")
		}
	})
}
