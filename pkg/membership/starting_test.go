package membership_test

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/packets"
)

// TestEntriesThatStartAgreeSoon starts all at once, as after a loss of power: well
// before the second greeting by the clock each knows that all others take the same
// ones for alive.
func TestEntriesThatStartAgreeSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(6)...)
		time.Sleep(80 * time.Millisecond)
		for i, m := range b.members {
			if got := m.Agreement(); got != 1 {
				t.Errorf("entry %d is backed by %v", i, got)
			}
		}
	})
}

// TestManyThatStartOneAfterTheOtherAgree starts entries over 300 ms, as VMs do after a loss
// of power. From the first on all name the same home, and once the last has greeted
// each is backed by all.
func TestManyThatStartOneAfterTheOtherAgree(t *testing.T) {
	for _, n := range []int{8, 68} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := prepare(t, equal(n)...)
				const matter = "account/a"
				var home netip.AddrPort
				for i := range n {
					m := b.run(i)
					b.members = append(b.members, m)
					at, _ := m.Owner(matter)
					if i == 0 {
						home = at
					}
					if at != home {
						t.Errorf("entry %d takes %v for the home, not %v", i, at, home)
					}
					time.Sleep(300 * time.Millisecond / time.Duration(n))
				}
				time.Sleep(60 * time.Millisecond)
				least := 1.0
				for _, m := range b.members {
					least = min(least, m.Agreement())
				}
				if least < 1 {
					t.Errorf("one is backed by %.2f", least)
				}
			})
		})
	}
}

// TestAStartOfAllCostsEachLittle counts what entries send when all start within 300 ms:
// when each greeted all others whenever it heard another one, one of 200 sent 1,774 datagrams in
// that second, one of 68 585.
func TestAStartOfAllCostsEachLittle(t *testing.T) {
	for _, n := range []int{8, 68, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := prepare(t, equal(n)...)
				sent := make(map[netip.AddrPort]int)
				var mu sync.Mutex
				b.net.Lose(func(from, _ netip.AddrPort, _ packets.Kind) bool {
					mu.Lock()
					defer mu.Unlock()
					sent[from]++
					return false
				})
				for i := range n {
					b.members = append(b.members, b.run(i))
					time.Sleep(300 * time.Millisecond / time.Duration(n))
				}
				time.Sleep(700 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				most := 0
				for _, count := range sent {
					most = max(most, count)
				}
				// A second of ordinary greetings, one round to all, an answer to each.
				if limit := 55 + 8*n; most > limit {
					t.Errorf("one sent %d datagrams in a second, at most %d are wanted", most, limit)
				} else {
					t.Log(most, "datagrams")
				}
				for i, m := range b.members {
					if m.Agreement() < 1 {
						t.Fatalf("entry %d is backed by %v", i, m.Agreement())
					}
				}
			})
		})
	}
}

// TestOneThatNeverStartsIsLeft starts all entries but one: it is taken for alive for a
// while, and then no more.
func TestOneThatNeverStartsIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := prepare(t, equal(5)...)
		for i := range 4 {
			b.members = append(b.members, b.run(i))
		}
		time.Sleep(1500 * time.Millisecond)
		for i, m := range b.members {
			if got, want := m.Agreement(), 0.8; got != want {
				t.Errorf("entry %d is backed by %v, want %v", i, got, want)
			}
			for n := range 40 {
				if home, _ := m.Owner(fmt.Sprint("matter/", n)); home == address(4) {
					t.Fatalf("entry %d takes the one that never started for a home", i)
				}
			}
		}
	})
}
