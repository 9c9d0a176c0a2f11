package clock

import (
	"sync"
	"time"
)

// Timer sends on C once, when its time is over. Unlike the channel timers of package time it is never run by a goroutine
// that receives from C: in a bubble of testing/synctest two goroutines that run such timers at once crash the race
// detector (Go 1.26).
type Timer struct {
	C     <-chan struct{} // never closed
	timer *time.Timer     // nil if the time was over from the start
}

// NewTimer returns a timer for a duration. C is ready at once if that isn't positive.
func NewTimer(wait Millis) *Timer {
	over := make(chan struct{}, 1)
	if wait <= 0 {
		over <- struct{}{}
		return &Timer{C: over}
	}
	return &Timer{C: over, timer: time.AfterFunc(wait.Duration(), func() { over <- struct{}{} })}
}

// Stop ends the timer. C may be ready nevertheless, if the time was over before.
func (t *Timer) Stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// Ticker sends on C at intervals, until it is stopped. A tick is dropped if the one before has not been received. Like a
// Timer it is never run by a goroutine that receives from C.
type Ticker struct {
	C        <-chan struct{} // never closed
	interval time.Duration
	ticks    chan<- struct{}

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// NewTicker returns a ticker for an interval, which must be positive. The first tick comes after one interval.
func NewTicker(interval Millis) *Ticker {
	ticks := make(chan struct{}, 1)
	t := &Ticker{C: ticks, interval: interval.Duration(), ticks: ticks}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.interval, t.tick)
	return t
}

// tick sends a tick and schedules the next one.
func (t *Ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	select {
	case t.ticks <- struct{}{}:
	default: // the last one has not been received
	}
	t.timer.Reset(t.interval)
}

// Stop ends the ticker. One tick may still be ready on C.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
