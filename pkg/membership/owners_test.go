package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/membership"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
)

// TestAllEntriesAgreeOnOwner checks that all entries name the same owner of each shard, and that each owns some.
func TestAllEntriesAgreeOnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equalWeights(6)...)
		time.Sleep(2 * time.Second)
		owners := map[netip.AddrPort]int{}
		for n := range 60 {
			shard := fmt.Sprint("matter/", n)
			owner, _ := b.members[0].Owner(shard)
			owners[owner]++
			for i, m := range b.members {
				if got, self := m.Owner(shard); got != owner || self != (owner == address(i)) {
					t.Fatalf("entry %d: owner of %s is %v, want %v", i, shard, got, owner)
				}
			}
		}
		if len(owners) != 6 {
			t.Errorf("shards are owned by %d of 6 entries", len(owners))
		}
	})
}

// TestHeavySuccessorBecomesOwner cuts an owner off: the successor that it named must have become the owner.
func TestHeavySuccessorBecomesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, 1, 2, 3, 4, 5)
		time.Sleep(time.Second)
		const shard = "matter"
		owner, _ := b.members[0].HeavyOwner(shard)
		for i, m := range b.members {
			if address(i) != owner {
				continue
			}
			next, others := m.HeavySuccessor(shard)
			b.partition(i)
			time.Sleep(2 * time.Second)
			if got, _ := b.members[(i+1)%len(b.members)].HeavyOwner(shard); !others || got != next {
				t.Errorf("named successor %v, new owner %v", next, got)
			}
			if _, others := m.HeavySuccessor(shard); others {
				t.Error("an isolated entry names a successor")
			}
		}
	})
}

// TestWeakEntriesOwnFewShards checks that four entries of 0.144 of a core own at most an eighth of the shards beside
// two of 0.8, as most of a weak VM is needed for its callers' requests.
func TestWeakEntriesOwnFewShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, 0.8, 0.8, 0.144, 0.144, 0.144, 0.144)
		time.Sleep(2 * time.Second)
		weak := 0
		const shards = 500
		for n := range shards {
			owner, _ := b.members[0].Owner(fmt.Sprint("matter/", n))
			if owner != address(0) && owner != address(1) {
				weak++
			}
		}
		if weak > shards/8 {
			t.Errorf("%d of %d shards are owned by weak entries", weak, shards)
		}
	})
}

// TestSuspectedOwnerIsReplacedAtOnceAmongMany suspects an owner in a large fleet, where heartbeats are rare: the entry
// that suspects it must choose another one at once, and the same one again after its next heartbeat.
func TestSuspectedOwnerIsReplacedAtOnceAmongMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equalWeights(80)...)
		time.Sleep(10 * time.Second)
		owner, self := b.members[0].Owner("matter")
		if self {
			owner, _ = b.members[1].Owner("another")
		}
		// Otherwise the answer to the probe could arrive before the next line.
		b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == owner || to == owner })
		b.members[0].Suspect(owner)
		if got, _ := b.members[0].Owner("matter"); got == owner {
			t.Error("a suspected entry is still the owner")
		}
		b.net.Lose(nil)
		time.Sleep(5 * time.Second)
		if got, _ := b.members[0].Owner("matter"); got != owner && !self {
			t.Error("it is not the owner again after its heartbeat")
		}
	})
}

// TestWronglySuspectedEntryIsTakenBackAtOnce suspects an entry that is alive, as when its answer was a few ms late:
// until its next heartbeat the suspecting entry is alone with its membership view, and its agreement covers itself
// only.
func TestWronglySuspectedEntryIsTakenBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equalWeights(80)...)
		time.Sleep(10 * time.Second)
		b.members[0].Suspect(address(7))
		time.Sleep(10 * time.Millisecond)
		for i, m := range b.members {
			if got := m.Agreement(); got != 1 {
				t.Fatalf("entry %d: agreement %v, want 1", i, got)
			}
		}
	})
}

// TestOwnerIsReplacedWhileSilentAndRestored queries an owner continuously, so that a cached result must outlast
// neither the owner nor its absence.
func TestOwnerIsReplacedWhileSilentAndRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equalWeights(4)...)
		time.Sleep(2 * time.Second)
		asker := b.members[0]
		var shard string
		for n := 0; ; n++ {
			shard = fmt.Sprint("matter/", n)
			if owner, _ := asker.Owner(shard); owner == address(3) {
				break
			}
		}
		until := func(want bool) time.Duration {
			began := time.Now()
			for time.Since(began) < 3*time.Second {
				if owner, _ := asker.Owner(shard); (owner == address(3)) == want {
					return time.Since(began)
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Fatalf("the owner did not change (want restored %t)", want)
			return 0
		}
		b.partition(3)
		if took := until(false); took > 600*time.Millisecond {
			t.Errorf("a silent owner was replaced after %v", took)
		}
		b.net.Lose(nil)
		if took := until(true); took > 400*time.Millisecond {
			t.Errorf("the owner was restored after %v", took)
		}
	})
}

// BenchmarkOwner measures a query for the owner of one shard among 30 entries, which is cached after the first.
func BenchmarkOwner(b *testing.B) {
	c := commontest.New(network.NewMemory(nil))
	link := packets.NewLink(c, packets.NewMemory().Socket(address(0)))
	m := membership.New(c, membership.Self{Name: "entry-000", Address: address(0), Weight: 1}, &rows{}, link)
	var listed []follow.Row
	for i := range 30 {
		listed = append(listed, follow.Row{Key: fmt.Sprintf("entry-%03d", i), Value: fmt.Appendf(nil, `{"address":%q,"weight":1}`, address(i).String())})
	}
	m.Snapshot(listed, follow.Freshness{})
	for b.Loop() {
		m.Owner("targets/service")
	}
}
