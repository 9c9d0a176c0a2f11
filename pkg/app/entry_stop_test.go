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
