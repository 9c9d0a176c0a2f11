package planner

import (
	"math/rand/v2"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Planner plans for one group of targets. It is not safe for concurrent use.
type Planner struct {
	random    *rand.Rand
	targets   map[ids.TargetIncarnation]*target
	lives     map[ids.Target]*lives
	offered   []*target // in the order of the list of targets
	list      []*target // of these, those that may get all work
	slots     int       // how many jobs these run at once
	trial     trial
	cold      coldLimit
	backing   Agreement
	bounded   []*target // of list, those that get fewer jobs than they have places for
	queue     queue
	runs      map[JobID]*run
	speeds    speeds
	releases  rate
	runTime   mean
	fullSince clock.Millis // since when no target has had room; 0 if one has
	floor     floor
	// restsUntil is when the last rest is over that a target has asked an entry for.
	restsUntil clock.Millis
	given      map[ids.TierRank]*sizedRate // what was granted lately
	decisions  []Decision
	off        ablation.Set
}

// New returns a planner without targets.
func New(random *rand.Rand) *Planner {
	return &Planner{random: random, targets: make(map[ids.TargetIncarnation]*target), lives: make(map[ids.Target]*lives), runs: make(map[JobID]*run), given: make(map[ids.TierRank]*sizedRate)}
}

// Without switches mechanisms off, for experiments.
func (p *Planner) Disable(off ablation.Set) {
	p.off = off
}

// Submit takes a job, unless it is known. Decisions follow.
func (p *Planner) Submit(now clock.Millis, job Job) {
	if p.runs[job.ID] != nil {
		return
	}
	if i := p.queue.find(job.ID); i >= 0 {
		p.queue.jobs[i].seen = now
		return
	}
	if !p.servable(&job) {
		p.refuseEmpty(&job)
		return
	}
	w := &waiting{Job: job, committed: job.Returned, seen: now, size: p.sizeOf(&job)}
	w.useful = job.due() - p.leastFirst(&job)
	p.queue.jobs = append(p.queue.jobs, w)
	p.place(now)
	if p.queue.find(job.ID) >= 0 && p.hopeless(now, w, p.queue.ahead(now, w)) {
		p.queue.drop(func(other *waiting) bool { return other == w })
		p.refuse(now, w)
	}
}

// gave notes that a job was granted a target.
func (p *Planner) gave(now clock.Millis, w *waiting) {
	r := p.given[w.Tier]
	if r == nil {
		r = &sizedRate{}
		p.given[w.Tier] = r
	}
	r[w.size].add(now)
}

// sizeOf is the size of a job's run on a target of factor 1 that runs nothing
// else.
func (p *Planner) sizeOf(job *Job) runSize {
	if p.off.Off(ablation.ShortFirst) {
		return 0
	}
	return sizeOf(p.speeds.firstTime(job.Prompt) + float64(job.Events)*p.speeds.pauseTime(1))
}

// Withdraw takes back a job that waits, or ends one that was granted.
func (p *Planner) Withdraw(now clock.Millis, id JobID) {
	if i := p.queue.find(id); i >= 0 {
		p.queue.remove(i)
		return
	}
	p.Finish(now, id, Abandoned, StreamStats{})
}

// Tick looks after what only time changes.
func (p *Planner) Tick(now clock.Millis) {
	for _, t := range p.list {
		if t.stuck(now, &p.speeds) {
			if !p.off.Off(ablation.SetAside) {
				t.health.EjectBriefly(now)
				t.trial = true
			}
			p.move(t)
		}
	}
	p.pruneRests(now)
	p.countBounded(now)
	p.place(now)
	p.queue.drop(func(w *waiting) bool { return now >= w.Deadline || now-w.seen > forgottenAfter })
	p.reviewAll(now)
}

// move tells the jobs that wait for their first event on a target that is stuck
// to go elsewhere, if they may.
func (p *Planner) move(t *target) {
	if p.off.Off(ablation.Moves) {
		return
	}
	for _, r := range t.runs {
		if r.Movable && !r.begun && !r.moved {
			r.moved = true
			p.decide(Move{ID: r.ID})
		}
	}
}

// forgottenAfter is after what silence a waiting job is dropped: its entry asks
// for it again and again while it waits.
const forgottenAfter = 400 * clock.Millisecond

// Decisions takes what was decided since the last call.
func (p *Planner) Decisions() []Decision {
	taken := p.decisions
	p.decisions = nil
	return taken
}

// Waits reports whether a job waits.
func (p *Planner) Waits(id JobID) bool {
	return p.queue.find(id) >= 0
}

// Waiting is how many jobs wait.
func (p *Planner) Waiting() int {
	return len(p.queue.jobs)
}

// Running is how many jobs have a target.
func (p *Planner) Running() int {
	return len(p.runs)
}

func (p *Planner) decide(d Decision) {
	p.decisions = append(p.decisions, d)
}
