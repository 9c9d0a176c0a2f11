package membership_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/follow"
	"quaydock/pkg/packets"
)

// TestAnEntryThatJoinsUnheardHasNoPart has a fourth entry join while the other three, which do not reach the
// store, are cut off from it. Users would see a client account beyond its limit at the four together. Order of
// events: the new one reads the list, writes its row and reads it; the others, who never hear of it, go on
// with a third each. Cause: an entry took its place on the list for word that the others count
// it. Evidence: it had a quarter besides their whole, and drawn series had up to 1.191 of the bound.
func TestAnEntryThatJoinsUnheardHasNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := prepare(t, equal(4)...)
		list := b.listed
		b.listed = list[:3]
		for i := range 3 {
			b.members = append(b.members, b.run(i))
		}
		time.Sleep(time.Second)
		b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == address(3) || to == address(3) })
		joining := b.run(3)
		joining.Changed(list[3:], follow.Freshness{})
		time.Sleep(3 * time.Second)
		if share, backing := joining.Share(), joining.Agreement(); share > 0 || backing > 0 {
			t.Errorf("one that nobody has heard has a share of %.2f and a backing of %.2f", share, backing)
		}
		b.net.Lose(nil)
		for _, m := range b.members {
			m.Snapshot(list, follow.Freshness{})
		}
		time.Sleep(300 * time.Millisecond)
		if got := joining.Share(); got != 0.25 {
			t.Errorf("once the others count it, its share is %.2f, want 0.25", got)
		}
	})
}

// TestAnEntryThatWasListedBeforeHasItsPartAtOnce starts one again while it is cut off: the others
// count it from its earlier life.
func TestAnEntryThatWasListedBeforeHasItsPartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(4)...)
		time.Sleep(time.Second)
		b.cut(3)
		again := b.run(3)
		if got := again.Share(); got != 0.25 {
			t.Errorf("its share is %.2f, want 0.25", got)
		}
	})
}
