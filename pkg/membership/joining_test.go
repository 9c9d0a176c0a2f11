package membership_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/follow"
	"quaydock/pkg/packets"
)

// TestJoiningEntryUnknownToOthersHasNoShare has a fourth entry join while the other three, which do not reach the
// store, are partitioned from it. The new entry reads the list, writes its row and reads it back; the others never
// learn of it and go on with a third each. An entry that took its place on the list as proof that the others count it
// had a quarter besides their whole, so that a client account exceeded its limit over the four together: up to 1.191 of
// the limit.
func TestJoiningEntryUnknownToOthersHasNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := prepare(t, equalWeights(4)...)
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
		if share, agreement := joining.Share(), joining.Agreement(); share > 0 || agreement > 0 {
			t.Errorf("an entry unknown to the others has share %.2f and agreement %.2f", share, agreement)
		}
		b.net.Lose(nil)
		for _, m := range b.members {
			m.Snapshot(list, follow.Freshness{})
		}
		time.Sleep(300 * time.Millisecond)
		if got := joining.Share(); got != 0.25 {
			t.Errorf("share %.2f once the others count it, want 0.25", got)
		}
	})
}

// TestRestartedListedEntryHasItsShareAtOnce restarts an entry while it is partitioned: the others count it from its
// earlier run.
func TestRestartedListedEntryHasItsShareAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equalWeights(4)...)
		time.Sleep(time.Second)
		b.partition(3)
		again := b.run(3)
		if got := again.Share(); got != 0.25 {
			t.Errorf("share %.2f, want 0.25", got)
		}
	})
}
