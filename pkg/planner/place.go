package planner

import (
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	// completionWeight is the weight of the time to the end of the answer relative to the time to its first event.
	completionWeight = 0.1
	// prefillWeight is the weight of the delay that reading a prompt adds to each answer streaming on the same
	// target.
	prefillWeight = 0.3
	// crossDomainCost is the cost in ms of sending a request to another failure domain: latency and price of the
	// traffic.
	crossDomainCost = 100.0
	// lateCost is the cost in ms of making one running answer late.
	lateCost = 400.0
	// lengthMargin multiplies the estimated remaining time of an answer when it is compared with the deadline.
	lengthMargin = 2.0
	// gapFraction is the fraction of the longest allowed gap that is planned for: several prompts in sequence delay
	// a stream a little longer than one alone.
	gapFraction = 0.7
)

// place grants jobs in queue order while targets have free slots. A job that would be late on those targets, but
// not on others, keeps waiting and leaves the slots to the jobs behind it.
func (p *Planner) place(now clock.Millis) {
	if len(p.queue.jobs) == 0 {
		p.fullSince = 0
		return
	}
	if len(p.queue.jobs) > 1 || p.floor.holdsLate(now) {
		p.shares.refresh(now, &p.queue) // the order and the hold of late jobs depend on it
	}
	p.placeOnCanary(now)
	c := p.findCandidates(now)
	if len(c.available) == 0 {
		p.markFull(now)
		return
	}
	p.queue.sort(now)
	remaining := p.queue.jobs[:0]
	for _, w := range p.queue.jobs {
		var t *target
		if len(c.available) > 0 && !p.mustWait(now, w) && !p.trial.canaryOnly(w) {
			t = p.cheapest(now, &c, w)
		}
		if t == nil {
			remaining = append(remaining, w)
			continue
		}
		p.grant(now, w, t)
		p.countGrant(now, w)
		p.trial.addCredit(w.Route)
		c.available = slices.DeleteFunc(c.available, func(t *target) bool { return !p.hasFreeSlot(now, t, c.avoidFailing) })
	}
	clear(p.queue.jobs[len(remaining):])
	p.queue.jobs = remaining
	if len(c.available) > 0 {
		p.fullSince = 0
	} else {
		p.markFull(now)
	}
}

// grant assigns a job to a target and takes the tokens that hasFreeSlot found in its buckets. The caller removes the
// job from the queue.
func (p *Planner) grant(now clock.Millis, w *queuedJob, t *target) *run {
	r := t.addRun(now, w.Job)
	r.counted = t.limitBucket != nil
	t.coldBucket.take()
	t.limitBucket.take()
	p.runs[w.ID] = r
	p.shares.start(now, &w.Job)
	p.addDecision(r.grant())
	return r
}

// hasFreeSlot reports whether a target can take a job now, also by its rate limits.
func (p *Planner) hasFreeSlot(now clock.Millis, t *target, avoidFailing bool) bool {
	return t.hasFreeSlot(now, avoidFailing) && p.withinColdRate(now, t) && p.withinLimit(now, t)
}

// mustWait reports whether a job must wait, though targets have free slots, because one that goes before it was refused
// recently.
func (p *Planner) mustWait(now clock.Millis, w *queuedJob) bool {
	return p.heldBy(now, &p.floor, w)
}

// markFull records that no target can take a job, unless that is recorded already.
func (p *Planner) markFull(now clock.Millis) {
	if p.fullSince == 0 {
		p.fullSince = now
	}
}

// candidates is the state of the targets in one round of placement.
type candidates struct {
	available    []*target // targets that can take a job now
	avoidFailing bool      // enough targets are healthy to do without the failing ones
	// lowestFactor is that of the fastest target that is not ejected, busy or not; valid if known is set.
	lowestFactor float64
	known        bool // at least one target is not ejected
}

// findCandidates examines all targets. Those ejected are left out while enough others are healthy.
func (p *Planner) findCandidates(now clock.Millis) candidates {
	c := candidates{avoidFailing: p.halfHealthy(now), lowestFactor: factorMax}
	for _, t := range p.eligible {
		ejected := t.health.Ejected(now)
		if !ejected {
			c.lowestFactor = min(c.lowestFactor, t.factor.get())
			c.known = true
		}
		if p.hasFreeSlot(now, t, c.avoidFailing) && (!c.avoidFailing || !ejected) {
			c.available = append(c.available, t)
		}
	}
	return c
}

// cheapest returns the candidate target that serves a job at the lowest cost, or nil. If the job would be in time on
// the fastest target when that is idle, only targets count on which it is in time and stalls no streams.
func (p *Planner) cheapest(now clock.Millis, c *candidates, w *queuedJob) *target {
	lowestFactor, known := p.lowestFactor(now, c, &w.Job)
	inTimeOnly := known && !p.off.Off(ablation.InTime) && p.wouldBeInTime(now, w, lowestFactor, 0, 1)
	var best *target
	var minCost float64
	for _, t := range c.available {
		if !t.mayGet(now, &w.Job) || p.heldForVersion(now, w, t) || !t.admits(now, w.ID.Entry) || inTimeOnly && (!p.wouldBeInTime(now, w, t.factor.get(), t.pendingPrompt, len(t.runs)+1) || p.stallsStreams(t, w)) {
			continue
		}
		// Random jitter spreads jobs over targets of equal cost.
		cost := p.cost(now, t, &w.Job) * (1 + jitter*p.random.Float64())
		if best == nil || cost < minCost {
			best, minCost = t, cost
		}
	}
	return best
}

// lowestFactor returns that of the fastest target of a job's version that is not ejected, and whether there is one.
func (p *Planner) lowestFactor(now clock.Millis, c *candidates, job *Job) (factor float64, known bool) {
	if job.Version == nil {
		return c.lowestFactor, c.known
	}
	factor = factorMax
	for _, t := range p.eligible {
		if job.FitsVersion(t.Target) && !t.health.Ejected(now) {
			factor = min(factor, t.factor.get())
			known = true
		}
	}
	return factor, known
}

// jitter is the largest fraction by which a cost is raised at random.
const jitter = 0.05

// stallsStreams reports whether reading a job's prompt would probably delay the streams of a target for longer than
// their allowed gap, for which the job's own stands here.
func (p *Planner) stallsStreams(t *target, w *queuedJob) bool {
	if w.MaxEventGap == 0 || len(t.runs) == 0 || p.off.Off(ablation.Disturbance) {
		return false
	}
	gap := t.factor.get() * p.timings.longestGap(len(t.runs)+1, t.pendingPrompt+w.Prompt)
	return gap > gapFraction*float64(w.MaxEventGap)
}

// wouldBeInTime reports whether a job's first event would be in time, and its answer probably complete by its
// deadline, on a target of factor f that has pendingPrompt tokens to read first and runs so many requests, the job
// included.
func (p *Planner) wouldBeInTime(now clock.Millis, w *queuedJob, f float64, pendingPrompt ids.Tokens, running int) bool {
	first := f * p.timings.firstEventTime(pendingPrompt+w.Prompt)
	if now+clock.Millis(first) > w.due() {
		return false
	}
	remaining := float64(w.Events) * f * p.timings.eventInterval(running)
	return now+clock.Millis(first+lengthMargin*remaining) <= w.Deadline
}

// halfHealthy reports whether at least half of the targets neither are ejected nor were so without having served a
// request since. With fewer, leaving out the others would overload those that remain.
func (p *Planner) halfHealthy(now clock.Millis) bool {
	healthy := 0
	for _, t := range p.eligible {
		if !t.health.Ejected(now) && !t.probing {
			healthy++
		}
	}
	return 2*healthy >= len(p.eligible)
}

// cost estimates the cost in ms of serving a job on a target: the time to its first event, a fraction of the time
// to its end, and the delay of the answers that run there.
func (p *Planner) cost(now clock.Millis, t *target, job *Job) float64 {
	running := len(t.runs) + t.externalLoad.current(now)
	f := t.factor.get()
	first := f * p.timings.firstEventTime(t.pendingPrompt+job.Prompt)
	interval := f * p.timings.eventInterval(running+1)
	remaining := float64(job.Events) * interval
	prefill := f * p.timings.prefillTime(job.Prompt)
	cost := first + completionWeight*remaining
	weighPrefill := !p.off.Off(ablation.Disturbance)
	if weighPrefill {
		cost += prefillWeight * prefill * float64(running)
	}
	if weighPrefill && job.MaxEventGap > 0 && f*p.timings.longestGap(running+1, t.pendingPrompt+job.Prompt) > gapFraction*float64(job.MaxEventGap) {
		cost += lateCost * float64(running)
	}
	if now < p.backoffUntil && t.backsOffAny(now) {
		cost += backoffCost
	}
	if job.Domain != t.Domain && !p.off.Off(ablation.DomainCost) {
		cost += crossDomainCost
	}
	return cost
}

// minFirstEventTime estimates the time to a job's first event on the fastest target of its version while that reads no
// other prompt.
func (p *Planner) minFirstEventTime(job *Job) clock.Millis {
	minFactor, known := float64(factorMax), false
	for _, t := range p.eligible {
		if job.FitsVersion(t.Target) {
			minFactor = min(minFactor, t.factor.get())
			known = true
		}
	}
	if !known {
		minFactor = 1
	}
	return clock.Millis(minFactor * p.timings.firstEventTime(job.Prompt))
}
