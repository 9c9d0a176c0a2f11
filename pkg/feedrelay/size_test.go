package feedrelay_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/packets"
)

// sizes are the numbers of entries that tests run with.
var sizes = []int{4, 30, 70}

// outage has the store not answer any entry, or reject all of them at once. With both false it ends.
func (b *cluster) outage(unanswered, rejected bool) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	for i := range b.members {
		b.store.unanswered[i] = unanswered
		b.store.rejected[i] = rejected
	}
}

// TestStoreLoadInOutageIsIndependentOfEntryCount counts the calls of all entries for one table to a
// store that is unreachable for 14 s. When each entry read for itself, 70 entries made 490 calls to a
// store that did not answer, and 1,078 to one that rejected them.
func TestStoreLoadInOutageIsIndependentOfEntryCount(t *testing.T) {
	for _, n := range sizes {
		for _, unanswered := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d entries, unanswered %t", n, unanswered), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newClusterOf(t, n)
					time.Sleep(5 * time.Second)
					before := b.calls()
					b.outage(unanswered, !unanswered)
					time.Sleep(14 * time.Second)
					if calls := b.calls() - before; calls > 220 {
						t.Errorf("%d calls to the store", calls)
					} else {
						t.Log(calls, "calls")
					}
					b.outage(false, false)
					back := time.Now()
					b.store.put("back", "v")
					time.Sleep(4 * time.Second)
					if took := b.slowest("back", back, everyone); took > 2*time.Second {
						t.Errorf("%v from the store's recovery until all entries had the change", took)
					}
				})
			})
		}
	}
}

// TestFreshnessWhileStoreRejectsMostEntries has the store answer only a third of the entries, and not
// the feed reader: the freshness of keys must not get older than their grace where its limit is strict.
func TestFreshnessWhileStoreRejectsMostEntries(t *testing.T) {
	const maxAge = 4250 * clock.Millisecond // 0.85 of the strict limit of 5 s on removed keys
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newClusterOf(t, n)
				time.Sleep(5 * time.Second)
				reader := b.feedReader()
				for i := range n {
					b.store.mu.Lock()
					b.store.rejected[i] = i%3 > 0 || i == reader
					b.store.mu.Unlock()
				}
				before := b.calls()
				oldest := clock.Millis(0)
				for range 120 {
					time.Sleep(100 * time.Millisecond)
					for _, e := range b.entries {
						oldest = max(oldest, b.Clock.Now()-e.freshnessTime())
					}
				}
				if oldest > maxAge {
					t.Errorf("an entry's freshness was %d ms old", oldest)
				}
				if calls := b.calls() - before; calls > 150 {
					t.Errorf("%d calls in 12 s", calls)
				} else {
					t.Log(calls, "calls; oldest freshness", oldest)
				}
			})
		})
	}
}

// TestFeedReaderReachesOnlySomeEntries loses the feed states from the feed reader to most of the
// others, in this direction only, and they still take it for alive: the entries that it reaches relay
// its feed state.
func TestFeedReaderReachesOnlySomeEntries(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newClusterOf(t, n)
				time.Sleep(5 * time.Second)
				reader := b.feedReader()
				b.net.Lose(func(from, to netip.AddrPort, kind packets.Kind) bool {
					return kind == packets.KindFeedState && from == address(reader) && to.Addr().As4()[3]%4 > 0
				})
				before := b.calls()
				time.Sleep(6 * time.Second)
				began := time.Now()
				b.store.put("change", "v")
				time.Sleep(4 * time.Second)
				if took := b.slowest("change", began, everyone); took > 2*time.Second {
					t.Errorf("reached all entries after %v", took)
				}
				if calls := b.calls() - before; calls > 80 {
					t.Errorf("%d calls in 10 s", calls)
				} else {
					t.Log(calls, "calls")
				}
			})
		})
	}
}

// TestAllStartAtOnce starts all entries at about the same moment, as after a loss of power: a few read
// the table from the store, the others get it from those.
func TestAllStartAtOnce(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newStoppedCluster(n)
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
					t.Errorf("reached all entries after %v", took)
				}
				if calls := b.calls(); calls > 20 {
					t.Errorf("%d calls to the store", calls)
				} else {
					t.Log(calls, "calls")
				}
			})
		})
	}
}

// TestEntryStartsWithoutStore restarts an entry that the store does not answer: it does not even have
// the list of entries, but receives the heartbeats of the others.
func TestEntryStartsWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		began := time.Now()
		b.store.put("row", "v")
		time.Sleep(time.Second)
		const restarted = 2
		b.stops[restarted]()
		time.Sleep(time.Second)
		b.outage(true, false)
		m, relay := b.build(t, restarted)
		b.follow(restarted, m, relay)
		time.Sleep(4 * time.Second)
		if took := b.slowest("row", began, everyone); took > 6*time.Second {
			t.Errorf("row not at all entries after %v", took)
		}
		age := b.Clock.Now() - b.entries[restarted].freshnessTime()
		if others := b.Clock.Now() - b.entries[0].freshnessTime(); age < others-50 {
			t.Errorf("its freshness is %d ms old, that of the others %d ms", age, others)
		}
	})
}

// TestStoreStopsAnsweringFeedReader has the store stop answering the feed reader, without an error,
// right before a change: the others must have the change within two seconds, the shortest limit on the
// age of configurations, at whatever moment of the feed reader's held query the store stops.
func TestStoreStopsAnsweringFeedReader(t *testing.T) {
	for _, n := range []int{4, 30} {
		checkChangeBesideSilentReaders(t, n, 1)
	}
}

// TestStoreStopsAnsweringFirstReaders is TestStoreStopsAnsweringFeedReader for the feed reader and those who would read next.
func TestStoreStopsAnsweringFirstReaders(t *testing.T) {
	for _, s := range []struct{ entries, cutOff int }{{4, 2}, {4, 3}, {9, 5}, {12, 8}} {
		checkChangeBesideSilentReaders(t, s.entries, s.cutOff)
	}
}

// checkChangeBesideSilentReaders has the store stop answering the first readers at some moments of a held query, and checks
// when the other entries have a change.
func checkChangeBesideSilentReaders(t *testing.T, entries, silent int) {
	t.Helper()
	for at := range 5 {
		t.Run(fmt.Sprintf("%d of %d entries, %d", silent, entries, at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newClusterOf(t, entries)
				time.Sleep(time.Duration(5000+200*at) * time.Millisecond)
				cutOff := make(map[int]bool)
				for i, m := range b.members {
					if rank, _ := m.FeedReaderRank("store"); rank < silent {
						cutOff[i] = true
						b.leaveUnanswered(i)
						b.leaveHeldUnanswered(i)
					}
				}
				if len(cutOff) != silent || !cutOff[b.feedReader()] {
					t.Fatalf("%d entries are cut off, the feed reader among them: %t", len(cutOff), cutOff[b.feedReader()])
				}
				began := time.Now()
				b.store.put("change", "v")
				time.Sleep(5 * time.Second)
				if took := b.slowest("change", began, func(i int) bool { return !cutOff[i] }); took > 1800*time.Millisecond {
					t.Errorf("reached all other entries after %v", took)
				}
			})
		})
	}
}
