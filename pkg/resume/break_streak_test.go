package resume_test

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/resume"
)

// TestBreakStreak checks that breaks count only if they follow close upon one another and no bytes came between
// them.
func TestBreakStreak(t *testing.T) {
	const maxBreaks = 3
	cases := []struct {
		name    string
		held    clock.Millis // by each connection
		bytes   int64        // that each connection delivered
		made    bool         // a connection was made, and the answer was resumed on it
		resumes int          // how often, of 20
	}{
		{"breaks at once, no bytes", 0, 0, true, maxBreaks},
		{"breaks soon, no bytes", 100, 0, true, maxBreaks},
		{"breaks soon, some bytes", 100, 1, true, 20},
		{"breaks at once, some bytes", 0, 1, true, 20},
		{"held long, no bytes", 1000, 0, true, 20},
		{"not made after a long try", 1000, 0, false, maxBreaks},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var now clock.Millis
			var taken int64
			streak := resume.NewBreakStreak(maxBreaks, now)
			resumes := 0
			for range 20 {
				now += c.held
				taken += c.bytes
				if _, again := streak.Broke(now, taken, c.made); !again {
					break
				}
				resumes++
				now += 50 // ms between two connections
				streak.Begin(now)
			}
			if resumes != c.resumes {
				t.Errorf("resumed %d times, want %d", resumes, c.resumes)
			}
		})
	}
}
