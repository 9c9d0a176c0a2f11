package advisory_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// newTracker returns a tracker without advice.
func newTracker() *advisory.Tracker {
	return advisory.NewTracker(commontest.New(network.NewMemory(nil)))
}

// incarnation is the one that gives advice in most tests.
var incarnation = ids.TargetIncarnation{Target: "t", Start: 5000}

// An incarnation gives advice, and its status is checked some time later.
func TestStatusAfterAdvice(t *testing.T) {
	const second = clock.Second
	scenarios := []struct {
		name    string
		advice  []advisory.Advice     // given half a second apart
		after   time.Duration         // time from the last advice to the check
		of      ids.TargetIncarnation // whose status is checked
		leaving bool
		backoff clock.Millis // remaining at the check
	}{
		{"no advice", nil, 0, incarnation, false, 0},
		{"leaving", []advisory.Advice{{Leaving: true}}, time.Hour, incarnation, true, 0},
		{"leaving, and an answer without advice", []advisory.Advice{{Leaving: true}, {}}, 0, incarnation, true, 0},
		{"back-off", []advisory.Advice{{Backoff: 3 * second}}, time.Second, incarnation, false, 2 * second},
		{"back-off that has ended", []advisory.Advice{{Backoff: 3 * second}}, 3 * time.Second, incarnation, false, 0},
		{"an answer without back-off does not end it", []advisory.Advice{{Backoff: 3 * second}, {}}, 0, incarnation, false, 2500},
		{"a shorter back-off does not shorten it", []advisory.Advice{{Backoff: 3 * second}, {Backoff: second}}, 0, incarnation, false, 2500},
		{"a longer back-off extends it", []advisory.Advice{{Backoff: second}, {Backoff: 3 * second}}, 0, incarnation, false, 3 * second},
		{"leaving and back-off", []advisory.Advice{{Leaving: true, Backoff: 3 * second}}, 0, incarnation, true, 3 * second},
		{"another incarnation", []advisory.Advice{{Leaving: true, Backoff: 3 * second}}, 0, ids.TargetIncarnation{Target: "t", Start: 4000}, false, 0},
		{"an incarnation without a known start may be the same", []advisory.Advice{{Leaving: true}}, 0, ids.TargetIncarnation{Target: "t"}, true, 0},
		{"another target", []advisory.Advice{{Leaving: true, Backoff: 3 * second}}, 0, ids.TargetIncarnation{Target: "u", Start: 5000}, false, 0},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			b := newTracker()
			for i, a := range s.advice {
				if i > 0 {
					time.Sleep(500 * time.Millisecond)
				}
				b.Observe(incarnation, 0, "r", a)
			}
			time.Sleep(s.after)
			got := b.Status(s.of)
			if got.Leaving != s.leaving || got.Backoff != s.backoff || got.Blocks() != (s.leaving || s.backoff > 0) {
				t.Errorf("%s: %+v, want leaving %t, back-off of %d ms", s.name, got, s.leaving, s.backoff)
			}
		})
	}
}

// An entry took a restarted target for its former incarnation, and then read of the new one. Which of them has sent the
// advice is recognized by the date of the answer, which is by the same clock as the start; or, without a date, by the
// time of the connection, which is by the clock of another VM. If it remains unclear, the advice counts for 4 s after
// the new incarnation is listed.
func TestAdviceOfAnIncarnationThatWasNotReadYet(t *testing.T) {
	const (
		start   = 2_000_000
		no      = clock.Millis(0)
		unclear = 4 * clock.Second
		long    = 30 * clock.Second
	)
	before, next := ids.TargetIncarnation{Target: "t", Start: 1_000_000}, ids.TargetIncarnation{Target: "t", Start: start}
	scenarios := []struct {
		name            string
		connected, sent ids.Start // when the connection was made, and the date of the answer; 0 if unknown
		leaving         bool      // whether the new incarnation counts as leaving
		// back-offs of the new incarnation after a report of leaving, and after one of a back-off of 30 s
		leavingBackoff, backingOff clock.Millis
	}{
		{"undated, long before", start - 500_000, 0, false, no, no},
		{"undated, before by just the tolerance of clocks", start - 3000, 0, false, no, no},
		{"undated, before by less than the tolerance of clocks", start - 2999, 0, false, unclear, unclear},
		{"undated, at the start", start, 0, false, unclear, unclear},
		{"undated, after by less than the tolerance of clocks", start + 2999, 0, false, unclear, unclear},
		{"undated, after by the tolerance of clocks", start + 3000, 0, true, no, long},
		{"undated, time of the connection unknown", 0, 0, false, no, no},
		{"dated before, connected after", start + 20_000, start - 1000, false, no, no},
		{"dated within the second of the start, connected before", start - 20_000, start - 999, false, unclear, unclear},
		{"dated within the second of the start, connected after", start + 20_000, start - 999, false, unclear, unclear},
		{"dated after, connected before", start - 20_000, start, true, no, long},
		{"dated and connected after", start + 1000, start + 1000, true, no, long},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			leaves, backingOff := newTracker(), newTracker()
			leaves.Observe(before, s.connected, "r", advisory.Advice{Leaving: true, SentAt: s.sent})
			backingOff.Observe(before, s.connected, "r", advisory.Advice{Backoff: long, SentAt: s.sent})
			check := func(when string, leavingBackoff, backoff clock.Millis) {
				t.Helper()
				if got, want := leaves.Status(next), (advisory.Status{Incarnation: next, Leaving: s.leaving, Backoff: leavingBackoff}); got != want {
					t.Errorf("%s, %s: leaving: %+v, want %+v", s.name, when, got, want)
				}
				if got, want := backingOff.Status(next), (advisory.Status{Incarnation: next, Backoff: backoff}); got != want {
					t.Errorf("%s, %s: back-off: %+v, want %+v", s.name, when, got, want)
				}
			}
			leaves.SetDirectory(listed(next))
			backingOff.SetDirectory(listed(next))
			check("at once", s.leavingBackoff, s.backingOff)
			time.Sleep(time.Second)
			leaves.SetDirectory(listed(next)) // a new directory that does not change this target
			backingOff.SetDirectory(listed(next))
			check("a second later", max(0, s.leavingBackoff-1000), max(0, s.backingOff-1000))
			time.Sleep(3 * time.Second)
			check("four seconds later", 0, max(0, s.backingOff-4000))
			for range 700 {
				time.Sleep(time.Second)
				leaves.Prune(listed(next))
				backingOff.Prune(listed(next))
			}
			check("after ten minutes", 0, 0)
			if len(backingOff.All()) > 0 {
				t.Errorf("%s: still kept after ten minutes", s.name)
			}
		})
	}
}

// A former incarnation had asked for a long back-off. The next one asked for a shorter one before its row was read:
// once it is read, the shorter back-off applies to it, and the longer one must not.
func TestShorterBackoffOfAnIncarnationThatWasNotReadYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTracker()
		before, next := ids.TargetIncarnation{Target: "t", Start: 1_000_000}, ids.TargetIncarnation{Target: "t", Start: 2_000_000}
		b.Observe(before, 1_500_000, "r", advisory.Advice{Backoff: clock.Minute})
		for range 10 {
			b.Observe(before, 2_010_000, "r", advisory.Advice{Backoff: 3 * clock.Second})
			time.Sleep(10 * time.Millisecond)
		}
		if got := b.Status(before).Backoff; got != clock.Minute-100 {
			t.Errorf("before the new incarnation is read: %d ms", got)
		}
		if got := b.Status(next).Backoff; got != 3*clock.Second-10 {
			t.Errorf("of the new incarnation: %d ms", got)
		}
	})
}

// listed returns a directory of targets of one service.
func listed(incarnations ...ids.TargetIncarnation) *routing.Directory {
	var targets []*routing.Target
	for _, l := range incarnations {
		targets = append(targets, &routing.Target{ID: l.Target, Start: l.Start, Service: "s"})
	}
	return routing.NewDirectory(targets)
}

// Guards against requests to a leaving target whose row has expired for some time while the store was unreachable, and
// which came back with a row that said that it was ready. The advice of incarnations that do not come back must be
// removed eventually.
func TestAdviceOutlastsAnExpiredRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTracker()
		b.Observe(incarnation, 0, "r", advisory.Advice{Leaving: true})
		for range 60 {
			time.Sleep(time.Second)
			b.Prune(listed())
		}
		b.Prune(listed(incarnation))
		if !b.Status(incarnation).Leaving {
			t.Error("removed while its row had expired for a minute")
		}
		next := ids.TargetIncarnation{Target: "t", Start: 6000}
		time.Sleep(11 * time.Minute)
		b.Prune(listed(incarnation))
		if !b.Status(incarnation).Leaving {
			t.Error("removed while it is listed")
		}
		time.Sleep(11 * time.Minute)
		b.Prune(listed(next))
		if b.Status(incarnation).Leaving || len(b.All()) > 0 {
			t.Error("still kept though another incarnation has been listed")
		}
	})
}

// The scheduler is notified of advice that changes a status, and not of advice that further answers repeat.
func TestOnlyChangesOfStatusAreNotified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTracker()
		var notified []advisory.Status
		b.OnChange(func(s advisory.Status) { notified = append(notified, s) })
		for range 3 {
			b.Observe(incarnation, 0, "r", advisory.Advice{Leaving: true})
		}
		b.Observe(incarnation, 0, "r", advisory.Advice{Backoff: 3 * clock.Second})
		b.Observe(incarnation, 0, "r", advisory.Advice{Backoff: clock.Second})
		b.Observe(incarnation, 0, "r", advisory.Advice{Backoff: 4 * clock.Second})
		want := []advisory.Status{
			{Incarnation: incarnation, Leaving: true},
			{Incarnation: incarnation, Leaving: true, Backoff: 3 * clock.Second},
			{Incarnation: incarnation, Leaving: true, Backoff: 4 * clock.Second},
		}
		if !slices.Equal(notified, want) {
			t.Errorf("notified of %+v, want %+v", notified, want)
		}
	})
}

// Components that are built without a tracker must work: a nil tracker takes no advice and blocks no target.
func TestNilTrackerBlocksNothing(t *testing.T) {
	var b *advisory.Tracker
	b.Observe(incarnation, 0, "r", advisory.Advice{Leaving: true})
	if b.Status(incarnation).Blocks() || b.All() != nil {
		t.Error("a nil tracker has advice")
	}
}

// BenchmarkNoAdvice measures the cost for a request while no target gives advice: the check before it is sent, and the
// observation of its answer.
func BenchmarkNoAdvice(b *testing.B) {
	tracker := newTracker()
	b.ReportAllocs()
	for b.Loop() {
		tracker.Observe(incarnation, 0, "r", advisory.Advice{})
		if tracker.Status(incarnation).Blocks() {
			b.Fatal("target blocked without advice")
		}
	}
}

// BenchmarkHundredLeaving measures the check before a request is sent, while 100 targets are leaving.
func BenchmarkHundredLeaving(b *testing.B) {
	tracker := newTracker()
	for n := range 100 {
		tracker.Observe(ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("other", n))}, 0, "r", advisory.Advice{Leaving: true})
	}
	b.ReportAllocs()
	for b.Loop() {
		if tracker.Status(incarnation).Blocks() {
			b.Fatal("target blocked without advice")
		}
	}
}

// A report shows a target's advice beside its state in the target list.
func TestReportShowsAdviceBesideTheTargetList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTracker()
		for _, id := range []ids.Target{"again", "gone", "leaving", "ready"} {
			b.Observe(ids.TargetIncarnation{Target: id, Start: 5000}, 0, "r", advisory.Advice{Leaving: true})
		}
		b.Observe(ids.TargetIncarnation{Target: "resting", Start: 5000}, 0, "r", advisory.Advice{Backoff: clock.Second})
		directory := routing.NewDirectory([]*routing.Target{
			{ID: "again", Start: 6000, Service: "s"}, {ID: "leaving", Start: 5000, Service: "s", Leaving: true},
			{ID: "ready", Start: 5000, Service: "s"}, {ID: "resting", Start: 5000, Service: "s"},
		})
		want := []advisory.Report{
			{Target: "again", Start: 5000, Service: "s", Listed: "started again", Leaving: true},
			{Target: "gone", Start: 5000, Listed: "not listed", Leaving: true},
			{Target: "leaving", Start: 5000, Service: "s", Listed: "leaving", Leaving: true},
			{Target: "ready", Start: 5000, Service: "s", Listed: "ready", Leaving: true},
			{Target: "resting", Start: 5000, Service: "s", Listed: "ready", Backoff: clock.Second},
		}
		if got := b.Reports(directory); !slices.Equal(got, want) {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
}
