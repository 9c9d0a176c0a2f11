package planner

import (
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
)

const (
	// noTargetRetry is the RetryAfter of a refusal if there is no target.
	noTargetRetry = 500 * clock.Millisecond
	// refuseWithin is the fraction of the objective within which a job is refused: a later refusal is of little use
	// to the caller.
	refuseWithin = 0.2
	// minRetryAfter is the shortest RetryAfter, unless maxRetryFraction gives less.
	minRetryAfter = 300 * clock.Millisecond
	// maxRetryFraction is the fraction of the remaining time to the deadline after which the caller should retry at
	// the latest.
	maxRetryFraction = 0.32
)

// servable reports whether there is a target that a job may get, now or once the canary version opens to all. A job
// without one does not wait: it would only count as ahead of others.
func (p *Planner) servable(job *Job) bool {
	mayGet := func(t *target) bool { return job.MayGet(t.Target) }
	if slices.ContainsFunc(p.eligible, mayGet) {
		return true
	}
	fits := func(t *target) bool { return job.FitsVersion(t.Target) }
	return (job.Trial || p.trial.OpensAt > 0) && slices.ContainsFunc(p.trial.targets, fits)
}

// refuseNoTarget emits the refusal of a job that is not in the queue and has no target.
func (p *Planner) refuseNoTarget(job *Job) {
	p.addDecision(Refusal{ID: job.ID, RetryAfter: noTargetRetry, NoTargets: true})
}

// reviewQueue refuses the jobs that are unlikely to be in time, and those for which no target is left.
func (p *Planner) reviewQueue(now clock.Millis) {
	p.queue.removeIf(func(w *queuedJob) bool {
		if p.servable(&w.Job) {
			return false
		}
		p.refuseNoTarget(&w.Job)
		return true
	})
	p.shares.refresh(now, &p.queue)
	p.queue.sort(now)
	var kept, refused []*queuedJob
	for _, w := range p.queue.jobs {
		if p.shouldRefuse(now, w, countCompeting(kept, w)) {
			refused = append(refused, w)
			continue
		}
		kept = append(kept, w)
	}
	if len(refused) == 0 {
		return
	}
	p.queue.removeIf(func(w *queuedJob) bool { return slices.Contains(refused, w) })
	for _, w := range refused {
		p.refuse(now, w)
	}
}

// countCompeting returns how many of some jobs may get targets that another job may get.
func countCompeting(jobs []*queuedJob, w *queuedJob) int {
	if w.Version == nil {
		return len(jobs)
	}
	n := 0
	for _, other := range jobs {
		if other.competesWith(&w.Job) {
			n++
		}
	}
	return n
}

// shouldRefuse reports whether a job behind so many others will probably be late, as long as refusing it is still
// useful to the caller. A job that has waited longer than that is committed: it is kept while it will probably be
// served within its longest wait, since a refusal costs its caller more the later it comes. The call itself commits it.
func (p *Planner) shouldRefuse(now clock.Millis, w *queuedJob, ahead int) bool {
	wait := p.estimateWait(now, w, ahead)
	latest := w.Arrived + clock.Millis(refuseWithin*float64(w.Objective))
	if w.committed {
		limit := w.Arrived + p.maxWait(w)
		return now > limit || now+wait > limit && !p.off.Off(ablation.EarlyRefusal)
	}
	if now+wait <= w.latestStart || p.off.Off(ablation.EarlyRefusal) {
		w.committed = now >= latest
		return false
	}
	w.committed = now > latest
	return !w.committed
}

// maxWait returns how long a job may wait: a fraction of its time, and short enough for its first event to come
// within its caller's patience.
func (p *Planner) maxWait(w *queuedJob) clock.Millis {
	wait := clock.Millis(maxWaitFraction * float64(w.Deadline-w.Arrived))
	if w.Patience > 0 {
		wait = min(wait, clock.Millis(patienceFraction*float64(w.Patience)))
	}
	return wait
}

// refuse emits the refusal of a job that was removed from the queue, and holds back lower tiers.
func (p *Planner) refuse(now clock.Millis, w *queuedJob) {
	ahead := p.queue.countAhead(now, w)
	wait := p.estimateWait(now, w, ahead)
	retry := p.retryAfter(now, w, wait)
	if backoff := p.backoffLeft(now, &w.Job); backoff > 0 {
		// The tier floor is not raised: jobs of lower tiers from other entries may use slots that this job could not
		// have got.
		p.addDecision(Refusal{ID: w.ID, RetryAfter: max(retry, AfterBackoff(backoff, p.random.Float64())), Ahead: ahead, Wait: backoff, BackedOff: true})
		return
	}
	p.addDecision(Refusal{ID: w.ID, RetryAfter: retry, Ahead: ahead, Wait: wait, OverShare: p.shares.countRefusal(w), WhileFree: p.countFreeSlots(now)})
	p.floorFor(&w.Job).raise(now, w, p.holdAfterRefusal(now))
}

// maxWaitFraction is the longest wait of a committed job as a fraction of the time from its arrival to its deadline.
const maxWaitFraction = 0.45

// patienceFraction is the longest wait of a committed job as a fraction of its caller's patience; the remainder is for
// reading its prompt.
const patienceFraction = 0.8

// retryAfter returns how long the caller should wait before it retries: a random time from half of what
// maxRetryFraction allows up to all of it, so that not all callers retry at once, and not below the job's estimated
// wait if that is within it.
func (p *Planner) retryAfter(now clock.Millis, w *queuedJob, wait clock.Millis) clock.Millis {
	latest := clock.Millis(maxRetryFraction * float64(w.Deadline-now))
	earliest := min(latest, max(minRetryAfter, wait, latest/2))
	return earliest + clock.Millis(p.random.Float64()*float64(latest-earliest))
}
