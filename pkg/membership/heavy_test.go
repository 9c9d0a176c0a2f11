package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/packets"
)

// quarterStrong returns the weights, in cores, of 30 entries, of which each fourth is on a strong VM.
func quarterStrong() []float64 {
	list := make([]float64, 30)
	for i := range list {
		list[i] = 0.144
		if i%4 == 0 {
			list[i] = 0.8
		}
	}
	return list
}

// heavyOwnerCounts counts the heavy shards that each entry owns, as seen by one of them.
func (b *bed) heavyOwnerCounts(asker, shards int) map[int]int {
	counts := make(map[int]int)
	at := make(map[netip.AddrPort]int)
	for i := range b.weights {
		at[address(i)] = i
	}
	for n := range shards {
		owner, _ := b.members[asker].HeavyOwner(fmt.Sprint("targets/", n))
		counts[at[owner]]++
	}
	return counts
}

// TestHeavyShardsGoToCapableVMs counts the heavy shards per entry: when owners were chosen by the squared weight
// alone, one shard in twelve fell on an entry with 0.144 of a core, whose grants came late under load.
func TestHeavyShardsGoToCapableVMs(t *testing.T) {
	scenarios := []struct {
		name        string
		weights     []float64
		minWeight   float64 // the least weight of an owner
		maxFraction float64 // the largest fraction of the shards on one entry
	}{
		{"a quarter strong", quarterStrong(), 0.8, 0.25},
		{"all weak", repeatedWeight(12, 0.144), 0.144, 0.2},
		{"all strong", repeatedWeight(12, 0.8), 0.8, 0.2},
		{"one much stronger among capable ones", append(repeatedWeight(11, 1), 4), 1, 0.75},
		{"one strong among weak ones", append(repeatedWeight(11, 0.144), 0.8), 0.8, 1},
		{"weak and weaker", append(repeatedWeight(6, 0.2), repeatedWeight(6, 0.05)...), 0.2, 0.35},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := start(t, s.weights...)
				time.Sleep(2 * time.Second)
				const shards = 400
				for i, n := range b.heavyOwnerCounts(0, shards) {
					if s.weights[i] < s.minWeight {
						t.Errorf("%d of %d heavy shards on an entry of weight %v", n, shards, s.weights[i])
					}
					if float64(n) > s.maxFraction*shards {
						t.Errorf("%d of %d heavy shards on a single entry of weight %v", n, shards, s.weights[i])
					}
				}
			})
		})
	}
}

// repeatedWeight returns n equal weights, in cores.
func repeatedWeight(n int, weight float64) []float64 {
	list := equalWeights(n)
	for i := range list {
		list[i] = weight
	}
	return list
}

// TestHeavyShardsAfterLossOfOnlyStrongVM checks that the other entries divide up the shards of the lost one.
func TestHeavyShardsAfterLossOfOnlyStrongVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, append(repeatedWeight(5, 0.144), 0.8)...)
		time.Sleep(time.Second)
		b.partition(5)
		time.Sleep(2 * time.Second)
		const shards = 200
		counts := b.heavyOwnerCounts(0, shards)
		if counts[5] != 0 || len(counts) != 5 {
			t.Errorf("heavy shards per entry: %v", counts)
		}
	})
}

// heavyOwner returns the owner of a heavy shard as seen by the first entry, and its index.
func (b *bed) heavyOwner(shard string) (netip.AddrPort, int) {
	owner, _ := b.members[0].HeavyOwner(shard)
	for i := range b.members {
		if address(i) == owner {
			return owner, i
		}
	}
	panic("no entry has the owner's address")
}

// TestLaggingEntryHandsOverHeavyShard fires the timers of one entry late, as on a VM that is slowed down: all entries
// soon agree on another owner, and the entry gets its shard back only some time after it has caught up.
func TestLaggingEntryHandsOverHeavyShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equalWeights(6)...)
		time.Sleep(time.Second)
		const shard = "targets/s"
		owner, slow := b.heavyOwner(shard)
		// tick records n samples, 25 ms apart, of a timer of the slow entry that fires so many ms late.
		tick := func(late clock.Millis, n int) {
			for range n {
				time.Sleep(25 * time.Millisecond)
				b.members[slow].RecordLag(late)
			}
		}
		agreed := func() (netip.AddrPort, bool) {
			first, _ := b.members[0].HeavyOwner(shard)
			for _, m := range b.members {
				if at, _ := m.HeavyOwner(shard); at != first {
					return first, false
				}
			}
			return first, true
		}
		tick(500, 1) // a single pause, as of a process that was stopped
		tick(1, 4)
		if at, same := agreed(); at != owner || !same {
			t.Errorf("one late timer moved the shard to %v (agreed %t)", at, same)
		}
		tick(120, 30)
		time.Sleep(100 * time.Millisecond)
		if at, same := agreed(); at == owner || !same {
			t.Errorf("a lagging owner keeps the shard (agreed %t)", same)
		}
		tick(0, 200)
		if at, _ := agreed(); at == owner {
			t.Error("the shard went back after five seconds")
		}
		tick(0, 300)
		if at, same := agreed(); at != owner || !same {
			t.Errorf("the shard did not go back (owner %v, agreed %t)", at, same)
		}
	})
}

// TestHeavyOwnerStaysWhenAllLag checks that a shard keeps its owner if no other entry is better.
func TestHeavyOwnerStaysWhenAllLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equalWeights(4)...)
		time.Sleep(time.Second)
		before, _ := b.members[0].HeavyOwner("targets/s")
		for range 40 {
			time.Sleep(25 * time.Millisecond)
			for _, m := range b.members {
				m.RecordLag(100)
			}
		}
		time.Sleep(time.Second)
		if after, _ := b.members[0].HeavyOwner("targets/s"); after != before {
			t.Errorf("the shard moved from %v to %v", before, after)
		}
	})
}

// TestLagNeverMovesHeavyShardToWeakerVM has all capable entries lag, as they are the first to do under load: the weak
// ones must not get their shards.
func TestLagNeverMovesHeavyShardToWeakerVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, append(repeatedWeight(6, 0.144), 0.8, 0.8)...)
		time.Sleep(time.Second)
		for range 40 {
			time.Sleep(25 * time.Millisecond)
			b.members[6].RecordLag(100)
			b.members[7].RecordLag(100)
		}
		time.Sleep(time.Second)
		const shards = 100
		if counts := b.heavyOwnerCounts(0, shards); counts[6]+counts[7] != shards {
			t.Errorf("heavy shards per entry: %v", counts)
		}
	})
}

// TestLagReportLostInTransit loses the heartbeats that report a lag: entries that did not receive them keep the
// owner, and all agree once heartbeats get through.
func TestLagReportLostInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equalWeights(4)...)
		time.Sleep(time.Second)
		const shard = "targets/s"
		owner, slow := b.heavyOwner(shard)
		b.net.Lose(func(from, _ netip.AddrPort, kind packets.Kind) bool {
			return from == owner && kind == packets.KindHeartbeat
		})
		for range 30 {
			b.members[slow].RecordLag(150)
		}
		time.Sleep(150 * time.Millisecond)
		b.net.Lose(nil)
		time.Sleep(300 * time.Millisecond)
		for i, m := range b.members {
			if at, _ := m.HeavyOwner(shard); at == owner {
				t.Errorf("entry %d still takes the lagging entry for the owner", i)
			}
		}
	})
}
