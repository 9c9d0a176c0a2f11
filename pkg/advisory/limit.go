package advisory

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
)

// keepLifted is for how long it is kept that a target names no limit any more, so that an older word of another entry
// does not bring it back.
const keepLifted = clock.Minute

// hearLimit takes what an answer to a life says of a limit, and reports whether another one stands now; the lock is held.
func (b *Tracker) hearLimit(now clock.Millis, r *record, a *Advice, heard word) (changed bool) {
	before := b.limitOf(r.life)
	if a.Limit.Unreadable() || !a.Limit.Given && !before.Known {
		return false
	}
	if a.Limit.Given {
		r.limitedWith = r.limitedWith.later(heard)
	}
	return r.takeLimit(now, before, ratelimit.NewReport(a.Limit, a.RequestedAt, now))
}

// limitOf returns the limit of a life; its own word goes before what a former life may have said. The lock is held.
func (b *Tracker) limitOf(life ids.TargetIncarnation) ratelimit.Report {
	var inherited ratelimit.Report
	for _, r := range b.records[life.Target] {
		if r.life.Same(life) && r.limit.Known {
			return r.limit
		}
		if r.maybeSaidBy(life) {
			inherited = inherited.Merge(r.limit)
		}
	}
	return inherited
}

// HearHome takes what the home of a service knows of the limit of a life, by what other entries have heard, and returns what
// stands then.
func (b *Tracker) ObserveOwner(life ids.TargetIncarnation, w ratelimit.Report) Status {
	s := b.Status(life)
	if b == nil || !w.Known || s.Limit.Merge(w) == s.Limit || !w.IsLimited() && !s.Limit.IsLimited() {
		return s
	}
	now := b.Clock.Now()
	b.mu.Lock()
	r := b.record(life)
	changed := r.takeLimit(now, b.limitOf(life), w)
	r.listedAt = now
	s.Limit = r.limit
	b.mu.Unlock()
	b.noteLimit(logrus.Fields{"heard_from": "home"}, s, changed, false)
	return s
}

// hasNamedLimit reports whether a life has named a limit, so that an answer without one says something. It goes on to do so for a
// while after the first: the home may not have been able to tell that this was the later word.
func (b *Tracker) hasNamedLimit(life ids.TargetIncarnation) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.limitOf(life).Known
}

// maybeSaidBy reports whether the limit of a former life may be that of a life that was not read yet. One that does not hold
// ends with the first answer, while without one as many requests as there are places go to a target that has named it.
func (r *record) maybeSaidBy(life ids.TargetIncarnation) bool {
	return r.limit.IsLimited() && r.limitedWith.of(life.Start) != former
}
