package metering_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/packets"
	"quaydock/pkg/routing"
)

// checkWhileHomesChange cuts off one entry after the other, each for a second, while
// the large account asks for all that it can get, and checks the most that it had in
// a window.
func (d *deployment) checkWhileHomesChange(ctx context.Context, t *testing.T) {
	t.Helper()
	var all []take
	for round := range 12 {
		away := address(round % entries)
		d.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == away || to == away })
		all = append(all, d.demandUnits(ctx, time.Second, largeUnits)...)
	}
	checkMost(t, all, largeKept)
}

// TestHomesThatChangeGiveOutNoMore cuts one entry off after the other, as when
// all are restarted in turn, while an account asks for all it can get. Each home
// that begins anew has a bucket of its own; what the entries tell keeps the sum.
func TestHomesThatChangeGiveOutNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deployMany(ctx, entries, largeAccount(), largeBounds)
		d.checkWhileHomesChange(ctx, t)
	})
}

// TestWhatAnUnboundedAccountGaveBackIsNotOwedToIt gives units back for an account
// without a bound, and then bounds it: what was given back does not hide what it has
// from then on from homes that begin anew.
func TestWhatAnUnboundedAccountGaveBackIsNotOwedToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		account := largeAccount()
		rate := account.PerSecond
		account.PerSecond = 0
		d := deployMany(ctx, entries, account, largeBounds)
		for _, m := range d.meters {
			taken, _ := m.Take(ctx, account, 5*largeRate, 0)
			if !taken {
				t.Fatal("an account without a bound was refused")
			}
			m.Return(account, 5*largeRate, d.Clock.Now())
		}
		account.PerSecond = rate
		d.checkWhileHomesChange(ctx, t)
	})
}

// TestAHomeThatDoesNotKnowTheAccountGivesOutNoMore has an account whose home has another configuration
// than the entries that ask it: one without the account, as before it was added, or one in which it has
// no limit yet. Users would see an account go beyond its limit until the home has the newest configuration.
// Cause: the home said yes to every claim on an account that it did not know. Evidence: this
// test; it wasn't seen on a record.
func TestAHomeThatDoesNotKnowTheAccountGivesOutNoMore(t *testing.T) {
	unlimited := largeAccount()
	unlimited.PerSecond, unlimited.Burst = 0, 0
	scenarios := []struct {
		name     string
		accounts []*routing.Account // at the home
	}{
		{"it has no such account", nil},
		{"it has the account without a limit", []*routing.Account{unlimited}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				d := deployMany(ctx, entries, largeAccount(), largeBounds)
				home, _ := d.members[0].Owner("account/a")
				for i, v := range d.views {
					if address(i) == home {
						v.SetCatalog(routing.NewCatalog(2, routing.Limits{}, nil, nil, s.accounts))
						d.meters = slices.Delete(d.meters, i, i+1) // callers come to the others
					}
				}
				all := d.demandUnits(ctx, 9*time.Second, largeUnits)
				checkMost(t, all, largeKept)
				if len(all) == 0 {
					t.Error("nothing was taken")
				}
			})
		})
	}
}
