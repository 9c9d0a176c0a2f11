package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	// endWeight is what the time to the end of an answer counts beside the time
	// to its first event.
	endWeight = 0.1
	// disturbWeight is what it counts that a prompt, while it is read, holds up
	// each answer that runs beside it.
	disturbWeight = 0.3
	// lateCost is what it counts, in ms, that an answer becomes late.
	lateCost = 400.0
	// lengthDoubt is how much longer than guessed an answer is reckoned with.
	lengthDoubt = 2.0
	// gapPart is the part of the longest pause that is planned with.
	gapPart = 0.85
)

// place grants what there is room for, in the queue's order. A job that would
// be late on the targets with room, but not on others, leaves the room to those
// behind it.
func (p *Planner) place(now clock.Millis) {
	if len(p.queue.jobs) == 0 {
		return
	}
	p.queue.sort(now)
	kept := p.queue.jobs[:0]
	for _, w := range p.queue.jobs {
		if p.floor.below(now, w.Tier) {
			kept = append(kept, w)
			continue
		}
		if t := p.best(now, w); t != nil {
			p.runs[w.ID] = t.start(now, w.Job)
			p.decide(Grant{ID: w.ID, Target: t.ID})
			continue
		}
		kept = append(kept, w)
	}
	clear(p.queue.jobs[len(kept):])
	p.queue.jobs = kept
}

// best returns the target with room that serves a job at the least cost, or
// nil. Targets set aside are left out while enough others are there.
func (p *Planner) best(now clock.Millis, w *waiting) *target {
	careful := p.manyWell(now)
	choosy := p.canBeInTime(now, w)
	var best *target
	var least float64
	for _, t := range p.list {
		if !t.room(&w.Job) || careful && t.health.Aside(now) || choosy && !p.inTime(now, t, w, t.reading) {
			continue
		}
		// A little chance spreads what is equal.
		cost := p.cost(t, &w.Job) * (1 + jitter*p.random.Float64())
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

const jitter = 0.05

// canBeInTime reports whether any target, with or without room, would have a
// job's first event in time if it came to it soon.
func (p *Planner) canBeInTime(now clock.Millis, w *waiting) bool {
	for _, t := range p.list {
		if !t.health.Aside(now) && p.inTime(now, t, w, 0) {
			return true
		}
	}
	return false
}

// inTime reports whether a job's first event would be in time, and its answer
// most likely whole by its deadline, on a target that has so much to read first.
func (p *Planner) inTime(now clock.Millis, t *target, w *waiting, reading ids.Tokens) bool {
	f := t.factor.get()
	first := f * p.speeds.firstTime(reading+w.Prompt)
	if now+clock.Millis(first) > w.Arrived+w.Objective {
		return false
	}
	rest := float64(w.Events) * f * p.speeds.pauseTime(len(t.runs)+1)
	return now+clock.Millis(first+lengthDoubt*rest) <= w.Deadline
}

// manyWell reports whether at least half of the targets are not set aside. If
// fewer are, leaving out the others would drown them.
func (p *Planner) manyWell(now clock.Millis) bool {
	well := 0
	for _, t := range p.list {
		if !t.health.Aside(now) {
			well++
		}
	}
	return 2*well >= len(p.list)
}

// cost estimates in ms what it takes to serve a job on a target: the time to
// its first event, a part of the time to its end, and what it does to the
// answers that run there.
func (p *Planner) cost(t *target, job *Job) float64 {
	running := len(t.runs)
	f := t.factor.get()
	first := f * p.speeds.firstTime(t.reading+job.Prompt)
	pause := f * p.speeds.pauseTime(running+1)
	rest := float64(job.Events) * pause
	reads := f * p.speeds.readTime(job.Prompt)
	cost := first + endWeight*rest + disturbWeight*reads*float64(running)
	if job.Gap > 0 && pause+reads+f*p.speeds.readTime(t.reading) > gapPart*float64(job.Gap) {
		cost += lateCost * float64(running)
	}
	return cost
}

// leastFirst estimates the time to a job's first event on the best target.
func (p *Planner) leastFirst(job *Job) clock.Millis {
	least := float64(factorMax)
	for _, t := range p.list {
		least = min(least, t.factor.get())
	}
	return clock.Millis(least * p.speeds.firstTime(job.Prompt))
}

// slots is how many jobs the group runs at once.
func (p *Planner) slots() int {
	n := 0
	for _, t := range p.list {
		n += t.limit()
	}
	return n
}

// Known returns what a target is known to be slower than the others by; for
// logs and tests.
func (p *Planner) Known(id ids.Target) float64 {
	if t := p.targets[id]; t != nil {
		return t.factor.get()
	}
	return 1
}
