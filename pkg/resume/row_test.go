package resume_test

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/resume"
)

// TestRow: breaks count only if they follow close upon one another and nothing came between them.
func TestRow(t *testing.T) {
	const most = 3
	cases := []struct {
		name  string
		held  clock.Millis // by each connection
		bytes int64        // that each brought
		made  bool
		goOn  int // how often, of 20
	}{
		{"at once, nothing came", 0, 0, true, most},
		{"soon, nothing came", 100, 0, true, most},
		{"soon, something came", 100, 1, true, 20},
		{"at once, something came", 0, 1, true, 20},
		{"long held, nothing came", 1000, 0, true, 20},
		{"not made, after a while", 1000, 0, false, most},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var now clock.Millis
			var taken int64
			row := resume.NewBreakStreak(most, now)
			goOn := 0
			for range 20 {
				now += c.held
				taken += c.bytes
				if _, again := row.Broke(now, taken, c.made); !again {
					break
				}
				goOn++
				now += 50 // between two connections
				row.Begin(now)
			}
			if goOn != c.goOn {
				t.Errorf("went on %d times, want %d", goOn, c.goOn)
			}
		})
	}
}
