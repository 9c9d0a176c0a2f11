package bulletin_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
)

// TestNewsOfAnySizeReachThoseWithoutTheStore has the store turn entries away
// while a change comes that no datagram holds.
func TestNewsOfAnySizeReachThoseWithoutTheStore(t *testing.T) {
	scenarios := []struct {
		name  string
		hurt  func(b *bed, reader int)
		bound time.Duration
	}{
		{"one entry is turned away", func(b *bed, reader int) { b.turnAway((reader + 1) % entryCount) }, 500 * time.Millisecond},
		{"all but the reader are turned away", func(b *bed, reader int) {
			for i := range entryCount {
				if i != reader {
					b.turnAway(i)
				}
			}
		}, 500 * time.Millisecond},
		{"the store is silent to one entry", func(b *bed, reader int) { b.silence((reader + 1) % entryCount) }, 500 * time.Millisecond},
		{"one is turned away, and the reader's stream breaks midway", func(b *bed, reader int) {
			b.turnAway((reader + 1) % entryCount)
			b.faults.Strike(network.Fault{Address: address(reader).String(), Direction: network.Reply, Message: 1, Effect: network.CutBefore})
		}, 800 * time.Millisecond},
		{"one is turned away, and the reader's stream is held up", func(b *bed, reader int) {
			b.turnAway((reader + 1) % entryCount)
			b.faults.Strike(network.Fault{Address: address(reader).String(), Direction: network.Reply, Message: 0, Effect: network.Delay, Length: 5000})
		}, 1200 * time.Millisecond},
		{"one is turned away, and a third of all datagrams are lost", func(b *bed, reader int) {
			b.turnAway((reader + 1) % entryCount)
			var n atomic.Int64
			b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return n.Add(1)%3 == 0 })
		}, 2 * time.Second},
		{"one is turned away and hears the reader, which does not hear it", func(b *bed, reader int) {
			away := (reader + 1) % entryCount
			b.turnAway(away)
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
				return from == address(away) && to == address(reader)
			})
		}, 800 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				reader := b.reader()
				s.hurt(b, reader)
				time.Sleep(time.Second)
				for i := range 3 { // in quick succession, so that messages miss some
					began := time.Now()
					key := fmt.Sprint("large ", i)
					b.store.put(key, string(make([]byte, 50_000)))
					time.Sleep(200 * time.Millisecond)
					defer func() {
						if took := b.slowest(key, began, everyone); took > s.bound {
							t.Errorf("%s took %v, bound %v", key, took, s.bound)
						}
					}()
				}
				time.Sleep(4 * time.Second)
				for i, e := range b.entries {
					if age := b.Clock.Now() - e.proven(); age > 2*clock.Second {
						t.Errorf("entry %d's proof is %d ms old", i, age)
					}
				}
			})
		})
	}
}

// TestAProofNeverGoesBeforeItsRows plays changes at random moments while entries
// lose the store, peers and datagrams by turns: whenever an entry claims that it
// was current at a moment, it has all that had changed by then.
func TestAProofNeverGoesBeforeItsRows(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 7))
				b := newBed(t)
				b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return b.lossy(from, to) })
				for i := range 60 {
					b.loseAtRandom(random.IntN(entryCount), random.IntN(entryCount), random.IntN(3))
					if random.IntN(3) == 0 {
						b.turnAway(random.IntN(entryCount))
					}
					if random.IntN(2) == 0 {
						b.takeBack(random.IntN(entryCount))
					}
					if random.IntN(2) == 0 {
						b.store.put(fmt.Sprint("k", i), string(make([]byte, random.IntN(3000))))
					}
					time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
					b.checkProofs(t)
				}
			})
		})
	}
}
