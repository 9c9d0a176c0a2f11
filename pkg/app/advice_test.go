package app

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/platform"
)

// TestATargetThatSaysThatItLeaves: a target said in each of its answers that it leaves, while its row said that it
// was ready, since the store took no writes. An entry passed such an answer on, and twelve seconds later still sent
// the target requests: it read of targets that leave in the list alone. What proved that: it happens just as well with
// a store that answers, and with entries that hear nothing of one another, so that neither an older row nor another
// entry that gives the places has overruled what the entry had been told.
func TestATargetThatSaysThatItLeaves(t *testing.T) {
	const length = 9 * time.Second
	scenarios := []struct {
		name    string
		leaving int // of twelve
		hurt    func(b *adviceBed)
	}{
		{"some", 4, nil},
		{"all but one", 11, nil},
		{"the store is silent", 4, func(b *adviceBed) { b.setStoreDown(true) }},
		{"entries that hear nothing of one another", 4, func(b *adviceBed) {
			for i := range b.entries {
				b.partition(i, true)
			}
		}},
		{"the home of the service moves", 4, func(b *adviceBed) {
			for i := range b.entries {
				time.Sleep(2 * time.Second)
				b.killEntry(i)
				time.Sleep(500 * time.Millisecond)
				b.restarted(i)
				b.startEntry(i)
			}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newAdviceBed(t)
				b.leave(s.leaving)
				if s.hurt != nil {
					go s.hurt(b)
				}
				answers := b.callers(length)
				share := served(answers, time.Second, length)
				t.Logf("%d requests against the word of %d targets, by %d pairs of entry and target; served %.3f", b.against, s.leaving, len(b.pairs), share)
				b.check()
				// Each kill of an entry costs its callers half a second, of 8 s in all.
				least := 0.97
				if s.name == "the home of the service moves" {
					least = 0.90
				}
				if share < least {
					t.Errorf("served %.3f, want %.2f", share, least)
				}
			})
		})
	}
}

// TestATargetThatAsksForRest: targets turned requests away and asked for three seconds of rest. The entry that was told
// so sent them three and four more in that time, and callers got them run elsewhere, after one or two tries in vain. It
// read that the request had not run, and not for how long the target wanted none. What proved that: a target that turns
// all away is kept mostly, by the count of its failures in a row, and one that serves some between, which clears the
// count, never.
func TestATargetThatAsksForRest(t *testing.T) {
	const length = 8 * time.Second
	hurts := []struct {
		name string
		hurt func(b *adviceBed)
	}{
		{"", nil},
		{", the store is silent", func(b *adviceBed) { b.setStoreDown(true) }},
		{", entries that hear nothing of one another", func(b *adviceBed) {
			for i := range b.entries {
				b.partition(i, true)
			}
		}},
	}
	rests := []time.Duration{time.Second, 3 * time.Second, 10 * time.Second}
	for _, share := range []float64{0.3, 1} {
		for _, h := range hurts {
			// Targets that rest for all of these times stand beside others, so that one bed is enough.
			t.Run(fmt.Sprintf("6 of 12 turn %.0f in 10 away for %v%s", 10*share, rests, h.name), func(t *testing.T) {
				t.Parallel()
				playRests(t, length, h.hurt, func(b *adviceBed) {
					for n := range 6 {
						b.shedAt(n, shedding{share: share, rest: rests[n%len(rests)]})
					}
				}, 0.97)
			})
			for _, long := range rests {
				t.Run(fmt.Sprintf("12 of 12 turn %.0f in 10 away for %v%s", 10*share, long, h.name), func(t *testing.T) {
					t.Parallel()
					playRests(t, length, h.hurt, func(b *adviceBed) { b.shed(12, shedding{share: share, rest: long}) }, 0)
				})
			}
		}
	}
}

// playRests plays targets that turn requests away, and checks what reaches them and that so many requests are served.
func playRests(t *testing.T, length time.Duration, hurt, shed func(b *adviceBed), least float64) {
	synctest.Test(t, func(t *testing.T) {
		b := newAdviceBed(t)
		shed(b)
		if hurt != nil {
			hurt(b)
		}
		answers := b.callers(length)
		got := served(answers, 0, length)
		t.Logf("%d requests turned away, %d too many by %d pairs of entry and target; served %.3f of %d", b.declined, b.withinRest, len(b.pairs), got, len(answers))
		b.check()
		if got < least {
			t.Errorf("served %.3f", got)
		}
	})
}

// TestATargetsOwn503AsksForRest: the answer to a request that has run may ask for rest as well.
func TestATargetsOwn503AsksForRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newAdviceBed(t)
		b.shed(6, shedding{share: 0.3, rest: 3 * time.Second, own: true})
		b.callers(10 * time.Second)
		b.check()
	})
}

// TestAllTargetsRest: all targets turn all requests away. Callers are told at once, with a time to come back
// that is not before the end of the rest, and not the same for all; the targets get a few requests each time they
// ask for rest, and work soon after it.
func TestAllTargetsRest(t *testing.T) {
	const (
		long = 3 * time.Second
		ends = 6 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		b := newAdviceBed(t)
		b.shed(12, shedding{share: 1, rest: long})
		answers := b.callers(ends)
		b.check()
		told := 0
		moments := make(map[time.Duration]int)
		for _, a := range answers {
			if a.at < time.Second || a.at > 2*time.Second {
				continue
			}
			if a.status != http.StatusServiceUnavailable || a.took > 100*time.Millisecond {
				t.Fatalf("status %d after %v", a.status, a.took)
			}
			told++
			moments[(a.at+a.took+a.back).Truncate(50*time.Millisecond)]++
		}
		most := 0
		for _, n := range moments {
			most = max(most, n)
		}
		t.Logf("%d requests turned away by targets; of %d callers told in a second %d at the most come back in the same 50 ms, in %d such spans", b.declined, told, most, len(moments))
		// Of 3 entries and 12 targets each pair may be tried a few times in each of two rests.
		if b.declined > 3*12*2*mostInRest {
			t.Errorf("%d requests reached targets that turn all away", b.declined)
		}
		if most > told/4 {
			t.Errorf("%d of %d callers come back within 50 ms", most, told)
		}
		b.shed(12, shedding{})
		time.Sleep(long)
		again := b.callers(b.now() + 2*time.Second)
		if share := served(again, b.now()-time.Second, b.now()); share < 0.97 {
			t.Errorf("served %.3f in the second second after the end", share)
		}
		if used := b.usedSince(b.now() - time.Second); used < 12 {
			t.Errorf("%d targets are used in the second second after the end", used)
		}
	})
}

// TestWhoStartsInThePlaceOfATargetThatLeft: a target said that it leaves, and ended; it starts again under its id, or
// another one stands at its address. What the former life said does not hold for these.
func TestWhoStartsInThePlaceOfATargetThatLeft(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("same id %t, store silent before %t", sameID, silent), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := newAdviceBed(t)
					former := b.engines[0].id
					b.leave(1)
					go b.callers(9 * time.Second)
					time.Sleep(time.Second)
					b.setStoreDown(silent)
					time.Sleep(2 * time.Second)
					b.said.Lock()
					delete(b.leaving, 0)
					b.said.Unlock()
					b.engines[0].end()
					next := former
					if !sameID {
						b.store.Remove(platform.TableTargets, former)
						next = "next"
					}
					time.Sleep(500 * time.Millisecond)
					b.startEngineAs(0, next)
					b.setStoreDown(false)
					b.said.Lock()
					b.told = make(map[pair]time.Duration) // of the former life
					before := b.arrivals[next]
					b.said.Unlock()
					// An entry asks a store that was silent again within a second.
					time.Sleep(2 * time.Second)
					b.said.Lock()
					got := b.arrivals[next] - before
					b.said.Unlock()
					if got == 0 {
						t.Error("it gets no request within 2 s")
					}
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}
