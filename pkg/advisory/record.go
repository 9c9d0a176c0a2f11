package advisory

import (
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/routing"
)

// mostRests is how many rests of one life are told apart by who may have asked for them.
const mostRests = 4

// record is the word of one life of a target, and, as long as its next one was not read, of that.
type record struct {
	life     ids.TargetIncarnation
	leaving  bool
	leftWith word // when leaving was last heard
	// rests are the times of rest, the longest first. A shorter one that was asked for later may be the next life's, which
	// the longer one says nothing of.
	rests []rest
	// limit is how many requests a second it takes, since when that stands, and when it last named a limit.
	limit       ratelimit.Report
	limitAt     clock.Millis
	limitedWith word
	listedAt    clock.Millis // when it was last listed, or heard
	// next is the life that is listed in its place, and nextAt since when.
	next   ids.TargetIncarnation
	nextAt clock.Millis
}

// rest is a time in which a target wants no request from this entry.
type rest struct {
	until clock.Millis
	heard word
}

// leave notes that the target leaves, and reports whether that is new.
func (r *record) leave(heard word) bool {
	isNew := !r.leaving
	r.leaving, r.leftWith = true, r.leftWith.later(heard)
	return isNew
}

// takeLimit takes a word on the limit, which was another one before, and reports whether it changes that.
func (r *record) takeLimit(now clock.Millis, before, w ratelimit.Report) bool {
	r.limit = before.Merge(w)
	changed := r.limit.Differs(before)
	if changed {
		r.limitAt = now
	}
	return changed
}

// rest notes that the target wants no request for a while.
func (r *record) rest(now, long clock.Millis, heard word) {
	if long <= 0 {
		return
	}
	until := now + long
	r.rests = slices.DeleteFunc(r.rests, func(other rest) bool { return other.until <= until || other.until <= now })
	if len(r.rests) < mostRests {
		r.rests = append(r.rests, rest{until, heard})
		return
	}
	last := &r.rests[mostRests-1] // a longer one
	last.heard = last.heard.later(heard)
}

// restLeft is what is left of the longest rest.
func (r *record) restLeft(now clock.Millis) clock.Millis {
	if len(r.rests) == 0 {
		return 0
	}
	return max(0, r.rests[0].until-now)
}

func (r *record) standing(now clock.Millis) Status {
	return Status{Incarnation: r.life, Leaving: r.leaving, Backoff: r.restLeft(now), Limit: r.limit}
}

// of returns what the record says of a life. An entry that had not read of a target's new start took its word for the
// former life's. What may be either's is heeded for a short time, as a rest: without this a new life that leaves or rests
// gets requests as soon as its row is read, and for longer it would keep a sound one from its work.
func (r *record) of(life ids.TargetIncarnation, now clock.Millis) (leaving bool, left clock.Millis) {
	if r.life.Same(life) {
		return r.leaving, r.restLeft(now)
	}
	doubt := r.doubtLeft(life, now)
	if r.leaving {
		switch r.leftWith.of(life.Start) {
		case own:
			leaving = true
		case doubtful:
			left = doubt
		}
	}
	for _, x := range r.rests {
		switch x.heard.of(life.Start) {
		case own:
			left = max(left, x.until-now)
		case doubtful:
			left = max(left, min(doubt, x.until-now))
		}
	}
	return leaving, left
}

// doubtLeft is for how long the word is heeded that may be a life's or its former one's.
func (r *record) doubtLeft(life ids.TargetIncarnation, now clock.Millis) clock.Millis {
	if r.next != life {
		return doubtFor
	}
	return max(0, r.nextAt+doubtFor-now)
}

// follow notes what is listed under the target's id, nil if nothing is.
func (r *record) follow(now clock.Millis, listed *routing.Target) {
	if listed == nil {
		return
	}
	life := listed.Incarnation()
	if !r.life.Same(life) && r.next != life {
		r.next, r.nextAt = life, now
	}
	leaving, _ := r.of(life, now)
	if leaving || r.life.Same(life) && r.limit.IsLimited() {
		r.listedAt = now
	}
}

// over reports whether the record says nothing any more.
func (r *record) over(now clock.Millis) bool {
	stands := r.leaving || r.limit.IsLimited()
	fresh := r.limit.Known && now-r.limitAt <= keepLifted
	return r.restLeft(now) <= 0 && !fresh && (!stands || now-r.listedAt > keepUnlisted)
}
