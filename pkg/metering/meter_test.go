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

// TestSumOverAllEntriesStaysWithinLimit has an account ask for far more than its limit while messages among the entries
// are lost: those without the owner spend shares of their own, and the sum of all must not exceed the limit.
func TestSumOverAllEntriesStaysWithinLimit(t *testing.T) {
	scenarios := []struct {
		name string
		lose func(from, to netip.AddrPort, kind packets.Kind) bool // reports whether a message is lost; nil for none
		// minFraction is what must be taken in some window, as a fraction of the allowance: an entry that refuses
		// everything stays within any limit.
		minFraction float64
	}{
		{"no loss", nil, 0.90}, // a new bucket is nearly empty: a little over 8 of 9 s of the rate
		{"partition into two halves", func(from, to netip.AddrPort, _ packets.Kind) bool { return inFirstHalf(from) != inFirstHalf(to) }, 0.5},
		{"one entry isolated", func(from, to netip.AddrPort, _ packets.Kind) bool {
			return from == address(0) || to == address(0)
		}, 0.6},
		{"messages of one entry are lost", func(from, _ netip.AddrPort, _ packets.Kind) bool { return from == address(1) }, 0.5},
		{"all messages are lost", func(_, _ netip.AddrPort, _ packets.Kind) bool { return true }, 0.1},
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
				got := maxInWindow(all)
				if got > accountLimit() {
					t.Errorf("%.0f taken in a window, limit %.0f", got, accountLimit())
				}
				if lowest := s.minFraction * (perSecond*8 + burst); got < lowest {
					t.Errorf("%.0f taken in the fullest window, want at least %.0f", got, lowest)
				}
			})
		})
	}
}

// inFirstHalf reports whether an entry is one of the first two of four.
func inFirstHalf(a netip.AddrPort) bool {
	return a == address(0) || a == address(1)
}

// TestResentClaimCountsOnce guards against an owner that counts a claim again when its reply was lost and the claim is
// sent again.
func TestResentClaimCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deploy(ctx)
		// Every first reply is lost, so that each claim is sent again.
		var replies atomic.Int64
		d.net.Lose(func(_, _ netip.AddrPort, kind packets.Kind) bool {
			return kind == packets.KindQuotaReply && replies.Add(1)%2 == 1
		})
		all := d.demand(ctx, 5*time.Second)
		if got, lowest := maxInWindow(all), 0.9*(perSecond*5); got < lowest {
			t.Errorf("%.0f taken, want at least %.0f: claims are counted more than once", got, lowest)
		}
	})
}

// TestDeadEntryIsReplacedAsOwner loses all messages of one entry: the others must agree on another owner.
func TestDeadEntryIsReplacedAsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deploy(ctx)
		dead := address(3)
		d.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == dead || to == dead })
		time.Sleep(2 * time.Second)
		if owner, _ := d.members[0].Owner("account/a"); owner == dead {
			t.Error("a dead entry is still the owner")
		}
		if got := d.members[0].Agreement(); got != 0.75 {
			t.Errorf("agreement %.2f with three of four alive", got)
		}
	})
}

// TestBurstIsGrantedOnceInEachWindow has an account ask without end: it gets its rate and its burst in any window,
// not only its rate.
func TestBurstIsGrantedOnceInEachWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deploy(ctx)
		d.demand(ctx, 10*time.Second) // the first burst is over
		all := d.demand(ctx, 8*time.Second)
		got := total(all)
		if lowest := 0.97 * (perSecond*8 + burst); got < lowest {
			t.Errorf("%.0f taken in a window after the first burst, want at least %.0f", got, lowest)
		}
	})
}

// TestZeroWindowStillLimitsAccounts has settings that name no bounds for accounts: rate and burst still apply, at the
// owner and at entries that do not reach it. Users would see accounts without any limit after a settings file that
// lacks these lines, because a window of 0 made the rate that is divided by it infinite.
func TestZeroWindowStillLimitsAccounts(t *testing.T) {
	scenarios := []struct {
		name string
		lose func(from, to netip.AddrPort, kind packets.Kind) bool
	}{
		{"no loss", nil},
		{"all messages are lost", func(_, _ netip.AddrPort, _ packets.Kind) bool { return true }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				d := deployMany(ctx, entries, largeAccount(), metering.Bounds{})
				d.net.Lose(s.lose)
				all := d.demandUnits(ctx, 9*time.Second, largeUnits)
				// Each entry may exceed its fraction by one request.
				const limit = largeRate*8 + largeRate + 2*entries*largeRequest
				checkMaxInWindow(t, all, limit)
			})
		})
	}
}

// TestAccountWithoutBurstGetsItsRate has an account with a rate alone: users would see all its requests refused for
// good, because the owner's bucket was capped at the account's burst and never held anything to take.
func TestAccountWithoutBurstGetsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		account := largeAccount()
		account.Burst = 0
		d := deployMany(ctx, entries, account, largeBounds)
		all := d.demandUnits(ctx, 12*time.Second, largeUnits)
		got := maxInWindow(all)
		if lowest := 0.95 * largeRate * 8; got < lowest {
			t.Errorf("%.0f taken in the fullest window, want at least %.0f", got, lowest)
		}
		checkMaxInWindow(t, all, 0.95*(largeRate*8*(1+largeBounds.Over)+largeBounds.Slack))
	})
}
