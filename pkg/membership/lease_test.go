package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/packets"
)

// grace is how long the entries of these tests go on without the store.
const grace = 60 * clock.Second

// startWithGrace runs n entries that go on without the store, for grace, on the strength of one another's heartbeats.
func startWithGrace(t *testing.T, n int) *bed {
	b := start(t, equalWeights(n)...)
	for _, m := range b.members {
		m.SetGrace(grace)
	}
	return b
}

// entryIndex returns which of n entries has an address, -1 if none.
func entryIndex(at netip.AddrPort, n int) int {
	for i := range n {
		if address(i) == at {
			return i
		}
	}
	return -1
}

// TestHoldsLeaseUnderPartitions partitions the network for longer than ForgetAfter, without replies from the store: an
// entry holds a lease only if it knows that more than half of all entries receive its heartbeats, and one that holds a
// lease is not removed.
func TestHoldsLeaseUnderPartitions(t *testing.T) {
	scenarios := []struct {
		name       string
		entries    int
		lose       func(from, to int) bool // whether datagrams between two entries are lost
		holdsLease func(i int) bool        // whether an entry holds a lease after 20 s
		removed    func(i int) bool        // whether an entry was removed by then
	}{
		{"no partition", 4, func(_, _ int) bool { return false },
			func(int) bool { return true }, func(int) bool { return false }},
		{"one entry partitioned in both directions", 4, func(from, to int) bool { return from == 3 || to == 3 },
			func(i int) bool { return i != 3 }, func(i int) bool { return i == 3 }},
		{"one entry receives from all and reaches none", 4, func(from, _ int) bool { return from == 3 },
			func(i int) bool { return i != 3 }, func(i int) bool { return i == 3 }},
		{"one entry reaches all and receives from none", 4, func(_, to int) bool { return to == 3 },
			func(i int) bool { return i != 3 }, func(int) bool { return false }},
		{"two halves", 4, func(from, to int) bool { return from/2 != to/2 },
			func(int) bool { return false }, func(int) bool { return true }},
		{"one entry does not reach the first", 4, func(from, to int) bool { return from == 3 && to == 0 },
			func(int) bool { return true }, func(int) bool { return false }},
		{"two of five partitioned", 5, func(from, to int) bool { return (from < 2) != (to < 2) },
			func(i int) bool { return i >= 2 }, func(i int) bool { return i < 2 }},
		{"alone", 1, func(_, _ int) bool { return true },
			func(int) bool { return true }, func(int) bool { return false }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := startWithGrace(t, s.entries)
				time.Sleep(8 * time.Second)
				confirmed := b.members[0].Clock.Now()
				b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
					return s.lose(entryIndex(from, s.entries), entryIndex(to, s.entries))
				})
				time.Sleep(20 * time.Second)
				for i, m := range b.members {
					if got, want := m.HoldsLease(confirmed), s.holdsLease(i); got != want {
						t.Errorf("entry %d holds a lease: %t, want %t", i, got, want)
					}
					_, removed := b.rows.count(fmt.Sprintf("entry-%03d", i))
					if want := s.removed(i); removed > 0 != want {
						t.Errorf("entry %d was removed %d times, want removed %t", i, removed, want)
					}
				}
			})
		})
	}
}

// TestNoEntryIsRemovedWhileHoldingLease blocks random directions of traffic between entries and restarts none: an
// entry that was taken off the list must not hold a lease that covers the time since then.
func TestNoEntryIsRemovedWhileHoldingLease(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 11))
				n := 3 + random.IntN(4)
				b := startWithGrace(t, n)
				for _, m := range b.members {
					m.SetGrace(clock.Minute * 60) // longer than the test: only the others' replies remove an entry
				}
				var mu sync.Mutex
				lost := make(map[[2]netip.AddrPort]bool)
				b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
					mu.Lock()
					defer mu.Unlock()
					return lost[[2]netip.AddrPort{from, to}]
				})
				removedAt := make(map[int]clock.Millis)
				b.rows.onRemove = func(key string) {
					var i int
					_, _ = fmt.Sscanf(key, "entry-%d", &i)
					mu.Lock()
					removedAt[i] = b.members[i].Clock.Now()
					mu.Unlock()
				}
				removed := 0
				for range 400 {
					time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
					from, to := random.IntN(n), random.IntN(n)
					mu.Lock()
					// Mostly the directions of a single entry, so that some entries are partitioned from most others.
					for other := range n {
						if random.IntN(3) > 0 {
							lost[[2]netip.AddrPort{address(from), address(other)}] = to%2 == 0
						}
						if random.IntN(3) == 0 {
							lost[[2]netip.AddrPort{address(other), address(from)}] = random.IntN(2) == 0
						}
					}
					removed = len(removedAt)
					moments := make(map[int]clock.Millis, removed)
					for i, at := range removedAt {
						moments[i] = at
					}
					mu.Unlock()
					for i, at := range moments {
						if b.members[i].HoldsLease(at) {
							t.Fatalf("entry %d was removed at %d but holds a lease since then", i, at)
						}
					}
				}
				t.Log("removed:", removed, "of", n)
			})
		})
	}
}

// TestMinorityRemovesLostMajorityAfterGrace loses more than half of the entries for good: the others cannot tell that
// from a partition, and must wait until none of the lost ones may go on serving.
func TestMinorityRemovesLostMajorityAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startWithGrace(t, 5)
		time.Sleep(2 * time.Second)
		b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
			return entryIndex(from, 5) >= 2 || entryIndex(to, 5) >= 2
		})
		time.Sleep(grace.Duration())
		if _, removed := b.rows.count("entry-004"); removed != 0 {
			t.Error("removed while it may go on serving")
		}
		time.Sleep(12 * time.Second)
		if _, removed := b.rows.count("entry-004"); removed == 0 {
			t.Error("still listed")
		}
	})
}

// TestEarlierRunGivesRestartedEntryNoLease restarts an entry whose datagrams are all lost: heartbeats that others
// received from its earlier run must not give the new one a lease.
func TestEarlierRunGivesRestartedEntryNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startWithGrace(t, 4)
		time.Sleep(10 * time.Second)
		b.net.Lose(func(from, _ netip.AddrPort, _ packets.Kind) bool { return from == address(3) })
		b.restart(t, 3)
		time.Sleep(time.Second)
		if m := b.members[3]; m.HoldsLease(m.Clock.Now()) {
			t.Error("the restarted entry holds a lease")
		}
	})
}
