package feedrelay_test

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

// TestLargeChangesReachEntriesWithoutStore has the store reject entries, or not answer them, while
// changes come that are too large for a datagram: peers must serve them in time, and the freshness of
// no entry may get old.
func TestLargeChangesReachEntriesWithoutStore(t *testing.T) {
	scenarios := []struct {
		name  string
		fault func(b *cluster, reader int) // begins before the changes; reader is the feed reader
		limit time.Duration                // within which each change must reach all entries
	}{
		{"one entry is rejected", func(b *cluster, reader int) { b.reject((reader + 1) % entryCount) }, 500 * time.Millisecond},
		{"all but the feed reader are rejected", func(b *cluster, reader int) {
			for i := range entryCount {
				if i != reader {
					b.reject(i)
				}
			}
		}, 500 * time.Millisecond},
		{"the store does not answer one entry", func(b *cluster, reader int) { b.leaveUnanswered((reader + 1) % entryCount) }, 500 * time.Millisecond},
		{"one is rejected, and the feed reader's stream breaks midway", func(b *cluster, reader int) {
			b.reject((reader + 1) % entryCount)
			b.faults.Add(network.Fault{Address: address(reader).String(), Direction: network.Reply, Message: 1, Effect: network.BreakBefore})
		}, 800 * time.Millisecond},
		{"one is rejected, and the feed reader's stream is delayed", func(b *cluster, reader int) {
			b.reject((reader + 1) % entryCount)
			b.faults.Add(network.Fault{Address: address(reader).String(), Direction: network.Reply, Message: 0, Effect: network.Delay, Length: 5000})
		}, 1200 * time.Millisecond},
		{"one is rejected, and a third of all datagrams are lost", func(b *cluster, reader int) {
			b.reject((reader + 1) % entryCount)
			var n atomic.Int64
			b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return n.Add(1)%3 == 0 })
		}, 2 * time.Second},
		{"one is rejected, and its datagrams to the feed reader are lost", func(b *cluster, reader int) {
			rejected := (reader + 1) % entryCount
			b.reject(rejected)
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
				return from == address(rejected) && to == address(reader)
			})
		}, 800 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCluster(t)
				reader := b.feedReader()
				s.fault(b, reader)
				time.Sleep(time.Second)
				for i := range 3 { // in quick succession, so that some changes are in no message
					began := time.Now()
					key := fmt.Sprint("large ", i)
					b.store.put(key, string(make([]byte, 50_000)))
					time.Sleep(200 * time.Millisecond)
					defer func() {
						if took := b.slowest(key, began, everyone); took > s.limit {
							t.Errorf("%s reached all entries after %v, limit %v", key, took, s.limit)
						}
					}()
				}
				time.Sleep(4 * time.Second)
				for i, e := range b.entries {
					if age := b.Clock.Now() - e.freshnessTime(); age > 2*clock.Second {
						t.Errorf("entry %d's freshness is %d ms old", i, age)
					}
				}
			})
		})
	}
}

// TestFreshnessNeverPrecedesRows makes changes at random moments while entries lose the store, peers
// and datagrams by turns: whenever an entry claims that it was current at a moment, it must have all
// rows that had changed by then.
func TestFreshnessNeverPrecedesRows(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 7))
				b := newCluster(t)
				b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return b.lossy(from, to) })
				for i := range 60 {
					b.setLoss(random.IntN(entryCount), random.IntN(entryCount), random.IntN(3))
					if random.IntN(3) == 0 {
						b.reject(random.IntN(entryCount))
					}
					if random.IntN(2) == 0 {
						b.accept(random.IntN(entryCount))
					}
					if random.IntN(2) == 0 {
						b.store.put(fmt.Sprint("k", i), string(make([]byte, random.IntN(3000))))
					}
					time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
					b.checkFreshness(t)
				}
			})
		})
	}
}
