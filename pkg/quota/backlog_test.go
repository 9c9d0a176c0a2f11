package quota_test

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
)

// TestAFloodIsSpread has an account ask for five times its rate for two seconds: who is sent
// away is told to come back at the account's rate, not all at once.
func TestAFloodIsSpread(t *testing.T) {
	const (
		rate  = 1000.0
		units = 100.0
		most  = 20 * clock.Second
	)
	account := &routing.Account{Name: "a", PerSecond: rate}
	b := quota.NewBacklog()
	back := make(map[clock.Millis]int) // by second
	for now := clock.Millis(0); now < 2*clock.Second; now += 20 {
		back[(now+b.Queue(now, account, units, 30, most))/clock.Second]++
	}
	for second, n := range back {
		if perSecond := float64(n) * units; perSecond > 1.2*rate {
			t.Errorf("%.0f units come back in second %d, the rate is %.0f", perSecond, second, rate)
		}
	}
	if len(back) < 8 {
		t.Errorf("all come back within %d seconds", len(back))
	}
}

// TestABacklogEnds checks that an account that keeps within its rate again is told the
// time to its next unit, and that no one is told to come back later than is of use.
func TestABacklogEnds(t *testing.T) {
	account := &routing.Account{Name: "a", PerSecond: 1000}
	b := quota.NewBacklog()
	for range 1000 {
		if wait := b.Queue(0, account, 100, 30, 8*clock.Second); wait > 8*clock.Second {
			t.Fatalf("told to come back in %d ms", wait)
		}
	}
	if wait := b.Queue(9*clock.Second, account, 100, 30, 8*clock.Second); wait != 30 {
		t.Errorf("after the backlog: %d ms", wait)
	}
}
