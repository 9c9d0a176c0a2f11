package clock_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
)

// isReady receives from a channel if it is ready.
func isReady(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestTimer(t *testing.T) {
	tests := []struct {
		name string
		wait clock.Millis
		want time.Duration
	}{
		{"positive", 30, 30 * time.Millisecond},
		{"zero", 0, 0},
		{"negative", -5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				timer := clock.NewTimer(test.wait)
				<-timer.C
				if got := time.Since(began); got != test.want {
					t.Errorf("over after %v, want %v", got, test.want)
				}
				time.Sleep(time.Second)
				if isReady(timer.C) {
					t.Error("over twice")
				}
			})
		})
	}
}

func TestTimerStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := clock.NewTimer(30)
		timer.Stop()
		time.Sleep(time.Second)
		if isReady(timer.C) {
			t.Error("over after it was stopped")
		}
	})
}

func TestTicker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ticker := clock.NewTicker(10)
		for i := range 3 {
			<-ticker.C
			if got, want := time.Since(began), time.Duration(i+1)*10*time.Millisecond; got != want {
				t.Errorf("tick %d after %v, want %v", i, got, want)
			}
		}
		time.Sleep(55 * time.Millisecond)
		<-ticker.C
		if isReady(ticker.C) {
			t.Error("a tick that was not received in time was kept beside another")
		}
		ticker.Stop()
		time.Sleep(time.Second)
		if isReady(ticker.C) {
			t.Error("a tick after the ticker was stopped")
		}
	})
}

// TestTimersDueAtOneMomentDontCrash guards against timers that the race detector can't bear in virtual time.
func TestTimersDueAtOneMomentDontCrash(t *testing.T) {
	const goroutines, rounds = 64, 500
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		for range goroutines {
			group.Go(func() {
				ticker := clock.NewTicker(1)
				defer ticker.Stop()
				for range rounds {
					time.Sleep(3 * time.Millisecond)
					now, later := clock.NewTimer(0), clock.NewTimer(1)
					select {
					case <-ticker.C:
					case <-later.C:
					}
					<-now.C
					<-later.C
				}
			})
		}
		group.Wait()
	})
}
