package metering_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
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

// The default deployment and its account, in units.
const (
	entries   = 4
	perSecond = 10_000.0
	burst     = 10_000.0
	window    = 8 * clock.Second
)

// bounds let the default account use a tenth more than its allowance and 20,000 units in any window.
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

// address is the address of entry i.
func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1))
}

// deploy runs the default number of entries, all of which have read the list of entries.
func deploy(ctx context.Context) *deployment {
	return deployMany(ctx, entries, defaultAccount(), bounds)
}

func defaultAccount() *routing.Account {
	return &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: perSecond, Burst: burst, CountsTokens: true}
}

// deployMany runs entries that have read the list of entries, and lets them exchange heartbeats for a second.
func deployMany(ctx context.Context, entries int, account *routing.Account, bounds metering.Bounds) *deployment {
	d := deployUnlisted(ctx, entries, account, bounds)
	d.readList()
	time.Sleep(time.Second)
	return d
}

// firstRows lists the first few entries.
func firstRows(entries int) []follow.Row {
	var rows []follow.Row
	for i := range entries {
		rows = append(rows, row(i))
	}
	return rows
}

// readList has all entries read the complete list.
func (d *deployment) readList() {
	for _, m := range d.members {
		m.Snapshot(firstRows(len(d.members)), follow.Freshness{})
	}
}

// row is the row that lists entry i.
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
		v.SetCatalog(routing.NewCatalog(1, routing.Limits{}, nil, nil, routing.Accounts{List: []*routing.Account{d.account}}))
		d.meters = append(d.meters, metering.New(d.Common, bounds, v, m, link))
		d.members = append(d.members, m)
		d.views = append(d.views, v)
		go link.Run(ctx)
		go m.Run(ctx)
	}
	return d
}

// demand has each entry take 100 units every 10 ms for a while, and returns what was taken and when.
func (d *deployment) demand(ctx context.Context, length time.Duration) []take {
	return d.demandUnits(ctx, length, func() float64 { return 100 })
}

// demandRate has all entries together ask for so many units a second.
func (d *deployment) demandRate(ctx context.Context, length time.Duration, perSecond float64) []take {
	const requests = 100 // of each entry, in a second
	return d.demandUnits(ctx, length, func() float64 { return perSecond / requests / float64(len(d.meters)) })
}

// demandUnits is demand with requests of drawn sizes.
func (d *deployment) demandUnits(ctx context.Context, length time.Duration, draw func() float64) []take {
	results := make(chan take, 100_000) // room for all: it is read only after the last
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

// take is an amount taken at a moment.
type take struct {
	at    clock.Millis
	units float64
}

// maxInWindow is the most units taken in any window.
func maxInWindow(all []take) float64 {
	highest := 0.0
	for _, from := range all {
		sum := 0.0
		for _, x := range all {
			if x.at >= from.at && x.at < from.at+window {
				sum += x.units
			}
		}
		highest = max(highest, sum)
	}
	return highest
}

// accountLimit is how many units the default account may use in a window, by the bounds.
func accountLimit() float64 {
	const seconds = 8
	return (perSecond*seconds+burst)*(1+bounds.Over) + bounds.Slack
}

// The margin of a large account is small compared with its rate.
const (
	largeRate  = 400_000.0                             // units per second; also the burst
	largeLimit = (largeRate*8+largeRate)*1.1 + 140_000 // units in a window of 8 s, by largeBounds
	// largeMax leaves a twentieth of the limit for requests that wait and are under way.
	largeMax = 0.95 * largeLimit
)

var largeBounds = metering.Bounds{Over: 0.1, Slack: 140_000, Window: window}

func largeAccount() *routing.Account {
	return &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: largeRate, Burst: largeRate, CountsTokens: true}
}

// largeRequest is what one request of the large account takes, in units.
const largeRequest = 8000

func largeUnits() float64 { return largeRequest }

// checkMaxInWindow checks the most that was taken in any window.
func checkMaxInWindow(t *testing.T, all []take, limit float64) {
	t.Helper()
	if got := maxInWindow(all); got > limit {
		t.Errorf("%.0f taken in a window, want at most %.0f", got, limit)
	}
}

// total is all that was taken.
func total(all []take) float64 {
	units := 0.0
	for _, x := range all {
		units += x.units
	}
	return units
}

// isolateFirst cuts the first few entries off from one another and from the others.
func (d *deployment) isolateFirst(n int) {
	isPartitioned := func(a netip.AddrPort) bool {
		for i := range n {
			if a == address(i) {
				return true
			}
		}
		return false
	}
	d.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return isPartitioned(from) || isPartitioned(to) })
}
