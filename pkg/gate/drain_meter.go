package gate

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	// drainWindow is the shortest time over which a rate is measured.
	drainWindow = clock.Second
	// drainGain is the weight of the newest window in the moving average: an
	// engine that slows down is noticed within about two windows.
	drainGain = 0.5
)

// drainMeter measures the work that a target finishes per second while it is
// busy. Idle time is left out, since it says nothing about the target's speed.
type drainMeter struct {
	perSecond    float64 // moving average in tokens per second; 0 before the first window has ended
	windowStart  clock.Millis
	busy         bool       // a request runs
	finishedWork ids.Tokens // since windowStart
}

// started records that a request was dispatched. If none ran before, a new window begins.
func (d *drainMeter) started(now clock.Millis) {
	if d.busy {
		return
	}
	d.busy = true
	d.windowStart = now
	d.finishedWork = 0
}

// finished records that a request with the given work has ended; idle means that no other one runs. A window ends with
// the first request that ends drainWindow or more after its start.
func (d *drainMeter) finished(now clock.Millis, work ids.Tokens, idle bool) {
	d.finishedWork += work
	elapsed := now - d.windowStart
	if elapsed >= drainWindow {
		rate := float64(d.finishedWork) * float64(clock.Second) / float64(elapsed)
		d.perSecond += drainGain * (rate - d.perSecond)
		d.windowStart = now
		d.finishedWork = 0
	}
	if idle {
		d.busy = false
	}
}
