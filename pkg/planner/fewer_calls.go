package planner

import "quaydock/pkg/clock"

// fewerCallsTrial gives one target half as many calls as it has slots while all targets are full: nothing else would show
// then that calls end sooner beside fewer others.
type fewerCallsTrial struct {
	target  *target // nil if no trial is under way
	started clock.Millis
	ended   clock.Millis // of the trial before
}

const (
	// fewerCallsInterval is the time between two trials. Each takes half of the slots of one target.
	fewerCallsInterval = 10 * clock.Second
	// fewerCallsTime is the longest time of a trial.
	fewerCallsTime = 2 * clock.Second
	// fewerCallsObservations is the number of calls that a trial is to show.
	fewerCallsObservations = 2 * minObservations
)

// halfOf returns half of a target's slots, 1 at least.
func halfOf(capacity int) int { return max(1, capacity/2) }

// tryFewerCalls begins a trial if one is due, and ends one that has shown enough.
func (p *Planner) tryFewerCalls(now clock.Millis) {
	f := &p.fewerCalls
	if f.target == nil {
		if p.fewerCallsDue(now) {
			p.beginFewerCalls(now)
		}
		return
	}
	capacity := f.target.capacity()
	half := &p.callLimit[fillLevel(halfOf(capacity), capacity)].collecting
	if now-f.started >= fewerCallsTime || half.at > f.started && half.n >= fewerCallsObservations {
		*f = fewerCallsTrial{ended: now}
	}
}

// fewerCallsDue reports whether all targets of a service of calls have been full for a while, and none was tried with fewer
// calls lately.
func (p *Planner) fewerCallsDue(now clock.Millis) bool {
	full := p.fullSince > 0 && now-p.fullSince >= fullWindow
	return full && now-p.fewerCalls.ended >= fewerCallsInterval && p.limitsCalls() && len(p.eligible) > 0
}

// beginFewerCalls begins a trial at a random target, unless that gets fewer calls already.
func (p *Planner) beginFewerCalls(now clock.Millis) {
	t := p.eligible[p.random.IntN(len(p.eligible))]
	if t.capacity() > 1 && p.slotsForCalls(now, t) == t.capacity() {
		p.fewerCalls = fewerCallsTrial{target: t, started: now}
	}
}
