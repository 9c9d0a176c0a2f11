package planner

import (
	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// GrantOf returns the grant of a job that has been given a target, with what is known of that by now.
func (p *Planner) GrantOf(id JobID) (g Grant, granted bool) {
	if r := p.runs[id]; r != nil {
		return r.grant(), true
	}
	return Grant{}, false
}

// grant is the decision that gives the job its target.
func (r *run) grant() Grant {
	return Grant{ID: r.ID, Incarnation: r.target.Incarnation(), RateLimit: r.target.takes, Counted: r.counted}
}

// GrantedAt is when a job was given its target, if it was.
func (p *Planner) GrantedAt(id JobID) (at clock.Millis, granted bool) {
	if r := p.runs[id]; r != nil {
		return r.since, true
	}
	return 0, false
}

// Begin notes the first event of a job's answer, and what its target then said
// of its load, if it did.
func (p *Planner) Begin(now clock.Millis, id JobID, load *Load) {
	r := p.runs[id]
	if r == nil || r.begun {
		return
	}
	if load != nil {
		r.target.foreign.learn(now, load.Running+load.Waiting-r.target.lives.runs)
	}
	r.target.begin(now, r)
	if !r.trial {
		p.speeds.learnFirst(&r.target.factor, r.ahead, now-r.since)
	}
}

// minEvents is how many events a stream needs to tell a pace.
const minEvents = 4

// Finish ends a granted job; flow tells of its answer, if it was a stream.
func (p *Planner) Finish(now clock.Millis, id JobID, outcome Outcome, flow StreamStats) {
	r := p.runs[id]
	if r == nil {
		return
	}
	t := r.target
	p.observe(now, r, outcome, flow)
	if r.begun && flow.Events >= minEvents && !r.trial {
		p.speeds.learnPause(&t.factor, (r.beside+len(t.runs))/2, float64(now-r.beganAt)/float64(flow.Events))
		p.speeds.learnHold(t.factor.get(), r.backlog, len(t.runs), flow.Longest)
	}
	if !p.off.Off(ablation.SetAside) {
		t.health.Record(now, outcome)
	}
	if outcome == Served {
		t.servedAfterRest(now, id.Entry)
	}
	t.trial = outcome != Served && (t.trial || t.health.Ejected(now))
	delete(p.runs, id)
	t.end(r)
	p.released(now, r, outcome)
	p.forget(t)
	p.place(now)
}

// released notes that a place has become free. Those of a version on trial say nothing of
// what the others can do.
func (p *Planner) released(now clock.Millis, r *run, outcome Outcome) {
	if r.trial {
		return
	}
	p.releases.add(now)
	if outcome != Unreached && outcome != Full && outcome != Moved && outcome != Withheld {
		p.runTime.add(float64(now - r.since))
	}
}

// Restore takes in a job that has a target already, as when a planner begins
// anew. Of what it did before nothing is known.
func (p *Planner) Restore(now clock.Millis, job Job, at ids.TargetIncarnation, begun bool) {
	if p.runs[job.ID] != nil {
		return
	}
	if i := p.queue.find(job.ID); i >= 0 {
		p.queue.remove(i)
	}
	t := p.lifeAt(at)
	if t == nil {
		return // it is gone
	}
	r := t.start(now, job)
	r.trial = t.Admission == routing.OnTrial
	p.runs[job.ID] = r
	if begun {
		t.begin(now, r)
	}
}

// fresh is for how long a grant may be on its way to its entry.
const fresh = 150 * clock.Millisecond

// Keep ends the jobs of an entry for which keep is false, but for those granted
// just now.
func (p *Planner) RetainJobs(now clock.Millis, entry string, keep func(JobID) bool) {
	p.abandon(now, entry, func(r *run) bool { return now-r.since > fresh && !keep(r.ID) })
}

// Drop forgets an entry that has gone silent.
func (p *Planner) DropEntry(now clock.Millis, entry string) {
	p.queue.drop(func(w *waiting) bool { return w.ID.Entry == entry })
	p.abandon(now, entry, func(*run) bool { return true })
	p.forgetRests(entry)
}

// abandon ends the runs of an entry for which gone is true.
func (p *Planner) abandon(now clock.Millis, entry string, gone func(*run) bool) {
	for id, r := range p.runs {
		if id.Entry == entry && gone(r) {
			p.Finish(now, id, Abandoned, StreamStats{})
		}
	}
}
