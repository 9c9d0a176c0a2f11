package planner

import (
	"slices"

	"quaydock/pkg/ablation"
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
	// domainCost is what it counts, in ms, to send a request to another failure
	// domain: the way, and the price of the bytes.
	domainCost = 100.0
	// lateCost is what it counts, in ms, that an answer becomes late.
	lateCost = 400.0
	// lengthDoubt is how much longer than guessed an answer is reckoned with.
	lengthDoubt = 2.0
	// gapPart is the part of the longest pause that is planned with: prompts that
	// come one after the other hold a stream up a little longer than one alone.
	gapPart = 0.7
)

// place grants what there is room for, in the queue's order. A job that would
// be late on the targets with room, but not on others, leaves the room to those
// behind it.
func (p *Planner) place(now clock.Millis) {
	if len(p.queue.jobs) == 0 {
		p.fullSince = 0
		return
	}
	p.placeOnTrial(now)
	s := p.survey(now)
	if len(s.roomy) == 0 {
		p.noteFull(now)
		return
	}
	p.queue.sort(now)
	kept := p.queue.jobs[:0]
	for _, w := range p.queue.jobs {
		var t *target
		if len(s.roomy) > 0 && !p.held(now, w) && !p.trial.closed(w) {
			t = p.best(now, &s, w)
		}
		if t == nil {
			kept = append(kept, w)
			continue
		}
		p.grant(now, w, t)
		p.gave(now, w)
		p.trial.earn(w.Route)
		s.roomy = slices.DeleteFunc(s.roomy, func(t *target) bool { return !p.room(now, t, s.careful) })
	}
	clear(p.queue.jobs[len(kept):])
	p.queue.jobs = kept
	if len(s.roomy) > 0 {
		p.fullSince = 0
	} else {
		p.noteFull(now)
	}
}

// grant gives a job a target.
func (p *Planner) grant(now clock.Millis, w *waiting, t *target) *run {
	r := t.start(now, w.Job)
	r.counted = t.limited != nil
	t.cold.spend()
	t.limited.spend()
	p.runs[w.ID] = r
	p.decide(r.grant())
	return r
}

// room reports whether a target can take a job now.
func (p *Planner) room(now clock.Millis, t *target, careful bool) bool {
	return t.room(now, careful) && p.bearsCold(now, t) && p.bearsLimit(now, t)
}

// held reports whether a job is to wait, as something that goes before it was
// refused a moment ago.
func (p *Planner) held(now clock.Millis, w *waiting) bool {
	below := p.floor.below(now, w.Tier) && !p.off.Off(ablation.TierFloor)
	return below || p.floor.behind(now, w) && !p.off.Off(ablation.LateFloor)
}

func (p *Planner) noteFull(now clock.Millis) {
	if p.fullSince == 0 {
		p.fullSince = now
	}
}

// survey is what a round of placing stands on.
type survey struct {
	roomy   []*target // those with room
	careful bool      // enough targets are well to spare the others
	// quickest is the least factor of a target that is not set aside.
	quickest float64
	known    bool
}

// survey looks at all targets. Those set aside are left out while enough others
// are there.
func (p *Planner) survey(now clock.Millis) survey {
	s := survey{careful: p.manyWell(now), quickest: factorMax}
	for _, t := range p.list {
		aside := t.health.Ejected(now)
		if !aside {
			s.quickest = min(s.quickest, t.factor.get())
			s.known = true
		}
		if p.room(now, t, s.careful) && (!s.careful || !aside) {
			s.roomy = append(s.roomy, t)
		}
	}
	return s
}

// best returns the target with room that serves a job at the least cost, or
// nil.
func (p *Planner) best(now clock.Millis, s *survey, w *waiting) *target {
	choosy := s.known && !p.off.Off(ablation.InTime) && p.inTime(now, w, s.quickest, 0, 1)
	var best *target
	var least float64
	for _, t := range s.roomy {
		if slices.Contains(w.Exclude, t.Incarnation()) || !t.admits(now, w.ID.Entry) || choosy && (!p.inTime(now, w, t.factor.get(), t.reading, len(t.runs)+1) || p.disturbs(t, w)) {
			continue
		}
		// A little chance spreads what is equal.
		cost := p.cost(now, t, &w.Job) * (1 + jitter*p.random.Float64())
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

const jitter = 0.05

// disturbs reports whether reading a job's prompt would most likely hold up the
// streams that run on a target for longer than they may pause.
func (p *Planner) disturbs(t *target, w *waiting) bool {
	if w.Gap == 0 || len(t.runs) == 0 || p.off.Off(ablation.Disturbance) {
		return false
	}
	hold := t.factor.get() * p.speeds.holdTime(len(t.runs)+1, t.reading+w.Prompt)
	return hold > gapPart*float64(w.Gap)
}

// inTime reports whether a job's first event would be in time, and its answer
// most likely whole by its deadline, on a target of a factor that has so much to
// read first and runs so many requests.
func (p *Planner) inTime(now clock.Millis, w *waiting, f float64, reading ids.Tokens, running int) bool {
	first := f * p.speeds.firstTime(reading+w.Prompt)
	if now+clock.Millis(first) > w.due() {
		return false
	}
	rest := float64(w.Events) * f * p.speeds.pauseTime(running)
	return now+clock.Millis(first+lengthDoubt*rest) <= w.Deadline
}

// manyWell reports whether at least half of the targets neither are nor were set
// aside without having served since. If fewer are, leaving out the others would
// drown them.
func (p *Planner) manyWell(now clock.Millis) bool {
	well := 0
	for _, t := range p.list {
		if !t.health.Ejected(now) && !t.trial {
			well++
		}
	}
	return 2*well >= len(p.list)
}

// cost estimates in ms what it takes to serve a job on a target: the time to
// its first event, a part of the time to its end, and what it does to the
// answers that run there.
func (p *Planner) cost(now clock.Millis, t *target, job *Job) float64 {
	running := len(t.runs) + t.foreign.at(now)
	f := t.factor.get()
	first := f * p.speeds.firstTime(t.reading+job.Prompt)
	pause := f * p.speeds.pauseTime(running+1)
	rest := float64(job.Events) * pause
	reads := f * p.speeds.readTime(job.Prompt)
	cost := first + endWeight*rest
	disturbs := !p.off.Off(ablation.Disturbance)
	if disturbs {
		cost += disturbWeight * reads * float64(running)
	}
	if disturbs && job.Gap > 0 && f*p.speeds.holdTime(running+1, t.reading+job.Prompt) > gapPart*float64(job.Gap) {
		cost += lateCost * float64(running)
	}
	if now < p.restsUntil && t.restsFromOthers(now) {
		cost += restCost
	}
	if job.Domain != t.Domain && !p.off.Off(ablation.DomainCost) {
		cost += domainCost
	}
	return cost
}

// leastFirst estimates the time to a job's first event on the best target.
func (p *Planner) leastFirst(job *Job) clock.Millis {
	least := float64(factorMax)
	if len(p.list) == 0 {
		least = 1
	}
	for _, t := range p.list {
		least = min(least, t.factor.get())
	}
	return clock.Millis(least * p.speeds.firstTime(job.Prompt))
}
