package advisory

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
)

// liftedLimitRetention is how long this entry remembers that a target no longer reports a limit, so that an older
// report from another entry does not restore it.
const liftedLimitRetention = clock.Minute

// observeLimit takes what an answer reports of the limit, and reports whether the limit in force has changed; the
// caller holds the lock. An answer without a limit lifts the one that was reported before; an unreadable limit changes
// nothing.
func (tr *Tracker) observeLimit(now clock.Millis, r *incarnationState, a *Advice, at reportTime) (changed bool) {
	before := tr.limitOf(r.incarnation)
	if a.Limit.Unreadable() || !a.Limit.Given && !before.Known {
		return false
	}
	if a.Limit.Given {
		r.limitSeen = r.limitSeen.latest(at)
	}
	return r.mergeLimit(now, before, ratelimit.NewReport(a.Limit, a.RequestedAt, now))
}

// limitOf returns the limit of an incarnation: its own report, or else those of former incarnations that may be its
// own. The caller holds the lock.
func (tr *Tracker) limitOf(incarnation ids.TargetIncarnation) ratelimit.Report {
	var inherited ratelimit.Report
	for _, r := range tr.states[incarnation.Target] {
		if r.incarnation.Same(incarnation) && r.limit.Known {
			return r.limit
		}
		if r.limitMayBeOf(incarnation) {
			inherited = inherited.Merge(r.limit)
		}
	}
	return inherited
}

// MergeOwnerLimit takes the limit of an incarnation that the owner of its service knows from other entries, and returns
// the status that is in force then. It does not call the function of OnChange, which would send the limit back to that
// owner. A limit that changes nothing leaves no trace.
func (tr *Tracker) MergeOwnerLimit(incarnation ids.TargetIncarnation, w ratelimit.Report) Status {
	s := tr.Status(incarnation)
	if tr == nil || !w.Known || s.Limit.Merge(w) == s.Limit || !w.IsLimited() && !s.Limit.IsLimited() {
		return s
	}
	now := tr.Clock.Now()
	tr.mu.Lock()
	r := tr.stateFor(incarnation)
	changed := r.mergeLimit(now, tr.limitOf(incarnation), w)
	r.listedAt = now
	s.Limit = r.limit
	tr.mu.Unlock()
	tr.logLimit(logrus.Fields{"heard_from": "home"}, s, changed, false)
	return s
}

// hasReportedLimit reports whether an incarnation has reported a limit, so that an answer without one means something.
// It stays true for a while after the first such answer: the owner may not have been able to tell that this report was
// the later one.
func (tr *Tracker) hasReportedLimit(incarnation ids.TargetIncarnation) bool {
	tr.mu.RLock()
	defer tr.mu.RUnlock()
	return tr.limitOf(incarnation).Known
}

// limitMayBeOf reports whether the limit that was taken for a former incarnation's may be that of an incarnation that
// this entry had not read of yet, by when it was reported. A limit that is applied in error ends with the first answer;
// one that is omitted in error lets as many requests as there are free slots go to the target.
func (r *incarnationState) limitMayBeOf(incarnation ids.TargetIncarnation) bool {
	return r.limit.IsLimited() && r.limitSeen.senderOf(incarnation.Start) != formerIncarnation
}
