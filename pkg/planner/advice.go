package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// backoffSpread is the interval over which the retries of callers are spread that were refused because all targets
// back off. Without it all callers that were refused within one second would retry in the same ms.
const backoffSpread = clock.Second

// AfterBackoff returns when a caller should retry if all targets back off: not before the first back-off ends, even
// if the caller cannot wait that long, plus a spread scaled by draw, a random number from 0 to 1.
func AfterBackoff(backoff clock.Millis, draw float64) clock.Millis {
	if backoff <= 0 {
		return 0
	}
	return backoff + clock.Millis(draw*float64(backoffSpread))
}

// Advise records the advice that a target gave to an entry; backoff is a duration, 0 for none. It ignores an unknown
// target. Draining applies to all entries. A back-off applies only to the entry that was asked, since a target may
// reject one entry and serve the others; these merely prefer other targets meanwhile.
func (p *Planner) Advise(now clock.Millis, entry string, at ids.TargetIncarnation, draining bool, backoff clock.Millis) {
	t := p.knownIncarnation(at)
	if t == nil {
		return
	}
	if draining && !t.draining {
		t.draining = true
		p.relist(now)
		p.reviewQueue(now)
	}
	if backoff <= 0 {
		return
	}
	if t.backoffs == nil {
		t.backoffs = make(map[string]clock.Millis)
	}
	t.backoffs[entry] = max(t.backoffs[entry], now+backoff)
	p.backoffUntil = max(p.backoffUntil, t.backoffs[entry])
}

const (
	// declineHold is for how long an entry is granted nothing at a target after it has returned a grant there, as its
	// target list differs from the owner's. Mostly one of them is about to read a row that the other one has; while the
	// store does not answer one of them, each hold costs a request the time to return a grant. Which list is right is
	// not known: other entries go on there.
	declineHold = 300 * clock.Millisecond
	// outdatedDeclines is how many entries must be held back at a target for the owner's own list to count as the
	// outdated one, so that not each entry has to return grants there.
	outdatedDeclines = 2
)

// recordDecline records that an entry has returned a grant because of its own target list. If several have, the target
// is ejected for a short time, or until it serves a request all the same.
func (t *target) recordDecline(now clock.Millis, entry string) {
	if t.declines == nil {
		t.declines = make(map[string]clock.Millis)
	}
	t.declines[entry] = now + declineHold
	declining := 0
	for _, until := range t.declines {
		if now < until {
			declining++
		}
	}
	if declining >= outdatedDeclines {
		t.health.EjectBriefly(now)
	}
}

// declinedBy reports whether an entry has returned a grant within declineHold.
func (t *target) declinedBy(now clock.Millis, entry string) bool {
	until, declined := t.declines[entry]
	if declined && now >= until {
		delete(t.declines, entry)
		return false
	}
	return declined
}

// admits reports whether a target accepts a job of an entry now as far as returned grants and back-offs are concerned.
// After a back-off the entry's jobs go there one at a time until one was served, so that a target that rejected all
// requests is not filled again at once.
func (t *target) admits(now clock.Millis, entry string) bool {
	if t.declinedBy(now, entry) {
		return false
	}
	until, requested := t.backoffs[entry]
	switch {
	case !requested:
		return true
	case now < until:
		return false
	}
	for id := range t.runs {
		if id.Entry == entry {
			return false
		}
	}
	return true
}

// backoffCost is the cost in ms of a target that has asked another entry to back off: it may reject this entry as
// well, but need not. Without it each entry would find out by itself which targets reject requests; if all entries
// observed every back-off, a target that rejects one entry would be lost to the others.
const backoffCost = 100.0

// backsOffAny reports whether a back-off of any entry is in force at a target.
func (t *target) backsOffAny(now clock.Millis) bool {
	for _, until := range t.backoffs {
		if now < until {
			return true
		}
	}
	return false
}

// servedAfterBackoff records that a target has served a job of an entry, whose back-off there is removed if it has
// ended.
func (t *target) servedAfterBackoff(now clock.Millis, entry string) {
	if now >= t.backoffs[entry] {
		delete(t.backoffs, entry)
	}
}

// backoffLeft returns the shortest remaining back-off among all targets that a job may get; 0 if one of them is not
// backing off from its entry, or if there is no such target.
func (p *Planner) backoffLeft(now clock.Millis, job *Job) clock.Millis {
	if now >= p.backoffUntil {
		return 0
	}
	shortest := clock.Millis(-1)
	for _, t := range p.eligible {
		if !job.MayGet(t.Target) {
			continue
		}
		left := t.backoffs[job.ID.Entry] - now
		if left <= 0 {
			return 0
		}
		if shortest < 0 || left < shortest {
			shortest = left
		}
	}
	return max(0, shortest)
}

// backoffRetention is how long back-offs are kept after the end of the last, so that only one job is sent at first (see
// admits).
const backoffRetention = 10 * clock.Second

// pruneBackoffs removes all back-offs once the last has ended for backoffRetention.
func (p *Planner) pruneBackoffs(now clock.Millis) {
	if p.backoffUntil == 0 || now < p.backoffUntil+backoffRetention {
		return
	}
	p.backoffUntil = 0
	for _, t := range p.targets {
		t.backoffs = nil
	}
}

// forgetAdvice removes the back-offs and the returned grants of an entry that is gone.
func (p *Planner) forgetAdvice(entry string) {
	for _, t := range p.targets {
		delete(t.backoffs, entry)
		delete(t.declines, entry)
	}
}
