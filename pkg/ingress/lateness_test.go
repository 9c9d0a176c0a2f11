package ingress

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// TestLatenessReason guards against late answers that are blamed on the target although they waited for an assignment,
// or although their callers came back too late.
func TestLatenessReason(t *testing.T) {
	route := &routing.Route{Objective: 300, EventGap: 250}
	scenarios := []struct {
		name                  string
		before, placed, first clock.Millis // before since the first try, placed and first since its arrival
		pause                 clock.Millis // the longest between two events
		want                  Lateness
	}{
		{"in time", 0, 10, 290, 250, LateNot},
		{"waited for an assignment", 0, 200, 350, 0, LatePlace},
		{"slow target", 0, 100, 350, 0, LateTarget},
		{"retried too late", 900, 10, 50, 0, LateReturn},
		{"retried in time, waited for an assignment", 100, 150, 250, 0, LateReturn},
		{"retried, slow target", 900, 10, 350, 0, LateTarget},
		{"pause between two events too long", 0, 10, 50, 251, LatePause},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			const arrived = clock.Millis(5000)
			r := &request{route: route, arrived: arrived, sinceFirstTry: s.before, placedAt: arrived + s.placed, firstAt: arrived + s.first, longestPause: s.pause}
			if got := r.lateness(); got != s.want {
				t.Errorf("%v, want %v", got, s.want)
			}
		})
	}
}
