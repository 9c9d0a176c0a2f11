package planner

import (
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// restSpread is over what time the callers come back that were refused since all targets rest from their
// entry. Without it all that were told in one second come within the same ms.
const restSpread = clock.Second

// AfterRest says when a caller is to come back to targets that all rest: not before the first of them works
// again, though it may not be able to wait for so long, and at a moment that a draw from 0 to 1 picks.
func AfterBackoff(rest clock.Millis, draw float64) clock.Millis {
	if rest <= 0 {
		return 0
	}
	return rest + clock.Millis(draw*float64(restSpread))
}

// Advise takes what a target has told an entry of itself. That it leaves holds for all entries. Rest is asked
// of the entry that was told alone, since a target may turn one away and serve the others, which only prefer other
// targets meanwhile.
func (p *Planner) Advise(now clock.Millis, entry string, at ids.TargetIncarnation, leaving bool, left clock.Millis) {
	t := p.knownLife(at)
	if t == nil {
		return
	}
	if leaving && !t.leaving {
		t.leaving = true
		p.relist(now)
		p.reviewAll(now)
	}
	if left <= 0 {
		return
	}
	if t.rests == nil {
		t.rests = make(map[string]clock.Millis)
	}
	t.rests[entry] = max(t.rests[entry], now+left)
	p.restsUntil = max(p.restsUntil, t.rests[entry])
}

// admits reports whether a target takes a job of an entry now, as far as it has asked for rest. Once that is over, the
// entry's jobs go there one at a time until one was served: a target that turned away all is not filled again at once.
func (t *target) admits(now clock.Millis, entry string) bool {
	until, asked := t.rests[entry]
	switch {
	case !asked:
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

// restCost is what it counts, in ms, that a target rests from other entries: it may turn this one away as well, but
// it may not. Without it each entry finds out for itself which targets turn requests away; if all heeded the rest, a target that
// turns one entry away would be lost to the others.
const restCost = 100.0

// restsFromOthers reports whether a target rests from some entry.
func (t *target) restsFromOthers(now clock.Millis) bool {
	for _, until := range t.rests {
		if now < until {
			return true
		}
	}
	return false
}

// servedAfterRest notes that a target has served a job of an entry.
func (t *target) servedAfterRest(now clock.Millis, entry string) {
	if now >= t.rests[entry] {
		delete(t.rests, entry)
	}
}

// restLeft is how long all targets that a job may get rest from its entry; 0 if one of them does not.
func (p *Planner) restLeft(now clock.Millis, job *Job) clock.Millis {
	if now >= p.restsUntil {
		return 0
	}
	least := clock.Millis(-1)
	for _, t := range p.list {
		if slices.Contains(job.Exclude, t.Incarnation()) {
			continue
		}
		left := t.rests[job.ID.Entry] - now
		if left <= 0 {
			return 0
		}
		if least < 0 || left < least {
			least = left
		}
	}
	return max(0, least)
}

// restKept is for how long a rest that is over is kept, so that the first job after it is the only one.
const restKept = 10 * clock.Second

// pruneRests forgets all rests once the last has long been over.
func (p *Planner) pruneRests(now clock.Millis) {
	if p.restsUntil == 0 || now < p.restsUntil+restKept {
		return
	}
	p.restsUntil = 0
	for _, t := range p.targets {
		t.rests = nil
	}
}

// forgetRests forgets what was asked of an entry that has gone.
func (p *Planner) forgetRests(entry string) {
	for _, t := range p.targets {
		delete(t.rests, entry)
	}
}
