package planner

import (
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
)

const (
	// emptyRetry is when to come back if there is no target.
	emptyRetry = 500 * clock.Millisecond
	// decideWithin is the part of the objective within which a refusal is told:
	// later ones are of little use to the caller.
	decideWithin = 0.2
	// leastRetry is when to come back at the soonest.
	leastRetry = 300 * clock.Millisecond
	// returnPart is the part of the time left after which a caller comes back
	// at the latest.
	returnPart = 0.32
)

// servable reports whether there is a target that a job may get. One for which
// there is none does not wait: it would only count as ahead of others.
func (p *Planner) servable(job *Job) bool {
	for _, t := range p.list {
		if !slices.Contains(job.Exclude, t.Incarnation()) {
			return true
		}
	}
	return (job.Trial || p.trial.OpensAt > 0) && len(p.trial.targets) > 0
}

func (p *Planner) refuseEmpty(job *Job) {
	p.decide(Refuse{ID: job.ID, RetryAfter: emptyRetry, NoTargets: true})
}

// reviewAll refuses the jobs that have become hopeless, or for which no target is
// left.
func (p *Planner) reviewAll(now clock.Millis) {
	p.queue.drop(func(w *waiting) bool {
		if p.servable(&w.Job) {
			return false
		}
		p.refuseEmpty(&w.Job)
		return true
	})
	p.queue.sort(now)
	ahead := 0
	var refused []*waiting
	for _, w := range p.queue.jobs {
		if p.hopeless(now, w, ahead) {
			refused = append(refused, w)
			continue
		}
		ahead++
	}
	if len(refused) == 0 {
		return
	}
	p.queue.drop(func(w *waiting) bool { return slices.Contains(refused, w) })
	for _, w := range refused {
		p.refuse(now, w)
	}
}

// hopeless reports whether a job that waits behind so many others will hardly
// be in time, as long as telling it is of use to the caller. One that has waited
// longer stays as long as it will probably be served before so much of its time is gone
// that it has to be told: a wait in vain costs its caller the more the longer it lasts.
func (p *Planner) hopeless(now clock.Millis, w *waiting, ahead int) bool {
	wait := p.wait(now, w, ahead)
	latest := w.Arrived + clock.Millis(decideWithin*float64(w.Objective))
	if w.committed {
		end := w.Arrived + p.longestHold(w)
		return now > end || now+wait > end && !p.off.Off(ablation.EarlyRefusal)
	}
	if now+wait <= w.useful || p.off.Off(ablation.EarlyRefusal) {
		w.committed = now >= latest
		return false
	}
	w.committed = now > latest
	return !w.committed
}

// longestHold is for how long a job may wait at the most: a part of its time, and
// so that its first event still comes before its caller gives it up.
func (p *Planner) longestHold(w *waiting) clock.Millis {
	hold := clock.Millis(holdPart * float64(w.Deadline-w.Arrived))
	if w.Patience > 0 {
		hold = min(hold, clock.Millis(patiencePart*float64(w.Patience)))
	}
	return hold
}

func (p *Planner) refuse(now clock.Millis, w *waiting) {
	ahead := p.queue.ahead(now, w)
	wait := p.wait(now, w, ahead)
	retry := p.retryAfter(now, w, wait)
	if rest := p.restLeft(now, &w.Job); rest > 0 {
		// Lower tiers of other entries may be served meanwhile, in places that this job could not have got.
		p.decide(Refuse{ID: w.ID, RetryAfter: max(retry, AfterBackoff(rest, p.random.Float64())), Ahead: ahead, Wait: rest, BackedOff: true})
		return
	}
	p.decide(Refuse{ID: w.ID, RetryAfter: retry, Ahead: ahead, Wait: wait})
	p.floor.raise(now, w, p.floorHold(now))
}

// holdPart is the part of its time for which a job waits at the most.
const holdPart = 0.45

// patiencePart is the part of its caller's patience for which a job waits at the
// most; the rest is for its prompt.
const patiencePart = 0.8

// retryAfter says when to come back: after what waits has been served, spread
// so that not all come back at once.
func (p *Planner) retryAfter(now clock.Millis, w *waiting, wait clock.Millis) clock.Millis {
	most := clock.Millis(returnPart * float64(w.Deadline-now))
	soonest := min(most, max(leastRetry, wait, most/2))
	return soonest + clock.Millis(p.random.Float64()*float64(most-soonest))
}
