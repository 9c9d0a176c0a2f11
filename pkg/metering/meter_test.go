package metering_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/metering"
	"quaydock/pkg/packets"
)

func TestTheSumOverAllEntriesHolds(t *testing.T) {
	scenarios := []struct {
		name string
		lose func(from, to netip.AddrPort, kind packets.Kind) bool
		// least is what must be taken in some window, as a part of the
		// allowance: an entry that refuses everything keeps every bound.
		least float64
	}{
		{"calm", nil, 0.90}, // a fresh bucket is nearly empty: a little over 8 of 9 s of the rate
		{"cut in two halves", func(from, to netip.AddrPort, _ packets.Kind) bool { return half(from) != half(to) }, 0.5},
		{"one entry cut off", func(from, to netip.AddrPort, _ packets.Kind) bool {
			return from == address(0) || to == address(0)
		}, 0.6},
		{"one way cut", func(from, _ netip.AddrPort, _ packets.Kind) bool { return from == address(1) }, 0.5},
		{"nothing gets through", func(_, _ netip.AddrPort, _ packets.Kind) bool { return true }, 0.1},
		{"claims are lost", func(_, _ netip.AddrPort, kind packets.Kind) bool { return kind == packets.KindQuotaTake }, 0.1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				d := deploy(ctx)
				all := d.demand(ctx, 3*time.Second)
				d.net.Lose(s.lose)
				all = append(all, d.demand(ctx, 9*time.Second)...)
				d.net.Lose(nil)
				all = append(all, d.demand(ctx, 3*time.Second)...)
				got := worst(all)
				if got > bound() {
					t.Errorf("%.0f taken in a window, bound %.0f", got, bound())
				}
				if least := s.least * (perSecond*8 + burst); got < least {
					t.Errorf("%.0f taken in the fullest window, want %.0f at the least", got, least)
				}
			})
		})
	}
}

func half(a netip.AddrPort) bool {
	return a == address(0) || a == address(1)
}

func TestARepeatedClaimCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deploy(ctx)
		// Every first answer is lost, so that each claim is sent again.
		var replies atomic.Int64
		d.net.Lose(func(_, _ netip.AddrPort, kind packets.Kind) bool {
			return kind == packets.KindQuotaReply && replies.Add(1)%2 == 1
		})
		all := d.demand(ctx, 5*time.Second)
		if got, least := worst(all), 0.9*(perSecond*5); got < least {
			t.Errorf("%.0f taken, want %.0f: claims are counted more than once", got, least)
		}
	})
}

func TestTheDeadAreNotWaitedForForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deploy(ctx)
		dead := address(3)
		d.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == dead || to == dead })
		time.Sleep(2 * time.Second)
		if home, _ := d.members[0].Owner("account/a"); home == dead {
			t.Error("a dead entry is still the home")
		}
		if got := d.members[0].Agreement(); got != 0.75 {
			t.Errorf("backing %.2f with three of four alive", got)
		}
	})
}

// TestABurstFlowsOnceInEachWindow has an account ask without end: it gets what
// it may have in any window, not only the rate.
func TestABurstFlowsOnceInEachWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deploy(ctx)
		d.demand(ctx, 10*time.Second) // the first burst is over
		all := d.demand(ctx, 8*time.Second)
		got := sum(all)
		if least := 0.97 * (perSecond*8 + burst); got < least {
			t.Errorf("%.0f in a window long after the first, want %.0f", got, least)
		}
	})
}

// TestSettingsWithoutAWindowBoundAccountsToo has settings that name no bounds for accounts: rate and burst
// hold all the same, at the home and at entries that do not reach it. Users would see accounts without any
// limit after a settings file that lacks these lines. Cause: what may flow in a window was divided by its length, and
// 0 made it endless. Evidence: this test; it wasn't seen on a record.
func TestSettingsWithoutAWindowBoundAccountsToo(t *testing.T) {
	scenarios := []struct {
		name string
		lose func(from, to netip.AddrPort, kind packets.Kind) bool
	}{
		{"calm", nil},
		{"nothing gets through", func(_, _ netip.AddrPort, _ packets.Kind) bool { return true }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				d := deployMany(ctx, entries, largeAccount(), metering.Bounds{})
				d.net.Lose(s.lose)
				all := d.demandUnits(ctx, 9*time.Second, largeUnits)
				// Each entry may go beyond its part by one request.
				const most = largeRate*8 + largeRate + 2*entries*largeRequest
				checkMost(t, all, most)
			})
		})
	}
}

// TestAnAccountWithoutABurstHasItsRate has an account with a rate alone: users would see all its requests
// refused for good. Cause: what a home holds for an account was capped at its burst, so there was never
// anything to take. Evidence: this test; it wasn't seen on a record.
func TestAnAccountWithoutABurstHasItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		account := largeAccount()
		account.Burst = 0
		d := deployMany(ctx, entries, account, largeBounds)
		all := d.demandUnits(ctx, 12*time.Second, largeUnits)
		got := worst(all)
		if least := 0.95 * largeRate * 8; got < least {
			t.Errorf("%.0f taken in the fullest window, want %.0f at the least", got, least)
		}
		checkMost(t, all, 0.95*(largeRate*8*(1+largeBounds.Over)+largeBounds.Slack))
	})
}
