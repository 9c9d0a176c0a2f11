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

func newBook() *advisory.Tracker {
	return advisory.NewTracker(commontest.New(network.NewMemory(nil)))
}

var life = ids.TargetIncarnation{Target: "t", Start: 5000}

// TestWhatTargetsSayHolds has a life of a target say something, and looks a while later at what stands.
func TestWhatTargetsSayHolds(t *testing.T) {
	const second = clock.Second
	scenarios := []struct {
		name    string
		said    []advisory.Advice // half a second apart
		after   time.Duration     // from the last
		of      ids.TargetIncarnation
		leaving bool
		rest    clock.Millis
	}{
		{"nothing", nil, 0, life, false, 0},
		{"leaving", []advisory.Advice{{Leaving: true}}, time.Hour, life, true, 0},
		{"leaving, and an answer without the word", []advisory.Advice{{Leaving: true}, {}}, 0, life, true, 0},
		{"rest", []advisory.Advice{{Backoff: 3 * second}}, time.Second, life, false, 2 * second},
		{"rest that is over", []advisory.Advice{{Backoff: 3 * second}}, 3 * time.Second, life, false, 0},
		{"an answer without rest does not end it", []advisory.Advice{{Backoff: 3 * second}, {}}, 0, life, false, 2500},
		{"a shorter rest does not shorten it", []advisory.Advice{{Backoff: 3 * second}, {Backoff: second}}, 0, life, false, 2500},
		{"a longer one lengthens it", []advisory.Advice{{Backoff: second}, {Backoff: 3 * second}}, 0, life, false, 3 * second},
		{"both", []advisory.Advice{{Leaving: true, Backoff: 3 * second}}, 0, life, true, 3 * second},
		{"another life", []advisory.Advice{{Leaving: true, Backoff: 3 * second}}, 0, ids.TargetIncarnation{Target: "t", Start: 4000}, false, 0},
		{"a life of which the start is not known may be the same", []advisory.Advice{{Leaving: true}}, 0, ids.TargetIncarnation{Target: "t"}, true, 0},
		{"another target", []advisory.Advice{{Leaving: true, Backoff: 3 * second}}, 0, ids.TargetIncarnation{Target: "u", Start: 5000}, false, 0},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			b := newBook()
			for i, a := range s.said {
				if i > 0 {
					time.Sleep(500 * time.Millisecond)
				}
				b.Observe(life, 0, "r", a)
			}
			time.Sleep(s.after)
			got := b.Status(s.of)
			if got.Leaving != s.leaving || got.Backoff != s.rest || got.Blocks() != (s.leaving || s.rest > 0) {
				t.Errorf("%s: %+v, want leaving %t, rest %d ms", s.name, got, s.leaving, s.rest)
			}
		})
	}
}

// TestTheWordOfALifeThatWasNotReadYet: an entry took a target that had started again for its former life, and then read
// of the new one. Whose word it was is told by the date of the answer, which is by the same clock as the start; without one by
// when the connection was made, by the clock of another VM. What is in doubt holds for 4 s from when the new life
// is listed.
func TestTheWordOfALifeThatWasNotReadYet(t *testing.T) {
	const (
		start = 2_000_000
		no    = clock.Millis(0)
		doubt = 4 * clock.Second
		long  = 30 * clock.Second
	)
	before, next := ids.TargetIncarnation{Target: "t", Start: 1_000_000}, ids.TargetIncarnation{Target: "t", Start: start}
	scenarios := []struct {
		name            string
		connected, said ids.Start
		leaving         bool
		// of one that said that it leaves, and of one that asked for 30 s of rest
		leavingRests, rests clock.Millis
	}{
		{"undated, long before", start - 500_000, 0, false, no, no},
		{"undated, just more before than clocks may differ", start - 3000, 0, false, no, no},
		{"undated, so soon before that clocks may differ", start - 2999, 0, false, doubt, doubt},
		{"undated, at the start", start, 0, false, doubt, doubt},
		{"undated, so soon after that clocks may differ", start + 2999, 0, false, doubt, doubt},
		{"undated, long after", start + 3000, 0, true, no, long},
		{"nobody knows when", 0, 0, false, no, no},
		{"dated before, connected after", start + 20_000, start - 1000, false, no, no},
		{"dated in the second of the start, connected before", start - 20_000, start - 999, false, doubt, doubt},
		{"dated in the second of the start, connected after", start + 20_000, start - 999, false, doubt, doubt},
		{"dated after, connected before", start - 20_000, start, true, no, long},
		{"dated and connected after", start + 1000, start + 1000, true, no, long},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			leaves, rests := newBook(), newBook()
			leaves.Observe(before, s.connected, "r", advisory.Advice{Leaving: true, SentAt: s.said})
			rests.Observe(before, s.connected, "r", advisory.Advice{Backoff: long, SentAt: s.said})
			check := func(when string, leavingRests, rest clock.Millis) {
				t.Helper()
				if got, want := leaves.Status(next), (advisory.Status{Incarnation: next, Leaving: s.leaving, Backoff: leavingRests}); got != want {
					t.Errorf("%s, %s: leaves %+v, want %+v", s.name, when, got, want)
				}
				if got, want := rests.Status(next), (advisory.Status{Incarnation: next, Backoff: rest}); got != want {
					t.Errorf("%s, %s: rests %+v, want %+v", s.name, when, got, want)
				}
			}
			leaves.SetDirectory(listed(next))
			rests.SetDirectory(listed(next))
			check("at once", s.leavingRests, s.rests)
			time.Sleep(time.Second)
			leaves.SetDirectory(listed(next)) // a list of something else that is new
			rests.SetDirectory(listed(next))
			check("a second later", max(0, s.leavingRests-1000), max(0, s.rests-1000))
			time.Sleep(3 * time.Second)
			check("four seconds later", 0, max(0, s.rests-4000))
			for range 700 {
				time.Sleep(time.Second)
				leaves.Prune(listed(next))
				rests.Prune(listed(next))
			}
			check("after ten minutes", 0, 0)
			if len(rests.All()) > 0 {
				t.Errorf("%s: kept for ever", s.name)
			}
		})
	}
}

// TestAShorterRestOfALifeThatWasNotReadYet: a former life had asked for a long rest. The next one, before its row was
// read, asked for a shorter one: that holds once it is read, and the longer one does not.
func TestAShorterRestOfALifeThatWasNotReadYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook()
		before, next := ids.TargetIncarnation{Target: "t", Start: 1_000_000}, ids.TargetIncarnation{Target: "t", Start: 2_000_000}
		b.Observe(before, 1_500_000, "r", advisory.Advice{Backoff: clock.Minute})
		for range 10 {
			b.Observe(before, 2_010_000, "r", advisory.Advice{Backoff: 3 * clock.Second})
			time.Sleep(10 * time.Millisecond)
		}
		if got := b.Status(before).Backoff; got != clock.Minute-100 {
			t.Errorf("before it is read: %d ms", got)
		}
		if got := b.Status(next).Backoff; got != 3*clock.Second-10 {
			t.Errorf("of the new life: %d ms", got)
		}
	})
}

func listed(lives ...ids.TargetIncarnation) *routing.Directory {
	var targets []*routing.Target
	for _, l := range lives {
		targets = append(targets, &routing.Target{ID: l.Target, Start: l.Start, Service: "s"})
	}
	return routing.NewDirectory(targets)
}

// TestTheWordOutlastsALapsedRow: a target that leaves was off the list for some seconds, as its row had lapsed
// while the store was away, and came back with a row that said that it was ready. Of lives that do not come
// back nothing is kept for ever.
func TestTheWordOutlastsALapsedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook()
		b.Observe(life, 0, "r", advisory.Advice{Leaving: true})
		for range 60 {
			time.Sleep(time.Second)
			b.Prune(listed())
		}
		b.Prune(listed(life))
		if !b.Status(life).Leaving {
			t.Error("forgotten while its row had lapsed for a minute")
		}
		next := ids.TargetIncarnation{Target: "t", Start: 6000}
		time.Sleep(11 * time.Minute)
		b.Prune(listed(life))
		if !b.Status(life).Leaving {
			t.Error("forgotten while it is listed")
		}
		time.Sleep(11 * time.Minute)
		b.Prune(listed(next))
		if b.Status(life).Leaving || len(b.All()) > 0 {
			t.Error("kept for ever")
		}
	})
}

// TestWhatIsNewIsTold: those who place are told what is new here, and not what each answer repeats.
func TestWhatIsNewIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook()
		var told []advisory.Status
		b.OnChange(func(s advisory.Status) { told = append(told, s) })
		for range 3 {
			b.Observe(life, 0, "r", advisory.Advice{Leaving: true})
		}
		b.Observe(life, 0, "r", advisory.Advice{Backoff: 3 * clock.Second})
		b.Observe(life, 0, "r", advisory.Advice{Backoff: clock.Second})
		b.Observe(life, 0, "r", advisory.Advice{Backoff: 4 * clock.Second})
		want := []advisory.Status{
			{Incarnation: life, Leaving: true},
			{Incarnation: life, Leaving: true, Backoff: 3 * clock.Second},
			{Incarnation: life, Leaving: true, Backoff: 4 * clock.Second},
		}
		if !slices.Equal(told, want) {
			t.Errorf("told %+v, want %+v", told, want)
		}
	})
}

// TestAnEntryWithoutABook: parts that are built without one hear nothing and forbid nothing.
func TestAnEntryWithoutABook(t *testing.T) {
	var b *advisory.Tracker
	b.Observe(life, 0, "r", advisory.Advice{Leaving: true})
	if b.Status(life).Blocks() || b.All() != nil {
		t.Error("a book that is not there knows something")
	}
}

// BenchmarkQuiet is what a request pays while no target says anything: its answer is heard, and the book
// asked before it is sent. 20 ns, no allocation.
func BenchmarkQuiet(b *testing.B) {
	book := newBook()
	b.ReportAllocs()
	for b.Loop() {
		book.Observe(life, 0, "r", advisory.Advice{})
		if book.Status(life).Blocks() {
			b.Fatal("barred")
		}
	}
}

// BenchmarkAmongAHundred is the asking while 100 targets leave. 124 ns, no allocation.
func BenchmarkAmongAHundred(b *testing.B) {
	book := newBook()
	for n := range 100 {
		book.Observe(ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("other", n))}, 0, "r", advisory.Advice{Leaving: true})
	}
	b.ReportAllocs()
	for b.Loop() {
		if book.Status(life).Blocks() {
			b.Fatal("barred")
		}
	}
}

// TestOperatorsSeeBothSources: what a target says of itself stands beside what the list says.
func TestOperatorsSeeBothSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook()
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
