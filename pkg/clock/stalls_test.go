package clock_test

import (
	"testing"

	"quaydock/pkg/clock"
)

// TestStallsWithinInterval guards against times of answers that include a stall of the process which received them:
// such an answer looked as slow as the process was late.
func TestStallsWithinInterval(t *testing.T) {
	var s clock.Stalls
	if got := s.Within(0, 1000); got != 0 {
		t.Errorf("stalled for %d ms before the first timer", got)
	}
	s.ExpectTimer(100)
	s.TimerFired(102) // the usual delay of a timer
	s.ExpectTimer(200)
	s.TimerFired(260)
	s.ExpectTimer(300)
	s.TimerFired(310)
	s.ExpectTimer(400)
	scenarios := []struct {
		name            string
		from, now, want clock.Millis // want is how long the process was stalled in between
	}{
		{"both stalls", 0, 400, 70},
		{"after the first stall", 260, 400, 10},
		{"from the middle of the first stall", 240, 400, 30},
		{"after both stalls", 310, 400, 0},
		{"timer overdue", 310, 450, 50},
		{"timer overdue, interval begins after it was due", 430, 450, 20},
		{"timer overdue by a usual delay", 310, 404, 0},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			if got := s.Within(c.from, c.now); got != c.want {
				t.Errorf("stalled for %d ms, want %d", got, c.want)
			}
		})
	}
}
