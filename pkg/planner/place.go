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
	// eventTokens is how many tokens of output make about one event.
	eventTokens = 6
)

// place grants what there is room for, in the queue's order.
func (p *Planner) place(now clock.Millis) {
	if len(p.queue.jobs) == 0 {
		return
	}
	p.queue.sort(now)
	kept := p.queue.jobs[:0]
	for _, w := range p.queue.jobs {
		if t := p.best(now, &w.Job); t != nil {
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
func (p *Planner) best(now clock.Millis, job *Job) *target {
	careful := p.manyWell(now)
	var best *target
	var least float64
	for _, t := range p.list {
		if !t.room(job) || careful && t.health.Aside(now) {
			continue
		}
		// A little chance spreads what is equal.
		cost := p.cost(t, job) * (1 + jitter*p.random.Float64())
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

const jitter = 0.05

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

// cost estimates in ms what it takes to serve a job on a target.
func (p *Planner) cost(t *target, job *Job) float64 {
	running := len(t.runs)
	first := p.speeds.firstTime(t.reading + job.Prompt)
	events := float64(job.Output) / eventTokens
	rest := events * p.speeds.pauseTime(running+1)
	disturb := p.speeds.readTime(job.Prompt) * float64(running)
	return t.factor.get() * (first + endWeight*rest + disturbWeight*disturb)
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
