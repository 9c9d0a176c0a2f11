package metering_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/metering"
)

// TestChangedWindowRefusesNoAccountWithinItsLimit guards against usage that is added up for ever, or dropped, once the
// window has another length.
func TestChangedWindowRefusesNoAccountWithinItsLimit(t *testing.T) {
	scenarios := []struct {
		name    string
		windows []clock.Millis // one after the other, each for some seconds
		apart   time.Duration  // the first entry changes earlier than the others by this
	}{
		{"longer by a quarter", []clock.Millis{window, 10 * clock.Second}, 0},
		{"longer by a quarter, at one entry first", []clock.Millis{window, 10 * clock.Second}, 2 * time.Second},
		{"longer by a hundred times", []clock.Millis{clock.Second, 100 * clock.Second}, 0},
		{"shorter by a hundred times", []clock.Millis{100 * clock.Second, clock.Second}, 0},
		{"several times", []clock.Millis{window, 40 * clock.Second, 2 * clock.Second, 20 * clock.Second}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const asked = 2 * perSecond / 3
				ctx := t.Context()
				changed := bounds
				changed.Window = s.windows[0]
				d := deployMany(ctx, entries, defaultAccount(), changed)
				d.demandRate(ctx, 4*time.Second, asked)
				for _, length := range s.windows[1:] {
					changed.Window = length
					d.meters[0].SetBounds(changed)
					if s.apart > 0 {
						d.demandRate(ctx, s.apart, asked)
					}
					d.setBounds(changed)
					for second := range 30 {
						if got := total(d.demandRate(ctx, time.Second, asked)); got < 0.9*asked {
							t.Errorf("%.0f of %.0f units a second served in second %d of a window of %v", got, asked, second, length.Duration())
						}
					}
				}
			})
		})
	}
}

// TestChangedWindowGivesNothingTwice has an account ask for more than its limit while the window changes.
func TestChangedWindowGivesNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deploy(ctx)
		all := d.demand(ctx, 9*time.Second)
		for _, length := range []clock.Millis{10 * clock.Second, window, 6 * clock.Second, window} {
			changed := bounds
			changed.Window = length
			d.setBounds(changed)
			all = append(all, d.demand(ctx, 4*time.Second)...)
		}
		checkMaxInWindow(t, all, accountLimit())
	})
}

// setBounds changes the bounds at all entries.
func (d *deployment) setBounds(bounds metering.Bounds) {
	for _, m := range d.meters {
		m.SetBounds(bounds)
	}
}
