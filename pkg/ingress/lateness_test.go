package ingress

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

func TestWhyAnAnswerIsLate(t *testing.T) {
	route := &routing.Route{Objective: 300, EventGap: 250}
	scenarios := []struct {
		name                  string
		before, placed, first clock.Millis // the last two after it came
		pause                 clock.Millis
		want                  Lateness
	}{
		{"in time", 0, 10, 290, 250, LateNot},
		{"waited for a place", 0, 200, 350, 0, LatePlace},
		{"its target was slow to begin", 0, 100, 350, 0, LateTarget},
		{"it came back too late", 900, 10, 50, 0, LateReturn},
		{"it came back in time and waited", 100, 150, 250, 0, LateReturn},
		{"it came back and its target was slow", 900, 10, 350, 0, LateTarget},
		{"two events were too far apart", 0, 10, 50, 251, LatePause},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			const came = clock.Millis(5000)
			r := &request{route: route, arrived: came, before: s.before, placedAt: came + s.placed, firstAt: came + s.first, pause: s.pause}
			if got := r.lateness(); got != s.want {
				t.Errorf("%v, want %v", got, s.want)
			}
		})
	}
}
