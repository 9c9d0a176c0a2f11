package dispatch_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

// Guards against requests to targets that have told this entry to send nothing. The owner may not know the advice: the
// message was lost, the owner is partitioned, another entry has become the owner, or this entry chooses targets by its
// own counts. All requests must be served, by the one target without advice.
func TestGrantsForBlockedTargetsAreNotUsed(t *testing.T) {
	advices := []struct {
		name   string
		advice advisory.Advice
	}{
		{"leaving", advisory.Advice{Leaving: true}},
		{"back-off", advisory.Advice{Backoff: 60 * clock.Second}},
	}
	scenarios := []struct {
		name    string
		disrupt func(b *cluster, owner, requester int)
		// max is how many grants the requester may return: one for each target and each owner that lacks the advice, or any
		// number if the owner never receives it.
		max int64
	}{
		{"the owner receives the advice", func(*cluster, int, int) {}, 0},
		{"the owner receives no advice", func(b *cluster, _, _ int) {
			b.net.Lose(func(_, _ netip.AddrPort, k packets.Kind) bool { return k == packets.KindAdvice })
		}, 1000},
		{"another entry becomes the owner", func(b *cluster, owner, _ int) {
			b.stops[owner]()
			dead := entryAddress(owner)
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == dead || to == dead })
		}, 3},
		{"no entry receives anything, and the requester becomes its own owner", func(b *cluster, _, _ int) {
			b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return true })
		}, 3},
	}
	for _, a := range advices {
		for _, s := range scenarios {
			t.Run(a.name+", "+s.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newCluster(t)
					owner := b.ownerIndex(-1)
					requester := (owner + 1) % entryCount
					for _, id := range []ids.Target{"t0", "t1", "t2"} {
						b.advice[requester].Observe(ids.TargetIncarnation{Target: id}, 0, "r", a.advice)
					}
					s.disrupt(b, owner, requester)
					b.runRequests([]int{requester}, 40, 100*time.Millisecond, 50*time.Millisecond)
					if b.served != 40 || b.total["t3"] != 40 {
						t.Errorf("%d of 40 served, %d of them at the target without advice", b.served, b.total["t3"])
					}
					if n := b.withheld(); n > s.max {
						t.Errorf("%d grants returned, want at most %d", n, s.max)
					}
				})
			})
		}
	}
}

// A target that reports to one entry that it is leaving gets no requests from any entry; a back-off that it asks of one
// entry holds for that entry alone.
func TestLeavingIsSharedAmongEntriesAndBackoffIsNot(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newCluster(t)
			owner := b.ownerIndex(-1)
			informed, other := (owner+1)%entryCount, (owner+2)%entryCount
			for _, id := range []ids.Target{"t0", "t1", "t2"} {
				b.advice[informed].Observe(ids.TargetIncarnation{Target: id}, 0, "r", advisory.Advice{Leaving: leaving, Backoff: 60 * clock.Second})
			}
			time.Sleep(10 * time.Millisecond)
			b.runRequests([]int{other}, 40, 100*time.Millisecond, 50*time.Millisecond)
			if alone := b.total["t3"] == 40; b.served != 40 || alone != leaving {
				t.Errorf("leaving %t: %d of 40 served, on %v", leaving, b.served, b.total)
			}
		})
	}
}

// Guards against traffic about advice while no target gives any.
func TestNoAdviceMessagesWithoutAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		messages := 0
		b.net.Lose(func(_, _ netip.AddrPort, k packets.Kind) bool {
			if k == packets.KindAdvice {
				messages++
			}
			return false
		})
		b.runRequests([]int{0, 1, 2}, 60, 50*time.Millisecond, 50*time.Millisecond)
		if messages > 0 {
			t.Errorf("%d advice messages though no target gave advice", messages)
		}
	})
}

// A request whose targets have all asked for a back-off is refused within 150 ms, with the time after which to retry,
// whether the owner or the entry alone decides.
func TestRequestIsRefusedWhenAllTargetsBackOff(t *testing.T) {
	for _, alone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newCluster(t)
			requester := (b.ownerIndex(-1) + 1) % entryCount
			for _, target := range b.targets {
				b.advice[requester].Observe(target.Incarnation(), 0, "r", advisory.Advice{Backoff: 3 * clock.Second})
			}
			if alone {
				b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return true })
			}
			began := b.Clock.Now()
			assigned, refused, err := b.entries[requester].Acquire(context.Background(), b.urgentRequest())
			if assigned != nil || err != nil || refused == nil || !refused.BackedOff || refused.RetryAfter < 2900 || refused.RetryAfter > 4000 {
				t.Errorf("alone %t: refused %+v, %v", alone, refused, err)
			}
			if took := b.Clock.Now() - began; took > 150 {
				t.Errorf("alone %t: refused after %d ms", alone, took)
			}
		})
	}
}
