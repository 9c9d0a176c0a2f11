package planner

import (
	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// RunningGrant returns the grant of a running job, with the currently known rate limit of its target.
func (p *Planner) RunningGrant(id JobID) (g Grant, granted bool) {
	if r := p.runs[id]; r != nil {
		return r.grant(), true
	}
	return Grant{}, false
}

// grant returns the decision that assigns the job to its target.
func (r *run) grant() Grant {
	return Grant{ID: r.ID, Incarnation: r.target.Incarnation(), RateLimit: r.target.rateLimit, Counted: r.counted}
}

// GrantedAt returns when a running job was granted.
func (p *Planner) GrantedAt(id JobID) (at clock.Millis, granted bool) {
	if r := p.runs[id]; r != nil {
		return r.grantedAt, true
	}
	return 0, false
}

// RecordFirstEvent records the first event of a job's answer, and the load that its target reported with it, if
// any. It ignores a job that is not running or whose first event is known.
func (p *Planner) RecordFirstEvent(now clock.Millis, id JobID, load *Load) {
	r := p.runs[id]
	if r == nil || r.hasFirstEvent {
		return
	}
	if load != nil {
		r.target.externalLoad.update(now, load.Running+load.Waiting-r.target.incarnations.runs)
	}
	r.target.recordFirstEvent(now, r)
	if load != nil {
		p.recordSlowdown(now, r.target, load.Slowdown)
	}
	if !r.canary {
		p.learnFirstEvent(now, r)
	}
}

// minEvents is how many events a stream needs for its event interval to be learned.
const minEvents = 4

// Finish ends a granted job and places waiting ones on the free slot; flow describes its answer if it was a stream. It
// ignores a job that is not running.
func (p *Planner) Finish(now clock.Millis, id JobID, outcome Outcome, flow StreamStats) {
	r := p.runs[id]
	if r == nil {
		return
	}
	t := r.target
	p.observe(now, r, outcome, flow)
	if r.hasFirstEvent && flow.Events >= minEvents && !r.canary {
		// The number of concurrent runs is the mean of those at the grant and now.
		slowdown := r.meanSlowdown(now, r.firstEventAt, r.totalAtFirstEvent)
		p.timings.learnInterval(&t.factor, (r.concurrency+len(t.runs))/2, float64(now-r.firstEventAt)/slowdown/float64(flow.Events))
		p.timings.learnPrefillStall(t.factor.get()*slowdown, r.maxBacklog, len(t.runs), flow.LongestGap)
	}
	if !p.off.Off(ablation.Ejection) {
		t.health.Record(now, outcome)
		if outcome == Declined {
			t.recordDecline(now, id.Entry)
		}
	}
	if outcome == Served {
		t.servedAfterBackoff(now, id.Entry)
	}
	t.probing = outcome != Served && (t.probing || outcome != Declined && t.health.Ejected(now))
	delete(p.runs, id)
	p.shares.end(now, &r.Job)
	t.removeRun(r)
	p.countRelease(now, r, outcome)
	p.forget(t)
	p.place(now)
}

// countRelease records that a slot has become free, and the run time if the target took the request. Slots of a canary
// version do not count towards the capacity of the others.
func (p *Planner) countRelease(now clock.Millis, r *run, outcome Outcome) {
	if r.canary {
		return
	}
	p.releases.add(now)
	if outcome != Unreached && outcome != Full && outcome != Moved && outcome != Withheld && outcome != Declined {
		p.runTime.add(float64(now-r.grantedAt) / r.meanExcess(now))
	}
}

// Restore adds a job that already has a target, as after a restart of the planner. Its earlier progress is not
// known, so it counts as granted now. It ignores a job that runs here already, or whose target is not known.
func (p *Planner) Restore(now clock.Millis, job Job, at ids.TargetIncarnation, hasFirstEvent bool) {
	if p.runs[job.ID] != nil {
		return
	}
	if i := p.queue.find(job.ID); i >= 0 {
		p.queue.remove(i)
	}
	t := p.incarnationAt(at)
	if t == nil {
		return // the target is gone
	}
	r := t.addRun(now, job)
	r.canary = t.Admission == routing.OnTrial
	p.runs[job.ID] = r
	p.shares.ask(now, &r.Job)
	p.shares.start(now, &r.Job)
	if hasFirstEvent {
		t.recordFirstEvent(now, r)
	}
}

// grantTransit is how long a grant may be in transit to its entry, which does not list the job as running meanwhile.
const grantTransit = 150 * clock.Millisecond

// RetainJobs ends the jobs of an entry for which keep returns false, except those granted within the last
// grantTransit.
func (p *Planner) RetainJobs(now clock.Millis, entry string, keep func(JobID) bool) {
	p.abandon(now, entry, func(r *run) bool { return now-r.grantedAt > grantTransit && !keep(r.ID) })
}

// DropEntry removes the jobs, back-offs and returned grants of an entry that has stopped sending heartbeats.
func (p *Planner) DropEntry(now clock.Millis, entry string) {
	p.queue.removeIf(func(w *queuedJob) bool { return w.ID.Entry == entry })
	p.abandon(now, entry, func(*run) bool { return true })
	p.forgetAdvice(entry)
}

// abandon ends the runs of an entry for which gone returns true. Finish changes p.runs during the range, which Go
// permits for maps; the range may also reach a run of the entry that is granted in a freed slot.
func (p *Planner) abandon(now clock.Millis, entry string, gone func(*run) bool) {
	for id, r := range p.runs {
		if id.Entry == entry && gone(r) {
			p.Finish(now, id, Abandoned, StreamStats{})
		}
	}
}
