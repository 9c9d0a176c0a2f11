package app

import (
	"testing"

	"quaydock/pkg/clock"
)

func TestStoppingEntryAcceptsConnections(t *testing.T) {
	scenarios := []struct {
		name string
		door door
		want bool
	}{
		{"enough others are ready", door{few: false, running: 3, left: 4 * clock.Second}, false},
		{"few others are ready, and requests still run", door{few: true, running: 1, left: 4 * clock.Second}, true},
		{"few others are ready, and nothing runs", door{few: true, running: 0, left: 4 * clock.Second}, false},
		{"few others are ready, and hardly any time is left", door{few: true, running: 1, left: 400}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := s.door.open(); got != s.want {
				t.Errorf("open: %t, want %t", got, s.want)
			}
		})
	}
}

func TestStopSchedule(t *testing.T) {
	const now = 100 * clock.Second
	scenarios := []struct {
		name          string
		grace         clock.Millis
		wantRestricts clock.Millis // after the signal
		wantEnds      clock.Millis
	}{
		{"long enough for the load balancer to notice", 8 * clock.Second, leaveTime, 8*clock.Second - endMargin},
		{"too short for the load balancer", 2400, 1000, 2000},
		{"hardly any grace time", 300, 0, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := stopAt(now, s.grace)
			if got.RestrictsFrom != now+s.wantRestricts || got.EndsAt != now+s.wantEnds {
				t.Errorf("restricts after %d ms, ends after %d ms; want %d, %d", got.RestrictsFrom-now, got.EndsAt-now, s.wantRestricts, s.wantEnds)
			}
		})
	}
}
