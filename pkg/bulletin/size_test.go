package bulletin_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/packets"
)

// sizes are numbers of entries.
var sizes = []int{4, 30, 70}

// outage has the store answer nobody, or turn everyone away at once.
func (b *bed) outage(silent, away bool) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	for i := range b.members {
		b.store.silent[i] = silent
		b.store.away[i] = away
	}
}

// TestAnOutageCostsTheSameWhateverTheSize counts what all entries together ask of a
// store that is away for 14 s, of one table. When each asked for itself, 70 entries
// asked a silent one 490 times, and one that turned them away 1,078 times.
func TestAnOutageCostsTheSameWhateverTheSize(t *testing.T) {
	for _, n := range sizes {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d entries, silent %t", n, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBedOf(t, n)
					time.Sleep(5 * time.Second)
					before := b.calls()
					b.outage(silent, !silent)
					time.Sleep(14 * time.Second)
					if asked := b.calls() - before; asked > 220 {
						t.Errorf("%d calls", asked)
					} else {
						t.Log(asked, "calls")
					}
					b.outage(false, false)
					back := time.Now()
					b.store.put("back", "v")
					time.Sleep(4 * time.Second)
					if took := b.slowest("back", back, everyone); took > 2*time.Second {
						t.Errorf("%v from the store's return until all had what had changed", took)
					}
				})
			})
		}
	}
}

// TestProofOutlivesAStoreThatTurnsMostAway has the store answer a few entries only, which
// are not those that would read it: the proof of keys must not get older than is borne
// where their bound is strict.
func TestProofOutlivesAStoreThatTurnsMostAway(t *testing.T) {
	const most = 4250 * clock.Millisecond
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBedOf(t, n)
				time.Sleep(5 * time.Second)
				reader := b.reader()
				for i := range n {
					b.store.mu.Lock()
					b.store.away[i] = i%3 > 0 || i == reader
					b.store.mu.Unlock()
				}
				before := b.calls()
				oldest := clock.Millis(0)
				for range 120 {
					time.Sleep(100 * time.Millisecond)
					for _, e := range b.entries {
						oldest = max(oldest, b.Clock.Now()-e.proven())
					}
				}
				if oldest > most {
					t.Errorf("a proof was %d ms old", oldest)
				}
				if asked := b.calls() - before; asked > 150 {
					t.Errorf("%d calls in 12 s", asked)
				} else {
					t.Log(asked, "calls; oldest proof", oldest)
				}
			})
		})
	}
}

// TestAReaderThatOnlySomeHear loses all that the reader says to most of the others, one
// way, which still take it for alive: whoever is in touch passes its news on.
func TestAReaderThatOnlySomeHear(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBedOf(t, n)
				time.Sleep(5 * time.Second)
				reader := b.reader()
				b.net.Lose(func(from, to netip.AddrPort, kind packets.Kind) bool {
					return kind == packets.KindFeedState && from == address(reader) && to.Addr().As4()[3]%4 > 0
				})
				before := b.calls()
				time.Sleep(6 * time.Second)
				began := time.Now()
				b.store.put("news", "v")
				time.Sleep(4 * time.Second)
				if took := b.slowest("news", began, everyone); took > 2*time.Second {
					t.Errorf("took %v", took)
				}
				if asked := b.calls() - before; asked > 80 {
					t.Errorf("%d calls in 10 s", asked)
				} else {
					t.Log(asked, "calls")
				}
			})
		})
	}
}

// TestAllStartAtOnce starts all entries at about the same moment, as after a loss of
// power: a few read the table, the others get it from them.
func TestAllStartAtOnce(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := prepare(n)
				t.Cleanup(func() {
					for _, stop := range b.stops {
						stop()
					}
					time.Sleep(5 * time.Second)
				})
				b.store.put("row", string(make([]byte, 30_000)))
				for i := range n {
					b.run(t, i)
					time.Sleep(time.Millisecond)
				}
				began := time.Now()
				time.Sleep(2 * time.Second)
				if took := b.slowest("row", began, everyone); took > 400*time.Millisecond {
					t.Errorf("took %v", took)
				}
				if asked := b.calls(); asked > 20 {
					t.Errorf("%d calls", asked)
				} else {
					t.Log(asked, "calls")
				}
			})
		})
	}
}

// TestOneStartsWithoutTheStore restarts an entry that the store does not answer: it has
// not even the list of entries, but the others greet it.
func TestOneStartsWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		began := time.Now()
		b.store.put("row", "v")
		time.Sleep(time.Second)
		const late = 2
		b.stops[late]()
		time.Sleep(time.Second)
		b.outage(true, false)
		m, board := b.build(t, late)
		b.follow(late, m, board)
		time.Sleep(4 * time.Second)
		if took := b.slowest("row", began, everyone); took > 6*time.Second {
			t.Errorf("not there after %v", took)
		}
		age := b.Clock.Now() - b.entries[late].proven()
		if others := b.Clock.Now() - b.entries[0].proven(); age < others-50 {
			t.Errorf("its proof is %d ms old, that of the others %d", age, others)
		}
	})
}

// TestAReaderThatTheStoreFallsSilentTo has the store answer all but the reader, without a
// word, right before a change: the others have it within two seconds, the shortest bound on
// configurations, whenever in the reader's question it happens.
func TestAReaderThatTheStoreFallsSilentTo(t *testing.T) {
	for _, n := range []int{4, 30} {
		for at := range 5 {
			t.Run(fmt.Sprint(n, " entries, ", at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBedOf(t, n)
					time.Sleep(time.Duration(5000+200*at) * time.Millisecond)
					reader := b.reader()
					b.silence(reader)
					b.cutHeld(reader)
					began := time.Now()
					b.store.put("change", "v")
					time.Sleep(5 * time.Second)
					if took := b.slowest("change", began, func(i int) bool { return i != reader }); took > 1800*time.Millisecond {
						t.Errorf("took %v", took)
					}
				})
			})
		}
	}
}
