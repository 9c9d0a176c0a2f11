package metering_test

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/metering"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
)

const (
	entries   = 4
	perSecond = 10_000.0
	burst     = 10_000.0
	window    = 8 * clock.Second
)

var bounds = metering.Bounds{Over: 0.1, Slack: 20_000, Window: window}

// deployment is a few entries that meter one account.
type deployment struct {
	common.Common
	net     *packets.Memory
	account *routing.Account
	meters  []*metering.Meter
	members []*membership.Members
	views   []*view.View
}

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1))
}

func deploy(ctx context.Context) *deployment {
	account := &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: perSecond, Burst: burst, CountsTokens: true}
	return deployMany(ctx, entries, account, bounds)
}

func deployMany(ctx context.Context, entries int, account *routing.Account, bounds metering.Bounds) *deployment {
	d := deployUnlisted(ctx, entries, account, bounds)
	d.readList()
	time.Sleep(time.Second)
	return d
}

// firstOf lists the first few entries.
func firstOf(entries int) []follow.Row {
	var rows []follow.Row
	for i := range entries {
		rows = append(rows, row(i))
	}
	return rows
}

// readList has all entries read the list of all.
func (d *deployment) readList() {
	for _, m := range d.members {
		m.Whole(firstOf(len(d.members)), follow.Proof{})
	}
}

// row lists an entry.
func row(i int) follow.Row {
	return follow.Row{Key: fmt.Sprint("entry-", i), Value: fmt.Appendf(nil, `{"address":%q,"weight":1}`, address(i).String())}
}

// deployUnlisted runs entries that know the account and have not read the list of entries.
func deployUnlisted(ctx context.Context, entries int, account *routing.Account, bounds metering.Bounds) *deployment {
	d := &deployment{
		Common:  commontest.New(network.NewMemory(nil)),
		net:     packets.NewMemory(),
		account: account,
	}
	for i := range entries {
		link := packets.NewLink(d.Common, d.net.Socket(address(i)))
		m := membership.New(d.Common, membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: address(i), Weight: 1}, commontest.NoRows{}, link)
		v := view.New(d.Check)
		v.SetCatalog(routing.NewCatalog(1, routing.Limits{}, nil, nil, []*routing.Account{d.account}))
		d.meters = append(d.meters, metering.New(d.Common, bounds, v, m, link))
		d.members = append(d.members, m)
		d.views = append(d.views, v)
		go link.Run(ctx)
		go m.Run(ctx)
	}
	return d
}

// demand has each entry take as fast as it can for a while, and returns when
// and what was taken.
func (d *deployment) demand(ctx context.Context, length time.Duration) []take {
	return d.demandUnits(ctx, length, func() float64 { return 100 })
}

func (d *deployment) demandUnits(ctx context.Context, length time.Duration, draw func() float64) []take {
	results := make(chan take, 100_000)
	limited, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	ended := make(chan struct{})
	for _, m := range d.meters {
		go func() {
			for limited.Err() == nil {
				units := draw()
				if ok, _ := m.Take(limited, d.account, units, 0); ok {
					results <- take{d.Clock.Now(), units}
				}
				time.Sleep(10 * time.Millisecond)
			}
			ended <- struct{}{}
		}()
	}
	for range d.meters {
		<-ended
	}
	close(results)
	var all []take
	for r := range results {
		all = append(all, r)
	}
	return all
}

type take struct {
	at    clock.Millis
	units float64
}

// worst is the most taken in any window.
func worst(all []take) float64 {
	most := 0.0
	for _, from := range all {
		sum := 0.0
		for _, x := range all {
			if x.at >= from.at && x.at < from.at+window {
				sum += x.units
			}
		}
		most = max(most, sum)
	}
	return most
}

func bound() float64 {
	const seconds = 8
	return (perSecond*seconds+burst)*(1+bounds.Over) + bounds.Slack
}

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
		{"claims are lost", func(_, _ netip.AddrPort, kind packets.Kind) bool { return kind == packets.KindClaim }, 0.1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
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
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		d := deploy(ctx)
		// Every first answer is lost, so that each claim is sent again.
		var replies atomic.Int64
		d.net.Lose(func(_, _ netip.AddrPort, kind packets.Kind) bool {
			return kind == packets.KindReply && replies.Add(1)%2 == 1
		})
		all := d.demand(ctx, 5*time.Second)
		if got, least := worst(all), 0.9*(perSecond*5); got < least {
			t.Errorf("%.0f taken, want %.0f: claims are counted more than once", got, least)
		}
	})
}

func TestTheDeadAreNotWaitedForForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		d := deploy(ctx)
		dead := address(3)
		d.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == dead || to == dead })
		time.Sleep(2 * time.Second)
		if home, _ := d.members[0].Home("account/a"); home == dead {
			t.Error("a dead entry is still the home")
		}
		if got := d.members[0].Backing(); got != 0.75 {
			t.Errorf("backing %.2f with three of four alive", got)
		}
	})
}

// Regression (vcn-quay-grown, scale-2 with seed 677019974891): eight of thirty
// entries were cut off while one account asked for many times its allowance, in
// requests of thousands of units. Each let one such request go beyond what it
// held, and the sum went 2 in 100 beyond the bound.
func TestLargeRequestsAtManyEntriesCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		const many, cut, rate = 30, 10, 400_000.0
		account := &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: rate, Burst: rate, CountsTokens: true}
		limits := metering.Bounds{Over: 0.1, Slack: 140_000, Window: window}
		d := deployMany(ctx, many, account, limits)
		time.Sleep(3 * time.Second) // greetings are rarer among many
		var mu sync.Mutex
		random := d.Random.Fork()
		draw := func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return min(58_000, 2500*math.Exp(1.3*random.NormFloat64()))
		}
		all := d.demandUnits(ctx, 4*time.Second, draw)
		isCut := func(a netip.AddrPort) bool {
			for i := range cut {
				if a == address(i) {
					return true
				}
			}
			return false
		}
		d.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return isCut(from) || isCut(to) })
		all = append(all, d.demandUnits(ctx, 8*time.Second, draw)...)
		const seconds = 8
		limit := (rate*seconds+rate)*(1+limits.Over) + limits.Slack
		// What the engines count differs from what is taken here by what waits and
		// is under way: a twentieth is kept for it.
		const kept = 0.95
		if got := worst(all); got > kept*limit {
			t.Errorf("%.0f taken in a window, bound %.0f", got, limit)
		}
	})
}

// A large account's margin is small beside its rate.
const (
	largeRate  = 400_000.0
	largeLimit = (largeRate*8+largeRate)*1.1 + 140_000
	// largeKept leaves a twentieth for what waits and is under way.
	largeKept = 0.95 * largeLimit
)

var largeBounds = metering.Bounds{Over: 0.1, Slack: 140_000, Window: window}

func largeAccount() *routing.Account {
	return &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: largeRate, Burst: largeRate, CountsTokens: true}
}

func largeUnits() float64 { return 8000 }

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
	if got := worst(all); got > largeKept {
		t.Errorf("%.0f taken in a window, want %.0f at the most", got, largeKept)
	}
}

// TestHomesThatChangeGiveOutNoMore cuts one entry off after the other, as when
// all are restarted in turn, while an account asks for all it can get. Each home
// that begins anew has a bucket of its own; what the entries tell keeps the sum.
func TestHomesThatChangeGiveOutNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		d := deployMany(ctx, entries, largeAccount(), largeBounds)
		d.checkWhileHomesChange(ctx, t)
	})
}

// TestWhatAnUnboundedAccountGaveBackIsNotOwedToIt gives units back for an account
// without a bound, and then bounds it: what was given back does not hide what it has
// from then on from homes that begin anew.
func TestWhatAnUnboundedAccountGaveBackIsNotOwedToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
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

// TestABurstFlowsOnceInEachWindow has an account ask without end: it gets what
// it may have in any window, not only the rate.
func TestABurstFlowsOnceInEachWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		d := deploy(ctx)
		d.demand(ctx, 10*time.Second) // the first burst is over
		all := d.demand(ctx, 8*time.Second)
		sum := 0.0
		for _, x := range all {
			sum += x.units
		}
		if least := 0.97 * (perSecond*8 + burst); sum < least {
			t.Errorf("%.0f in a window long after the first, want %.0f", sum, least)
		}
	})
}

// TestAllBeginAnew loses every entry in the middle of an account's burst: what
// the new ones give out, which have heard of nothing, stays within the bound.
func TestAllBeginAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		first := deployMany(ctx, entries, largeAccount(), largeBounds)
		time.Sleep(8 * time.Second) // the burst is whole
		all := first.demandUnits(ctx, 3*time.Second, largeUnits)
		for range 2 { // each is away for the second that it takes to find the others
			d := deployMany(ctx, entries, largeAccount(), largeBounds)
			all = append(all, d.demandUnits(ctx, 3*time.Second, largeUnits)...)
		}
		if got := worst(all); got > largeKept {
			t.Errorf("%.0f taken in a window, want %.0f at the most", got, largeKept)
		}
	})
}

// TestEntriesThatHaveNotReadTheListGiveOutNoMore plays a start of all entries beside a
// store that answers for a moment only. Users saw a client account run 1.4% more than its
// limit bears in 8 s. Order of events: the account asked for far more than its limit and
// was held to it; all four entries were killed; when they started the store reset every
// call, answered for some 40 ms, and reset them again; in that moment each entry read
// configuration and targets, and not the list of entries, whose first read had failed.
// Cause: an entry without the list took itself for the only one and gave out the whole of
// the limit. The evidence is the figures of all four from then on: one entry listed, and
// all of it backing, where four were listed before the kill and after the store's return.
func TestEntriesThatHaveNotReadTheListGiveOutNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		first := deployMany(ctx, entries, largeAccount(), largeBounds)
		time.Sleep(8 * time.Second) // the burst is whole
		all := first.demandUnits(ctx, 3*time.Second, largeUnits)
		d := deployUnlisted(ctx, entries, largeAccount(), largeBounds)
		all = append(all, d.demandUnits(ctx, 3*time.Second, largeUnits)...)
		d.readList()
		time.Sleep(time.Second)
		known := d.demandUnits(ctx, 2*time.Second, largeUnits)
		all = append(all, known...)
		if got := worst(all); got > largeKept {
			t.Errorf("%.0f taken in a window, want %.0f at the most", got, largeKept)
		}
		served := 0.0
		for _, x := range known {
			served += x.units
		}
		if least := 0.9 * 2 * largeRate; served < least {
			t.Errorf("%.0f taken in 2 s once the list is known, want %.0f at the least", served, least)
		}
	})
}

// TestAFirstStartGivesOutNoMore starts all entries for the first time, when each writes its
// own row: an entry first reads a list without itself, then those that were there before it,
// and hears of the later ones half a second later, as where only others reach the store.
func TestAFirstStartGivesOutNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		d := deployUnlisted(ctx, entries, largeAccount(), largeBounds)
		for i, m := range d.members {
			m.Whole(firstOf(i), follow.Proof{})
			time.AfterFunc(100*time.Millisecond, func() { m.Changed([]follow.Row{row(i)}, follow.Proof{}) })
			time.AfterFunc(600*time.Millisecond, func() { m.Changed(firstOf(entries)[i+1:], follow.Proof{}) })
		}
		all := d.demandUnits(ctx, 9*time.Second, largeUnits)
		if got := worst(all); got > largeKept {
			t.Errorf("%.0f taken in a window, want %.0f at the most", got, largeKept)
		}
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
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				d := deployMany(ctx, entries, largeAccount(), largeBounds)
				home, _ := d.members[0].Home("account/a")
				for i, v := range d.views {
					if address(i) == home {
						v.SetCatalog(routing.NewCatalog(2, routing.Limits{}, nil, nil, s.accounts))
						d.meters = slices.Delete(d.meters, i, i+1) // callers come to the others
					}
				}
				all := d.demandUnits(ctx, 9*time.Second, largeUnits)
				if got := worst(all); got > largeKept {
					t.Errorf("%.0f taken in a window, want %.0f at the most", got, largeKept)
				}
				if len(all) == 0 {
					t.Error("nothing was taken")
				}
			})
		})
	}
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
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				d := deployMany(ctx, entries, largeAccount(), metering.Bounds{})
				d.net.Lose(s.lose)
				all := d.demandUnits(ctx, 9*time.Second, largeUnits)
				// Each entry may go beyond its part by one request.
				const most = largeRate*8 + largeRate + 2*entries*8000
				if got := worst(all); got > most {
					t.Errorf("%.0f taken in 8 s, want %.0f at the most", got, most)
				}
			})
		})
	}
}

// TestAnAccountWithoutABurstHasItsRate has an account with a rate alone: users would see all its requests
// refused for good. Cause: what a home holds for an account was capped at its burst, so there was never
// anything to take. Evidence: this test; it wasn't seen on a record.
func TestAnAccountWithoutABurstHasItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		account := largeAccount()
		account.Burst = 0
		d := deployMany(ctx, entries, account, largeBounds)
		all := d.demandUnits(ctx, 12*time.Second, largeUnits)
		got := worst(all)
		if least := 0.95 * largeRate * 8; got < least {
			t.Errorf("%.0f taken in the fullest window, want %.0f at the least", got, least)
		}
		if most := 0.95 * (largeRate*8*(1+largeBounds.Over) + largeBounds.Slack); got > most {
			t.Errorf("%.0f taken in a window, want %.0f at the most", got, most)
		}
	})
}

// TestAnAccountWithoutALimitIsServedWithoutTheList has nothing to divide.
func TestAnAccountWithoutALimitIsServedWithoutTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		account := largeAccount()
		account.PerSecond = 0
		d := deployUnlisted(ctx, entries, account, largeBounds)
		for i, m := range d.meters {
			if taken, _ := m.Take(ctx, account, largeRate, 0); !taken {
				t.Errorf("entry %d refused an account without a limit", i)
			}
		}
	})
}
