package app

import (
	"testing"

	"quaydock/pkg/clock"
)

func TestTheDoorOfAnEntryThatIsStopped(t *testing.T) {
	scenarios := []struct {
		name string
		door door
		want bool
	}{
		{"enough others are ready", door{few: false, running: 3, left: 4 * clock.Second}, false},
		{"few are, and it has to stay", door{few: true, running: 1, left: 4 * clock.Second}, true},
		{"few are, and nothing keeps it", door{few: true, running: 0, left: 4 * clock.Second}, false},
		{"few are, and it has to end", door{few: true, running: 1, left: 400}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := s.door.open(); got != s.want {
				t.Errorf("open: %t, want %t", got, s.want)
			}
		})
	}
}

func TestTheCourseOfAStop(t *testing.T) {
	const now = 100 * clock.Second
	scenarios := []struct {
		name        string
		grace       clock.Millis
		wantNarrows clock.Millis // after the signal
		wantEnds    clock.Millis
	}{
		{"the balancer has time to notice", 8 * clock.Second, leaveTime, 8*clock.Second - endMargin},
		{"it may not have", 2400, 1000, 2000},
		{"hardly any grace", 300, 0, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := stopAt(now, s.grace)
			if got.RestrictsFrom != now+s.wantNarrows || got.EndsAt != now+s.wantEnds {
				t.Errorf("less is taken after %d ms, ends after %d ms; want %d, %d", got.RestrictsFrom-now, got.EndsAt-now, s.wantNarrows, s.wantEnds)
			}
		})
	}
}
