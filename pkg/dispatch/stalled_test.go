package dispatch

import (
	"testing"

	"quaydock/pkg/clock"
)

// TestDurationIsUnknownIfMostOfItWasStall guards against ordinary answers that look slow beside one whose end fell into a
// stall: nearly all of its time was taken for the stall's.
func TestDurationIsUnknownIfMostOfItWasStall(t *testing.T) {
	cases := []struct {
		name                string
		took, stalled, want clock.Millis
	}{
		{"no stall", 300, 0, 0},
		{"a short stall", 300, 40, 40},
		{"half of its time", 300, 150, 150},
		{"more than half", 300, 151, 300},
		{"nearly all", 305, 279, 305},
		{"longer than it took, by another clock", 100, 130, 100},
		{"it took no time", 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := notCharged(c.took, c.stalled); got != c.want {
				t.Errorf("%d of %d ms, stalled for %d, are not charged, want %d", got, c.took, c.stalled, c.want)
			}
		})
	}
}
