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

// answer is one answer of a target, and when its request was sent, counted back from when it is heard.
type answer struct {
	limit ratelimit.ParsedLimit
	sent  clock.Millis
}

func limited(perSecond ratelimit.Rate) ratelimit.ParsedLimit {
	return ratelimit.ParsedLimit{Given: true, Readable: true, Rate: perSecond}
}

// TestALimitHoldsUntilALaterAnswerSaysOtherwise: answers a second apart.
func TestALimitHoldsUntilALaterAnswerSaysOtherwise(t *testing.T) {
	const none = ratelimit.Rate(-1)
	unreadable := ratelimit.ParsedLimit{Given: true}
	scenarios := []struct {
		name    string
		answers []answer
		want    ratelimit.Rate // none is no limit
	}{
		{"nothing named", []answer{{ratelimit.ParsedLimit{}, 10}}, none},
		{"a limit", []answer{{limited(2), 10}}, 2},
		{"a higher one", []answer{{limited(2), 10}, {limited(5), 10}}, 5},
		{"a lower one", []answer{{limited(5), 10}, {limited(2), 10}}, 2},
		{"none any more", []answer{{limited(2), 10}, {ratelimit.ParsedLimit{}, 10}}, none},
		{"an answer without one to an earlier request", []answer{{limited(2), 10}, {ratelimit.ParsedLimit{}, 1500}}, 2},
		{"a higher one in an answer to an earlier request", []answer{{limited(2), 10}, {limited(5), 1500}}, 2},
		{"a lower one in an answer to an earlier request", []answer{{limited(5), 10}, {limited(2), 1500}}, 2},
		{"one that is no number", []answer{{limited(2), 10}, {unreadable, 10}}, 2},
		{"one that is no number, and none before", []answer{{unreadable, 10}}, none},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			b := newBook()
			for _, a := range s.answers {
				b.Observe(life, 0, "r", advisory.Advice{Limit: a.limit, RequestedAt: b.Clock.Now() - a.sent})
				time.Sleep(time.Second)
			}
			got := b.Status(life)
			if got.Limit.IsLimited() != (s.want != none) || s.want != none && got.Limit.Rate != s.want {
				t.Errorf("%s: %+v, want %v", s.name, got.Limit, s.want)
			}
			if got.Blocks() {
				t.Errorf("%s: a limit bars the target", s.name)
			}
		})
	}
}

// TestTheLimitOfALifeThatWasNotReadYet: it holds for the new life unless the former one surely named it, and ends with the
// first answer without.
func TestTheLimitOfALifeThatWasNotReadYet(t *testing.T) {
	const start = 2_000_000
	before, next := ids.TargetIncarnation{Target: "t", Start: 1_000_000}, ids.TargetIncarnation{Target: "t", Start: start}
	scenarios := []struct {
		name            string
		connected, said ids.Start
		holds           bool
	}{
		{"dated before", start + 1000, start - 1000, false},
		{"dated after", start - 1000, start, true},
		{"connected long before", start - 3000, 0, false},
		{"connected about the start", start, 0, true},
		{"nobody knows when", 0, 0, false},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			b := newBook()
			b.Observe(before, s.connected, "r", advisory.Advice{Limit: limited(2), SentAt: s.said, RequestedAt: b.Clock.Now()})
			b.SetDirectory(listed(next))
			if got := b.Status(next).Limit.IsLimited(); got != s.holds {
				t.Errorf("%s: holds %t, want %t", s.name, got, s.holds)
			}
			time.Sleep(time.Second)
			b.Observe(next, start+5000, "r", advisory.Advice{RequestedAt: b.Clock.Now()})
			if b.Status(next).Limit.IsLimited() {
				t.Errorf("%s: holds after an answer without", s.name)
			}
		})
	}
}

// TestLimitsAreForgotten: once lifted, or long after their targets have gone.
func TestLimitsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook()
		lifted, gone := ids.TargetIncarnation{Target: "lifted", Start: 1}, ids.TargetIncarnation{Target: "gone", Start: 1}
		b.Observe(lifted, 0, "r", advisory.Advice{Limit: limited(2), RequestedAt: b.Clock.Now()})
		b.Observe(gone, 0, "r", advisory.Advice{Limit: limited(2), RequestedAt: b.Clock.Now()})
		time.Sleep(time.Second)
		b.Observe(lifted, 0, "r", advisory.Advice{RequestedAt: b.Clock.Now()})
		time.Sleep(9 * time.Minute)
		b.Prune(listed(lifted))
		if !b.Status(gone).Limit.IsLimited() {
			t.Error("forgotten after nine minutes off the list")
		}
		time.Sleep(2 * time.Minute)
		b.Prune(listed(lifted))
		if len(b.All()) > 0 {
			t.Errorf("kept for ever: %+v", b.All())
		}
	})
}

// TestALiftedLimitIsHeardOfAgain guards against a home that goes on by a limit, as it could not tell that the first answer without it was the later one.
func TestALiftedLimitIsHeardOfAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook()
		b.Observe(life, 0, "r", advisory.Advice{Limit: limited(12), RequestedAt: b.Clock.Now()})
		home := b.Status(life).Limit
		time.Sleep(50 * time.Millisecond)
		b.Observe(life, 0, "r", advisory.Advice{RequestedAt: b.Clock.Now()})
		now := b.Clock.Now()
		if home = home.Merge(b.Status(life).Limit.Aged(now).Report(now)); !home.IsLimited() {
			t.Fatal("the home can tell after 50 ms")
		}
		time.Sleep(500 * time.Millisecond)
		b.Observe(life, 0, "r", advisory.Advice{RequestedAt: b.Clock.Now()})
		now = b.Clock.Now()
		if home = home.Merge(b.Status(life).Limit.Aged(now).Report(now)); home.IsLimited() {
			t.Error("the home still goes by it after another answer without")
		}
	})
}
