package quota_test

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/quota"
)

// TestRetriesStayWithinLimitOfChangedWindow guards against requests that count for ever once the window has another length.
func TestRetriesStayWithinLimitOfChangedWindow(t *testing.T) {
	const perSecond, ratio = 10, 0.2
	scenarios := []struct {
		name    string
		windows []clock.Millis
	}{
		{"longer", []clock.Millis{clock.Second, 10 * clock.Second}},
		{"longer by a hundred times, and back", []clock.Millis{clock.Second, 100 * clock.Second, clock.Second}},
		{"shorter by a hundred times", []clock.Millis{100 * clock.Second, clock.Second}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			bounds := quota.RetryBounds{Ratio: ratio, Window: s.windows[0]}
			b := quota.NewRetryBudget(bounds, start)
			now := start
			for _, bounds.Window = range s.windows {
				b.SetBounds(bounds)
				for range 300 * perSecond {
					now += clock.Second / perSecond
					b.CountRequest(now, "s")
				}
				retries := 0
				for b.TakeRetry(now, "s", 1) {
					retries++
				}
				requests := perSecond * float64(bounds.Window/clock.Second)
				if most, least := ratio*requests, ratio*requests/2-1; float64(retries) > most || float64(retries) < least {
					t.Errorf("%d retries in a window of %v, want %.0f to %.0f", retries, bounds.Window.Duration(), least, most)
				}
			}
		})
	}
}

// TestRetryBudgetRightAfterShorterWindow has the requests of a long step not count for the shorter window after it.
func TestRetryBudgetRightAfterShorterWindow(t *testing.T) {
	bounds := quota.RetryBounds{Ratio: 0.2, Window: 100 * clock.Second}
	b := quota.NewRetryBudget(bounds, start)
	for i := range clock.Millis(100) {
		b.CountRequest(start+100*i, "s") // all within 10 s
	}
	bounds.Window = clock.Second
	b.SetBounds(bounds)
	now, retries := start+9900, 0
	for b.TakeRetry(now, "s", 1) {
		retries++
	}
	if most := 0.2 * 10; float64(retries) > most {
		t.Errorf("%d retries in a window with 10 requests, want at most %.0f", retries, most)
	}
}
