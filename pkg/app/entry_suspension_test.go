package app

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
)

// TestStoppingEntryCountsItsSuspension guards against an entry that is suspended while it drains itself and then waits
// too long: its timers had not run meanwhile, so the platform killed it and its requests were broken off without an
// answer. The end of the drain is taken from the clock that counts suspensions.
func TestStoppingEntryCountsItsSuspension(t *testing.T) {
	for _, at := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 7 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			b := newDrainBed(t, drainGrace)
			b.setWorkTime("/wait/a", time.Minute)
			reply := b.call("/wait/a", 19*time.Second, nil)
			time.Sleep(100 * time.Millisecond)
			b.stop()
			const suspended = 4 * clock.Second
			time.AfterFunc(at, func() { b.suspension.Add(suspended) })
			began := time.Now()
			<-b.drained
			limit := max(at+200*time.Millisecond, drainGrace-suspended.Duration())
			if took := time.Since(began); took > limit {
				t.Errorf("suspended %v after the signal, it ran for %v of steady time, want at most %v", at, took, limit)
			}
			if got := b.await(reply); got.status != http.StatusBadGateway {
				t.Errorf("suspended %v after the signal, its last request got %+v, want 502", at, got)
			}
		})
	}
}
