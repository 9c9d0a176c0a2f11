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

// checkWhileOwnersChange isolates one entry after the other, each for a second, while the large account asks for all
// that it can get, and checks the most that it took in any window.
func (d *deployment) checkWhileOwnersChange(ctx context.Context, t *testing.T) {
	t.Helper()
	var all []take
	for round := range 12 {
		isolated := address(round % entries)
		d.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == isolated || to == isolated })
		all = append(all, d.demandUnits(ctx, time.Second, largeUnits)...)
	}
	checkMaxInWindow(t, all, largeMax)
}

// TestOwnerChangesStayWithinLimit isolates one entry after the other, as when all are restarted in turn, while an
// account asks for all that it can get. Each new owner has a bucket of its own; the reports of the entries keep the sum
// within the limit.
func TestOwnerChangesStayWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deployMany(ctx, entries, largeAccount(), largeBounds)
		d.checkWhileOwnersChange(ctx, t)
	})
}

// TestReturnsOfUnlimitedAccountDoNotReduceUsage gives units back for an account without a limit, and then limits it:
// what was given back must not hide later usage from new owners.
func TestReturnsOfUnlimitedAccountDoNotReduceUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		account := largeAccount()
		rate := account.PerSecond
		account.PerSecond = 0
		d := deployMany(ctx, entries, account, largeBounds)
		for _, m := range d.meters {
			taken, _ := m.Take(ctx, account, 5*largeRate, 0)
			if !taken {
				t.Fatal("an account without a limit was refused")
			}
			m.Return(account, 5*largeRate, d.Clock.Now())
		}
		account.PerSecond = rate
		d.checkWhileOwnersChange(ctx, t)
	})
}

// TestOwnerWithoutAccountLimitStaysWithinLimit has an account whose owner has another configuration than the entries
// that send it claims: one without the account, as before it was added, or one in which it has no limit yet. Users would
// see an account exceed its limit until the owner has the newest configuration, because the owner admitted every claim
// on an account that it did not know.
func TestOwnerWithoutAccountLimitStaysWithinLimit(t *testing.T) {
	unlimited := largeAccount()
	unlimited.PerSecond, unlimited.Burst = 0, 0
	scenarios := []struct {
		name     string
		accounts []*routing.Account // at the owner
	}{
		{"the account is missing", nil},
		{"the account has no limit", []*routing.Account{unlimited}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				d := deployMany(ctx, entries, largeAccount(), largeBounds)
				owner, _ := d.members[0].Owner("account/a")
				for i, v := range d.views {
					if address(i) == owner {
						v.SetCatalog(routing.NewCatalog(2, routing.Limits{}, nil, nil, routing.Accounts{List: s.accounts}))
						d.meters = slices.Delete(d.meters, i, i+1) // callers come to the others
					}
				}
				all := d.demandUnits(ctx, 9*time.Second, largeUnits)
				checkMaxInWindow(t, all, largeMax)
				if len(all) == 0 {
					t.Error("nothing was taken")
				}
			})
		})
	}
}
