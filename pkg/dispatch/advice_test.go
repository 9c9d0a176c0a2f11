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

// TestNoGrantLeadsToATargetThatHasSaidNo: an entry knows what targets have told it, and its home may not: the
// message was lost, the home is cut off, another entry has become the home, or this entry places by its own counts. Each
// place that it uses is at a target that has said nothing, and no request fails.
func TestNoGrantLeadsToATargetThatHasSaidNo(t *testing.T) {
	advices := []struct {
		name   string
		advice advisory.Advice
	}{
		{"leaves", advisory.Advice{Leaving: true}},
		{"rests", advisory.Advice{Backoff: 60 * clock.Second}},
	}
	scenarios := []struct {
		name string
		hurt func(b *bed, home, asker int)
		// most is how many places the asker may give back: one for each target and home that has not heard.
		most int64
	}{
		{"the home hears", func(*bed, int, int) {}, 0},
		{"the home is told nothing", func(b *bed, _, _ int) {
			b.net.Lose(func(_, _ netip.AddrPort, k packets.Kind) bool { return k == packets.KindAdvice })
		}, 1000},
		{"another entry becomes the home", func(b *bed, home, _ int) {
			b.stops[home]()
			dead := address(home)
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == dead || to == dead })
		}, 3},
		{"nobody hears of anybody, and the entry becomes its own home", func(b *bed, _, _ int) {
			b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return true })
		}, 3},
	}
	for _, a := range advices {
		for _, s := range scenarios {
			t.Run(a.name+", "+s.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBed(t)
					home := b.home(-1)
					asker := (home + 1) % entryCount
					for _, id := range []ids.Target{"t0", "t1", "t2"} {
						b.advice[asker].Observe(ids.TargetIncarnation{Target: id}, 0, "r", a.advice)
					}
					s.hurt(b, home, asker)
					b.load([]int{asker}, 40, 100*time.Millisecond, 50*time.Millisecond)
					if b.served != 40 || b.total["t3"] != 40 {
						t.Errorf("%d of 40 served, %d of them at the target that has said nothing", b.served, b.total["t3"])
					}
					if n := b.withheld(); n > s.most {
						t.Errorf("%d places given back, %d at the most", n, s.most)
					}
				})
			})
		}
	}
}

// TestOthersGainFromOneEntrysWord: that a target leaves holds for all entries as soon as one has been told;
// rest holds for the one alone.
func TestOthersGainFromOneEntrysWord(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			home := b.home(-1)
			told, other := (home+1)%entryCount, (home+2)%entryCount
			for _, id := range []ids.Target{"t0", "t1", "t2"} {
				b.advice[told].Observe(ids.TargetIncarnation{Target: id}, 0, "r", advisory.Advice{Leaving: leaving, Backoff: 60 * clock.Second})
			}
			time.Sleep(10 * time.Millisecond)
			b.load([]int{other}, 40, 100*time.Millisecond, 50*time.Millisecond)
			if alone := b.total["t3"] == 40; b.served != 40 || alone != leaving {
				t.Errorf("leaving %t: %d of 40 served, on %v", leaving, b.served, b.total)
			}
		})
	}
}

// TestWhileNobodySaysAnythingNothingIsSent counts the messages about what targets say.
func TestWhileNobodySaysAnythingNothingIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		messages := 0
		b.net.Lose(func(_, _ netip.AddrPort, k packets.Kind) bool {
			if k == packets.KindAdvice {
				messages++
			}
			return false
		})
		b.load([]int{0, 1, 2}, 60, 50*time.Millisecond, 50*time.Millisecond)
		if messages > 0 {
			t.Errorf("%d messages", messages)
		}
	})
}

// TestAllTargetsOfAnEntryRest: the caller is told in time, and by whom.
func TestAllTargetsOfAnEntryRest(t *testing.T) {
	for _, alone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			asker := (b.home(-1) + 1) % entryCount
			for _, target := range b.targets {
				b.advice[asker].Observe(target.Incarnation(), 0, "r", advisory.Advice{Backoff: 3 * clock.Second})
			}
			if alone {
				b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return true })
			}
			began := b.Clock.Now()
			place, refused, err := b.entries[asker].Acquire(context.Background(), b.ask())
			if place != nil || err != nil || refused == nil || !refused.BackedOff || refused.RetryAfter < 2900 || refused.RetryAfter > 4000 {
				t.Errorf("alone %t: refused %+v, %v", alone, refused, err)
			}
			if took := b.Clock.Now() - began; took > 150 {
				t.Errorf("alone %t: told after %d ms", alone, took)
			}
		})
	}
}
