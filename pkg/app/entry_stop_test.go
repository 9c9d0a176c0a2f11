package app

import (
	"testing"

	"quaydock/pkg/clock"
)

// Guards against a stopped entry that closes its port while most others are stopped too, or stays longer than its
// requests need.
func TestStoppingEntryAcceptsConnections(t *testing.T) {
	scenarios := []struct {
		name  string
		state acceptState
		want  bool
	}{
		{"enough others are ready", acceptState{minorityReady: false, running: 3, remaining: 4 * clock.Second}, false},
		{"few others are ready, and requests still run", acceptState{minorityReady: true, running: 1, remaining: 4 * clock.Second}, true},
		{"few others are ready, and nothing runs", acceptState{minorityReady: true, running: 0, remaining: 4 * clock.Second}, false},
		{"few others are ready, and hardly any time is left", acceptState{minorityReady: true, running: 1, remaining: 400}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := s.state.accepts(); got != s.want {
				t.Errorf("open: %t, want %t", got, s.want)
			}
		})
	}
}

// Guards against a restriction that starts only after the process was killed, where the grace is short.
func TestStopSchedule(t *testing.T) {
	const now = 100 * clock.Second
	scenarios := []struct {
		name          string
		grace         clock.Millis
		wantRestricts clock.Millis // after the signal
		wantEnds      clock.Millis
	}{
		{"long enough for the load balancer to notice", 8 * clock.Second, balancerNoticeTime, 8*clock.Second - killMargin},
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
