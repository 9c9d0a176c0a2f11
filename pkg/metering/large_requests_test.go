package metering_test

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/metering"
	"quaydock/pkg/packets"
	"quaydock/pkg/routing"
)

// ask has each entry take as fast as it can for a while, for callers that wait for the answer.
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

// largeUnitsOf draws requests of which some are a large part of what a small account may have.
func (d *deployment) largeUnitsOf() func() float64 {
	var mu sync.Mutex
	random := d.Random.Fork()
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return min(58_000, 2500*math.Exp(1.3*random.NormFloat64()))
	}
}

// Ten of thirty entries were cut off from the others while a small account asked for far more
// than its limit: in 8 s it had more than the limit bears. Order of events: the account is held
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
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				account := &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: s.rate, Burst: s.rate, CountsTokens: true}
				limits := metering.Bounds{Over: 0.1, Slack: 140_000, Window: window}
				d := deployMany(ctx, 30, account, limits)
				time.Sleep(3 * time.Second) // greetings are rarer among many
				draw := d.largeUnitsOf()
				all := d.ask(ctx, 4*clock.Second, draw)
				isCut := func(a netip.AddrPort) bool {
					for i := range s.cut {
						if a == address(i) {
							return true
						}
					}
					return false
				}
				d.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return isCut(from) || isCut(to) })
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
