package ingress

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// endedRetention is for how long it is remembered that the process of a target has ended whose row is still listed:
// longer than a row stays or is written late.
const endedRetention = 10 * clock.Second

// endedTargets are the incarnations of targets whose processes this entry has seen to have ended. As long as such an
// incarnation is listed, whatever answers in its place is another process, of a version that is not known yet.
type endedTargets struct {
	mu sync.Mutex
	at map[ids.TargetIncarnation]clock.Millis
}

func newEndedTargets() *endedTargets {
	return &endedTargets{at: make(map[ids.TargetIncarnation]clock.Millis)}
}

// add records that the process of an incarnation has ended, and reports whether that was not known.
func (e *endedTargets) add(now clock.Millis, incarnation ids.TargetIncarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for other, at := range e.at {
		if now-at > endedRetention {
			delete(e.at, other)
		}
	}
	_, known := e.at[incarnation]
	e.at[incarnation] = now
	return !known
}

// has reports whether the process of an incarnation has ended.
func (e *endedTargets) has(now clock.Millis, incarnation ids.TargetIncarnation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ended := e.at[incarnation]
	return ended && now-at <= endedRetention
}

// recordTargetEnd records that the process of a target has ended, and tells the planner of its service if that is new.
func (d *delivery) recordTargetEnd(t *routing.Target) {
	if d.ended.add(d.Clock.Now(), t.Incarnation()) {
		d.targetEnded(t)
	}
}
