package metering_test

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/metering"
	"quaydock/pkg/routing"
)

// demandWithoutDeadline is demandUnits for callers without a deadline, which wait for the answer to their last request.
func (d *deployment) demandWithoutDeadline(ctx context.Context, length clock.Millis, draw func() float64) []take {
	var (
		mu    sync.Mutex
		all   []take
		group sync.WaitGroup
	)
	end := d.Clock.Now() + length
	for _, m := range d.meters {
		group.Go(func() {
			for d.Clock.Now() < end {
				units := draw()
				if ok, _ := m.Take(ctx, d.account, units, 0); ok {
					mu.Lock()
					all = append(all, take{d.Clock.Now(), units})
					mu.Unlock()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return all
}

// mixedUnits returns a function that draws the units of a request: half are below 2,500, and some are a large
// fraction of a small account's limit.
func (d *deployment) mixedUnits() func() float64 {
	var mu sync.Mutex
	random := d.Random.Fork()
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return min(58_000, 2500*math.Exp(1.3*random.NormFloat64()))
	}
}

// TestLargeRequestsOfSmallAccountAtIsolatedEntries cuts ten of thirty entries off from the others, or all of them from
// one another, while a small account asks for far more than its limit: in 8 s it used more than the limit. The
// account's owner keeps it within its limit; the isolated entries do not reach the owner and spend their own shares,
// which are small compared with the requests. A request of any size was taken while anything was left of a share, so
// each isolated entry gave out many times its share. With requests of 2,000 units, at most 0.75 of the limit was taken
// with a third isolated, and 0.93 with all; with these, some of which are larger than the account's rate for a second,
// up to 1.16 and 1.75.
func TestLargeRequestsOfSmallAccountAtIsolatedEntries(t *testing.T) {
	scenarios := []struct {
		name string
		rate float64 // units per second; also the burst
		cut  int     // how many entries are isolated
	}{
		{"small account, a third isolated", 36_000, 10},
		{"small account, all isolated", 36_000, 30},
		{"medium account, all isolated", 100_000, 30},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				account := &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: s.rate, Burst: s.rate, CountsTokens: true}
				limits := metering.Bounds{Over: 0.1, Slack: 140_000, Window: window}
				d := deployMany(ctx, 30, account, limits)
				time.Sleep(3 * time.Second) // heartbeats are rarer among many entries
				draw := d.mixedUnits()
				all := d.demandWithoutDeadline(ctx, 4*clock.Second, draw)
				d.isolateFirst(s.cut)
				all = append(all, d.demandWithoutDeadline(ctx, 8*clock.Second, draw)...)
				const seconds = 8
				limit := (s.rate*seconds+s.rate)*(1+limits.Over) + limits.Slack
				if got := maxInWindow(all); got > limit {
					t.Errorf("%.0f taken in a window, limit %.0f", got, limit)
				}
			})
		})
	}
}

// TestLargeRequestsAtManyIsolatedEntries isolates entries while one account asks for many times its allowance, in
// requests of thousands of units. Users saw it use 2% more than its limit when eight of thirty entries were isolated,
// because each let one such request exceed what it held.
func TestLargeRequestsAtManyIsolatedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		const many, cut, rate = 30, 10, 400_000.0
		account := &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: rate, Burst: rate, CountsTokens: true}
		limits := metering.Bounds{Over: 0.1, Slack: 140_000, Window: window}
		d := deployMany(ctx, many, account, limits)
		time.Sleep(3 * time.Second) // heartbeats are rarer among many entries
		draw := d.mixedUnits()
		all := d.demandUnits(ctx, 4*time.Second, draw)
		d.isolateFirst(cut)
		all = append(all, d.demandUnits(ctx, 8*time.Second, draw)...)
		const seconds = 8
		limit := (rate*seconds+rate)*(1+limits.Over) + limits.Slack
		// What the engines count differs from what is taken here by requests that wait and are under way: a twentieth is
		// left for them.
		const kept = 0.95
		if got := maxInWindow(all); got > kept*limit {
			t.Errorf("%.0f taken in a window, limit %.0f", got, limit)
		}
	})
}
