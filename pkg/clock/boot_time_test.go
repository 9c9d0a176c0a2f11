package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspensionIsMeasured guards against state that looks younger than it is: the monotonic clock stops while
// a VM is suspended. The boot-time clock shows for how long.
func TestSuspensionIsMeasured(t *testing.T) {
	const base = 90 * time.Second // suspended before the process started
	scenarios := []struct {
		name       string
		suspended  time.Duration // how long the VM is suspended
		step       time.Duration // of the time of day, in addition
		monotonic  time.Duration // monotonic time from there to the reading
		want       time.Duration // suspension that the clock counts
		unreadable bool          // the boot-time clock can't be read
	}{
		{"not suspended", 0, 0, time.Millisecond, 0, false},
		{"suspended", 3 * time.Second, 0, time.Millisecond, 3 * time.Second, false},
		{"suspended for a short time", 50 * time.Millisecond, 0, time.Millisecond, 50 * time.Millisecond, false},
		{"time of day set ahead", 0, 5 * time.Second, time.Millisecond, 0, false},
		{"time of day set back", 0, -5 * time.Second, time.Millisecond, 0, false},
		{"suspended, and time of day set back by more", 2 * time.Second, -5 * time.Second, time.Millisecond, 2 * time.Second, false},
		{"suspended, and time of day set back by as much", 2 * time.Second, -2 * time.Second, checkInterval + time.Millisecond, 2 * time.Second, false},
		{"boot-time clock unreadable", 2 * time.Second, 0, time.Millisecond, 0, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			ahead := base
			b := newBootTime(func() (time.Duration, error) {
				if s.unreadable {
					return 0, context.Canceled
				}
				return ahead, nil
			})
			monotonic := 500 * time.Millisecond
			if got := b.since(monotonic, monotonic); got != 0 {
				t.Errorf("suspended for %v before the first suspension", got)
			}
			ahead += s.suspended
			monotonic += s.monotonic
			if got := b.since(monotonic+s.suspended+s.step, monotonic); got != s.want {
				t.Errorf("suspended for %v, want %v", got, s.want)
			}
			if got := b.since(monotonic+s.suspended+s.step, monotonic); got != s.want {
				t.Errorf("suspended for %v at the next reading, want %v", got, s.want)
			}
		})
	}
}

// TestClockAgreesWithTimeOfDay guards against a clock that is off from the time of day, as one that counts suspensions
// from before its creation.
func TestClockAgreesWithTimeOfDay(t *testing.T) {
	if _, err := readBootTime(); err != nil {
		t.Fatal(err)
	}
	c := New()
	if ahead := c.Now() - Millis(time.Now().UnixMilli()); ahead < -1000 || ahead > 1000 {
		t.Errorf("the clock is %d ms ahead of the time of day", ahead)
	}
}

// TestPauseUntilEndsSoonAfterSuspension guards against a wait that lasts for its whole length of monotonic time
// although the VM was suspended beyond its end.
func TestPauseUntilEndsSoonAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := NewSuspendable()
		began := time.Now()
		time.AfterFunc(time.Second, func() { s.Add(20 * Second) })
		c.PauseUntil(context.Background(), c.Now()+10*Second)
		if waited := time.Since(began); waited > time.Second+pollInterval.Duration() {
			t.Errorf("waited for %v of monotonic time", waited)
		}
	})
}

// BenchmarkNow measures Now, most of whose time is the reading of the monotonic clock.
func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}

// BenchmarkBootTimeCheck measures what a check of the boot-time clock adds, about once a second.
func BenchmarkBootTimeCheck(b *testing.B) {
	boot := newBootTime(readBootTime)
	for b.Loop() {
		boot.check()
	}
}
