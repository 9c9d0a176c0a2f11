package advisory

import (
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/routing"
)

// maxBackoffs is how many back-offs of one incarnation are kept apart by which incarnation may have asked for them.
const maxBackoffs = 4

// incarnationState is the advice of one incarnation of a target. Until this entry reads of the next incarnation, it
// includes the advice of that one. The tracker's lock guards it.
type incarnationState struct {
	incarnation ids.TargetIncarnation
	leaving     bool
	leavingSeen reportTime // when leaving was last reported
	// backoffs are ordered from the longest. A shorter one that was asked for later may be the next incarnation's, to
	// which the longer one does not apply.
	backoffs []backoff
	// limit is how many requests per second it takes, limitAt when that last changed, and limitSeen when it last
	// reported a limit.
	limit     ratelimit.Report
	limitAt   clock.Millis
	limitSeen reportTime
	listedAt  clock.Millis // when it was last listed while leaving or limited, or last gave advice
	// next is the incarnation that is listed in its place, and nextAt since when.
	next   ids.TargetIncarnation
	nextAt clock.Millis
}

// backoff is a time for which a target wants no requests from this entry.
type backoff struct {
	until clock.Millis
	seen  reportTime // when it was asked for; of several that were merged, the latest
}

// setLeaving records that the target is leaving, and reports whether that is new. The tracker's lock is held.
func (r *incarnationState) setLeaving(at reportTime) bool {
	isNew := !r.leaving
	r.leaving, r.leavingSeen = true, r.leavingSeen.latest(at)
	return isNew
}

// mergeLimit merges a report of the limit with the one in force before, keeps the result, and reports whether the limit
// changes. The tracker's lock is held.
func (r *incarnationState) mergeLimit(now clock.Millis, before, w ratelimit.Report) bool {
	r.limit = before.Merge(w)
	changed := r.limit.Differs(before)
	if changed {
		r.limitAt = now
	}
	return changed
}

// addBackoff records that the target wants no requests for a time. It drops back-offs that have ended, or end no later
// than this one. If maxBackoffs longer ones are kept already, the shortest of them stands for it. The tracker's lock is
// held.
func (r *incarnationState) addBackoff(now, long clock.Millis, at reportTime) {
	if long <= 0 {
		return
	}
	until := now + long
	r.backoffs = slices.DeleteFunc(r.backoffs, func(other backoff) bool { return other.until <= until || other.until <= now })
	if len(r.backoffs) < maxBackoffs {
		r.backoffs = append(r.backoffs, backoff{until, at})
		return
	}
	last := &r.backoffs[maxBackoffs-1] // it is longer than the new one
	last.seen = last.seen.latest(at)
}

// backoffLeft returns the remaining time of the longest back-off, 0 if there is none.
func (r *incarnationState) backoffLeft(now clock.Millis) clock.Millis {
	if len(r.backoffs) == 0 {
		return 0
	}
	return max(0, r.backoffs[0].until-now)
}

// status returns the advice for the incarnation itself.
func (r *incarnationState) status(now clock.Millis) Status {
	return Status{Incarnation: r.incarnation, Leaving: r.leaving, Backoff: r.backoffLeft(now), Limit: r.limit}
}

// adviceFor returns the advice for an incarnation. An entry that had not read of a target's new start took its reports
// for the former incarnation's. A report that may be either's counts for a short time, as a back-off. Without this, a
// new incarnation that is leaving or backing off would get requests as soon as its row is read; if it counted for
// longer, a healthy one would be kept without requests.
func (r *incarnationState) adviceFor(incarnation ids.TargetIncarnation, now clock.Millis) (leaving bool, left clock.Millis) {
	if r.incarnation.Same(incarnation) {
		return r.leaving, r.backoffLeft(now)
	}
	unclear := r.unclearLeft(incarnation, now)
	if r.leaving {
		switch r.leavingSeen.senderOf(incarnation.Start) {
		case thisIncarnation:
			leaving = true
		case unclearSender:
			left = unclear
		}
	}
	for _, x := range r.backoffs {
		switch x.seen.senderOf(incarnation.Start) {
		case thisIncarnation:
			left = max(left, x.until-now)
		case unclearSender:
			left = max(left, min(unclear, x.until-now))
		}
	}
	return leaving, left
}

// unclearLeft returns for how much longer a report counts that may be an incarnation's or its former one's: for
// unclearHold after the incarnation was first seen on the target list, or all of it if it is not the one seen there.
func (r *incarnationState) unclearLeft(incarnation ids.TargetIncarnation, now clock.Millis) clock.Millis {
	if r.next != incarnation {
		return unclearHold
	}
	return max(0, r.nextAt+unclearHold-now)
}

// setListed takes what is listed under the target's id, nil if nothing is: a new incarnation as next, and the present
// time as listedAt if the report that it leaves, or the limit, applies to what is listed. The tracker's lock is held.
func (r *incarnationState) setListed(now clock.Millis, listed *routing.Target) {
	if listed == nil {
		return
	}
	incarnation := listed.Incarnation()
	if !r.incarnation.Same(incarnation) && r.next != incarnation {
		r.next, r.nextAt = incarnation, now
	}
	leaving, _ := r.adviceFor(incarnation, now)
	if leaving || r.incarnation.Same(incarnation) && r.limit.IsLimited() {
		r.listedAt = now
	}
}

// expired reports whether no advice is in force any more: no back-off, no limit that was lifted within
// liftedLimitRetention, and neither leaving nor a limit that was listed within unlistedRetention.
func (r *incarnationState) expired(now clock.Millis) bool {
	inForce := r.leaving || r.limit.IsLimited()
	fresh := r.limit.Known && now-r.limitAt <= liftedLimitRetention
	return r.backoffLeft(now) <= 0 && !fresh && (!inForce || now-r.listedAt > unlistedRetention)
}
