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
func AfterRest(rest clock.Millis, draw float64) clock.Millis {
	if rest <= 0 {
		return 0
	}
	return rest + clock.Millis(draw*float64(restSpread))
}

// rest is the rest that a target has asked one entry for. Once it is over, the entry's jobs go there
// one at a time until one was served: one target that turned away all is not filled again at once.
type rest struct {
	until clock.Millis
	// trial says that the target has served none of the entry's jobs since.
	trial bool
}

// Advise takes what a target has told an entry of itself. That it leaves holds for all entries. Rest is asked
// of the entry that was told alone, since a target may turn one away and serve the others, which only prefer other
// targets meanwhile.
func (p *Planner) Advise(now clock.Millis, entry string, at ids.Life, leaving bool, left clock.Millis) {
	t := p.knownLife(at)
	if t == nil {
		return
	}
	if leaving && !t.leaving {
		t.leaving = true
		p.relist()
		p.reviewAll(now)
	}
	if left <= 0 {
		return
	}
	if t.rests == nil {
		t.rests = make(map[string]*rest)
	}
	r := t.rests[entry]
	if r == nil {
		r = &rest{}
		t.rests[entry] = r
	}
	r.until = max(r.until, now+left)
	r.trial = true
	p.restsUntil = max(p.restsUntil, r.until)
}

// knownLife returns a life that may be the one that an entry names, or nil.
func (p *Planner) knownLife(at ids.Life) *target {
	if t := p.targets[at]; t != nil {
		return t
	}
	if of := p.lives[at.Target]; of != nil && of.listed != nil && of.listed.Life().Same(at) {
		return of.listed
	}
	return nil
}

// takes reports whether a target takes a job of an entry now, as far as it has asked for rest.
func (t *target) takes(now clock.Millis, entry string) bool {
	r := t.rests[entry]
	switch {
	case r == nil:
		return true
	case now < r.until:
		return false
	case !r.trial:
		return true
	}
	for id := range t.runs {
		if id.Entry == entry {
			return false
		}
	}
	return true
}

// restCost is what it counts, in ms, that a target rests from other entries: it may turn this one away as well, but
// it may not. With it three entries before 12 targets, of which half turn 3 in 10 away, are turned away 18 times in
// 8 s instead of 51, and 8 before 60 targets are served .996 instead of .985; where targets turn one entry of three
// away, at nine tenths of what all can do, the others are served .999 as without it, and .866 if they heed that rest
// (means of two and three series in virtual time). 400 gains nothing more.
const restCost = 100.0

// restsFromOthers reports whether a target rests from some entry.
func (t *target) restsFromOthers(now clock.Millis) bool {
	for _, r := range t.rests {
		if now < r.until {
			return true
		}
	}
	return false
}

// servedAfterRest notes that a target has served a job of an entry.
func (t *target) servedAfterRest(now clock.Millis, entry string) {
	if r := t.rests[entry]; r != nil && now >= r.until {
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
		if slices.Contains(job.Exclude, t.Life()) {
			continue
		}
		r := t.rests[job.ID.Entry]
		if r == nil || now >= r.until {
			return 0
		}
		if left := r.until - now; least < 0 || left < least {
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
