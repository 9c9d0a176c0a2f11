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

const trust = 60 * clock.Second

// trusting runs entries that go on without the store on the word of one another.
func trusting(t *testing.T, n int) *bed {
	b := start(t, equal(n)...)
	for _, m := range b.members {
		m.SetTrust(trust)
	}
	return b
}

func index(at netip.AddrPort, n int) int {
	for i := range n {
		if address(i) == at {
			return i
		}
	}
	return -1
}

// TestWhoIsAssured cuts entries off in ways that last for longer than an entry may be
// silent, while the store tells nobody anything.
func TestWhoIsAssured(t *testing.T) {
	scenarios := []struct {
		name    string
		entries int
		lose    func(from, to int) bool
		assured func(i int) bool
		removed func(i int) bool
	}{
		{"no cut", 4, func(_, _ int) bool { return false },
			func(int) bool { return true }, func(int) bool { return false }},
		{"one cut off both ways", 4, func(from, to int) bool { return from == 3 || to == 3 },
			func(i int) bool { return i != 3 }, func(i int) bool { return i == 3 }},
		{"one that hears all and is heard by none", 4, func(from, _ int) bool { return from == 3 },
			func(i int) bool { return i != 3 }, func(i int) bool { return i == 3 }},
		{"one that is heard by all and hears none", 4, func(_, to int) bool { return to == 3 },
			func(i int) bool { return i != 3 }, func(int) bool { return false }},
		{"two halves", 4, func(from, to int) bool { return from/2 != to/2 },
			func(int) bool { return false }, func(int) bool { return true }},
		{"one is not heard by the first", 4, func(from, to int) bool { return from == 3 && to == 0 },
			func(int) bool { return true }, func(int) bool { return false }},
		{"two of five", 5, func(from, to int) bool { return (from < 2) != (to < 2) },
			func(i int) bool { return i >= 2 }, func(i int) bool { return i < 2 }},
		{"alone", 1, func(_, _ int) bool { return true },
			func(int) bool { return true }, func(int) bool { return false }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := trusting(t, s.entries)
				time.Sleep(8 * time.Second)
				proven := b.members[0].Clock.Now()
				b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
					return s.lose(index(from, s.entries), index(to, s.entries))
				})
				time.Sleep(20 * time.Second)
				for i, m := range b.members {
					if got, want := m.Assured(proven), s.assured(i); got != want {
						t.Errorf("entry %d assured: %t, want %t", i, got, want)
					}
					_, removed := b.rows.count(fmt.Sprintf("entry-%03d", i))
					if want := s.removed(i); removed > 0 != want {
						t.Errorf("entry %d was taken off %d times, wanted %t", i, removed, want)
					}
				}
			})
		})
	}
}

// TestNobodyIsTakenOffWhileAssured cuts ways between entries at random, one way at a
// time, and restarts none: an entry that was taken off the list must not be assured
// of its place by anything that it knew before.
func TestNobodyIsTakenOffWhileAssured(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 11))
				n := 3 + random.IntN(4)
				b := trusting(t, n)
				for _, m := range b.members {
					m.SetTrust(clock.Minute * 60) // longer than the test: only agreement takes one off
				}
				var mu sync.Mutex
				lost := make(map[[2]netip.AddrPort]bool)
				b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
					mu.Lock()
					defer mu.Unlock()
					return lost[[2]netip.AddrPort{from, to}]
				})
				removedAt := make(map[int]clock.Millis)
				b.rows.removing = func(key string) {
					var i int
					_, _ = fmt.Sscanf(key, "entry-%d", &i)
					mu.Lock()
					removedAt[i] = b.members[i].Clock.Now()
					mu.Unlock()
				}
				taken := 0
				for range 400 {
					time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
					from, to := random.IntN(n), random.IntN(n)
					mu.Lock()
					// Mostly the ways of one entry, so that some are cut off from most.
					for other := range n {
						if random.IntN(3) > 0 {
							lost[[2]netip.AddrPort{address(from), address(other)}] = to%2 == 0
						}
						if random.IntN(3) == 0 {
							lost[[2]netip.AddrPort{address(other), address(from)}] = random.IntN(2) == 0
						}
					}
					taken = len(removedAt)
					moments := make(map[int]clock.Millis, taken)
					for i, at := range removedAt {
						moments[i] = at
					}
					mu.Unlock()
					for i, at := range moments {
						if b.members[i].Assured(at) {
							t.Fatalf("entry %d was taken off at %d and is assured since then", i, at)
						}
					}
				}
				t.Log("taken off:", taken, "of", n)
			})
		})
	}
}

// TestTheRestGoOnAfterMostAreLost takes more than half of the entries away for good:
// the others cannot tell that from a cut, and wait until none of those may go on.
func TestTheRestGoOnAfterMostAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := trusting(t, 5)
		time.Sleep(2 * time.Second)
		b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
			return index(from, 5) >= 2 || index(to, 5) >= 2
		})
		time.Sleep(trust.Duration())
		if _, removed := b.rows.count("entry-004"); removed != 0 {
			t.Error("taken off while it might go on")
		}
		time.Sleep(12 * time.Second)
		if _, removed := b.rows.count("entry-004"); removed == 0 {
			t.Error("still listed")
		}
	})
}

// TestAnEarlierRunAssuresNothing starts an entry anew that nobody hears: what others
// heard of its earlier run says nothing of this one.
func TestAnEarlierRunAssuresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := trusting(t, 4)
		time.Sleep(10 * time.Second)
		b.net.Lose(func(from, _ netip.AddrPort, _ packets.Kind) bool { return from == address(3) })
		b.restart(t, 3)
		time.Sleep(time.Second)
		if m := b.members[3]; m.Assured(m.Clock.Now()) {
			t.Error("assured")
		}
	})
}
