package planner

import (
	"math"
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
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
	if len(p.queue.jobs) > 1 || p.holdsLate(now) {
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
	return t.hasFreeSlot(now, avoidFailing) && !p.crowded(now, t) && p.withinColdRate(now, t) && p.withinLimit(now, t)
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
	// fastest is the pace of the fastest target that is not ejected, busy or not; valid if known is set.
	fastest pace
	known   bool // at least one target is not ejected
}

// findCandidates examines all targets. Those ejected are left out while enough others are healthy.
func (p *Planner) findCandidates(now clock.Millis) candidates {
	c := candidates{avoidFailing: p.halfHealthy(now), fastest: slowest()}
	for _, t := range p.eligible {
		ejected := t.health.Ejected(now)
		if !ejected {
			c.fastest = p.faster(now, c.fastest, t)
			c.known = true
		}
		if p.hasFreeSlot(now, t, c.avoidFailing) && (!c.avoidFailing || !ejected) {
			c.available = append(c.available, t)
		}
	}
	return c
}

// cheapest returns the candidate target that serves a job at the lowest cost, or nil. If the job would be in time on
// the fastest target when that is idle, only targets count on which it is in time and stalls no streams; but a call that
// would have to wait gets an idle target whose factor may be out of date, as only a call shows whether it is still so slow.
func (p *Planner) cheapest(now clock.Millis, c *candidates, w *queuedJob) *target {
	fastest, known := p.fastest(now, c, &w.Job)
	inTimeOnly := known && !p.off.Off(ablation.InTime) && p.wouldBeInTime(now, w, fastest, idle())
	var best, outdated *target
	var minCost float64
	for _, t := range c.available {
		if !t.mayGet(now, &w.Job) || p.heldForVersion(now, w, t) || !t.admits(now, w.ID.Entry) {
			continue
		}
		if inTimeOnly && (!p.wouldBeInTime(now, w, p.pace(now, t), t.occupancyWith()) || p.stallsStreams(now, t, w)) {
			if t.factorOutdated(now) && w.isCall() {
				outdated = t
			}
			continue
		}
		// Random jitter spreads jobs over targets of equal cost.
		cost := p.cost(now, t, &w.Job) * (1 + jitter*p.random.Float64())
		if best == nil || cost < minCost {
			best, minCost = t, cost
		}
	}
	if best == nil {
		return outdated
	}
	return best
}

// slowest returns a pace slower than that of any target.
func slowest() pace { return pace{factor: math.Inf(1)} }

// faster returns the faster of a pace and that of a target.
func (p *Planner) faster(now clock.Millis, c pace, t *target) pace {
	if other := p.pace(now, t); other.current() < c.current() {
		return other
	}
	return c
}

// fastest returns the pace of the fastest target of a job's version that is not ejected, and whether there is one.
func (p *Planner) fastest(now clock.Millis, c *candidates, job *Job) (fastest pace, known bool) {
	if job.Version == nil && !job.BeginsStream {
		return c.fastest, c.known
	}
	return p.fastestOf(now, func(t *target) bool { return job.FitsVersion(t.Target) && !t.health.Ejected(now) })
}

// fastestOf returns the pace of the fastest of the targets for which fits returns true, and whether there is one.
func (p *Planner) fastestOf(now clock.Millis, fits func(*target) bool) (fastest pace, known bool) {
	fastest = slowest()
	for _, t := range p.eligible {
		if fits(t) {
			fastest = p.faster(now, fastest, t)
			known = true
		}
	}
	return fastest, known
}

// jitter is the largest fraction by which a cost is raised at random.
const jitter = 0.05

// stallsStreams reports whether reading a job's prompt would probably delay the streams of a target for longer than
// their allowed gap, for which the job's own stands here.
func (p *Planner) stallsStreams(now clock.Millis, t *target, w *queuedJob) bool {
	if w.MaxEventGap == 0 || len(t.runs) == 0 || p.off.Off(ablation.Disturbance) {
		return false
	}
	gap := p.pace(now, t).current() * p.timings.longestGap(len(t.runs)+1, t.pendingPrompt+w.Prompt)
	return gap > gapFraction*float64(w.MaxEventGap)
}

// wouldBeInTime reports whether a job's first event would be in time, and its answer probably complete by its
// deadline, on a target of a pace and with so much to do.
func (p *Planner) wouldBeInTime(now clock.Millis, w *queuedJob, c pace, at occupancy) bool {
	work := p.firstEventTime(&w.Job, at)
	first := c.duration(work)
	if now+clock.Millis(first) > w.due() {
		return false
	}
	remaining := c.duration(work+float64(w.Events)*p.timings.eventInterval(at.running)) - first
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
	c := p.pace(now, t)
	f := c.current()
	at := t.occupancyWith()
	at.running = running + 1
	work := p.firstEventTime(job, at)
	first := c.duration(work)
	remaining := c.duration(work+float64(job.Events)*p.timings.eventInterval(running+1)) - first
	prefill := f * p.timings.prefillTime(job.Prompt)
	cost := first + completionWeight*remaining
	weighPrefill := !p.off.Off(ablation.Disturbance)
	if weighPrefill {
		cost += prefillWeight*prefill*float64(running) + f*p.delayOfCalls(job, at)
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
func (p *Planner) minFirstEventTime(now clock.Millis, job *Job) clock.Millis {
	fastest, known := p.fastestOf(now, func(t *target) bool { return job.FitsVersion(t.Target) })
	if !known {
		fastest = normalPace()
	}
	return clock.Millis(fastest.duration(p.firstEventTime(job, idle())))
}
