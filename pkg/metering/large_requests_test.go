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

// ask is demandUnits for callers that wait for the answer to their last request: it has no
// deadline.
func (d *deployment) ask(ctx context.Context, length clock.Millis, draw func() float64) []take {
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

// mixedUnits returns a draw of units of a request: half are below 2,500, and some are a large
// part of what a small account may have.
func (d *deployment) mixedUnits() func() float64 {
	var mu sync.Mutex
	random := d.Random.Fork()
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return min(58_000, 2500*math.Exp(1.3*random.NormFloat64()))
	}
}

// TestLargeRequestsOfASmallAccountAtEntriesCutOff has ten of thirty entries cut off from the
// others, or all of them, while a small account asks for far more than its limit: in 8 s it had more than the limit bears. Order of events: the account is held
// to its limit by its home; the cut entries do not reach it and spend their own shares, which
// are small beside the requests. Cause: a request of any size is taken while anything is left of a
// share, so that each cut entry gives out one that is many times its share. Evidence: with
// requests of 2,000 units at most 0.75 of the bound is taken with a third cut off, and 0.93 with all; with
// these, of which some are larger than the account's rate for a second, up to 1.16 and 1.75.
func TestLargeRequestsOfASmallAccountAtEntriesCutOff(t *testing.T) {
	scenarios := []struct {
		name string
		rate float64
		cut  int
	}{
		{"a small account, a third cut off", 36_000, 10},
		{"a small account, all cut off from one another", 36_000, 30},
		{"a middling account, all cut off from one another", 100_000, 30},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				account := &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: s.rate, Burst: s.rate, CountsTokens: true}
				limits := metering.Bounds{Over: 0.1, Slack: 140_000, Window: window}
				d := deployMany(ctx, 30, account, limits)
				time.Sleep(3 * time.Second) // greetings are rarer among many
				draw := d.mixedUnits()
				all := d.ask(ctx, 4*clock.Second, draw)
				d.cutOffFirst(s.cut)
				all = append(all, d.ask(ctx, 8*clock.Second, draw)...)
				const seconds = 8
				limit := (s.rate*seconds+s.rate)*(1+limits.Over) + limits.Slack
				if got := worst(all); got > limit {
					t.Errorf("%.0f taken in a window, bound %.0f", got, limit)
				}
			})
		})
	}
}

// TestLargeRequestsAtManyEntriesCutOff cuts entries off while one account asks for many times
// its allowance, in requests of thousands of units. Users saw it have 2% more than its bound when
// eight of thirty entries were cut off. Cause: each let one such request go beyond what it held.
func TestLargeRequestsAtManyEntriesCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		const many, cut, rate = 30, 10, 400_000.0
		account := &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: rate, Burst: rate, CountsTokens: true}
		limits := metering.Bounds{Over: 0.1, Slack: 140_000, Window: window}
		d := deployMany(ctx, many, account, limits)
		time.Sleep(3 * time.Second) // greetings are rarer among many
		draw := d.mixedUnits()
		all := d.demandUnits(ctx, 4*time.Second, draw)
		d.cutOffFirst(cut)
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
