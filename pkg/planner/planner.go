package planner

import (
	"math/rand/v2"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/slowdown"
)

// Planner assigns the jobs of one group of targets. It is not safe for concurrent use.
type Planner struct {
	random       *rand.Rand
	targets      map[ids.TargetIncarnation]*target // those offered, and others until their runs have ended
	incarnations map[ids.Target]*incarnations      // of each target in targets
	offered      []*target                         // in the order passed to SetTargets
	eligible     []*target                         // offered targets that may get any job: neither draining nor on trial
	slots        int                               // total slots of the eligible targets
	trial        trial
	cold         coldLimit
	agreement    Agreement
	rateLimited  []*target // eligible targets that report a rate limit or are cold
	queue        queue
	runs         map[JobID]*run
	timings      timings
	callTimes    callTimes
	callLimit    callLimit
	fewerCalls   fewerCallsTrial
	expected     expectedRate
	persistence  slowdown.Persistence // of the slowness that the targets report
	releases     rate                 // slots that became free, without those of canary targets
	runTime      decayingMean         // ms from grant to end, of the same slots if their target took the request
	fullSince    clock.Millis         // time since which no eligible target could take a job; 0 if one could or no job waited
	floor        floor
	// versionFloors hold back lower tiers at the targets of one version each.
	versionFloors map[ids.Version]*floor
	// backoffUntil is the end of the last back-off that a target has asked of any entry.
	backoffUntil clock.Millis
	grantRates   map[ids.TierRank]*rateBySize // recent grants, without those to canary targets
	shares       accountShares
	decisions    []Decision // made since the last call of Decisions
	off          ablation.Set

	refusalsWhileFree int // refusals while half of the slots or more ran nothing
}

// New returns a planner without targets.
func New(random *rand.Rand) *Planner {
	return &Planner{random: random, targets: make(map[ids.TargetIncarnation]*target), incarnations: make(map[ids.Target]*incarnations), runs: make(map[JobID]*run), grantRates: make(map[ids.TierRank]*rateBySize), versionFloors: make(map[ids.Version]*floor)}
}

// Disable disables mechanisms, for experiments.
func (p *Planner) Disable(off ablation.Set) {
	p.off = off
}

// Submit queues a job unless it already waits or runs; repeated for a waiting job, it keeps the job in the queue.
// The results are returned by Decisions.
func (p *Planner) Submit(now clock.Millis, job Job) {
	if p.runs[job.ID] != nil {
		return
	}
	if i := p.queue.find(job.ID); i >= 0 {
		p.queue.jobs[i].lastPoll = now
		return
	}
	if !p.servable(&job) {
		p.refuseNoTarget(&job)
		return
	}
	w := &queuedJob{Job: job, committed: job.Retried, lastPoll: now, size: p.estimateSize(&job)}
	w.latestStart = job.due() - p.minFirstEventTime(now, &job)
	p.queue.jobs = append(p.queue.jobs, w)
	w.class = p.shares.ask(now, &w.Job)
	p.place(now)
	if p.queue.find(job.ID) < 0 {
		return
	}
	p.shares.refresh(now, &p.queue)
	if p.shouldRefuse(now, w, p.queue.countAhead(now, w)) {
		p.queue.removeIf(func(other *queuedJob) bool { return other == w })
		p.refuse(now, w)
	}
}

// countGrant records a grant in the rate of the job's tier.
func (p *Planner) countGrant(now clock.Millis, w *queuedJob) {
	r := p.grantRates[w.Tier]
	if r == nil {
		r = &rateBySize{}
		p.grantRates[w.Tier] = r
	}
	r[w.size].add(now)
	p.shares.countGrant(now, w)
}

// estimateSize returns the size class of a job's run on an otherwise idle target of factor 1. With the order by size
// disabled all jobs are in one class.
func (p *Planner) estimateSize(job *Job) sizeClass {
	if p.off.Off(ablation.ShortFirst) {
		return 0
	}
	return sizeClassOf(p.timings.firstEventTime(job.Prompt) + float64(job.Events)*p.timings.eventInterval(1))
}

// Withdraw removes a waiting job from the queue, or ends one that was granted as Abandoned. It ignores an unknown one.
func (p *Planner) Withdraw(now clock.Millis, id JobID) {
	if i := p.queue.find(id); i >= 0 {
		p.queue.remove(i)
		return
	}
	p.Finish(now, id, Abandoned, StreamStats{})
}

// Tick performs the work that depends on time alone: stuck targets, expired jobs and jobs that can no longer be in
// time. It is to be called periodically; the owner of a service does so about every 25 ms (tickInterval in dispatch).
// Jobs that are past their deadline, or that no Submit has repeated for pollTimeout, are dropped without a decision.
func (p *Planner) Tick(now clock.Millis) {
	for _, t := range p.eligible {
		if p.stuck(now, t) {
			if !p.off.Off(ablation.Ejection) {
				t.health.EjectBriefly(now)
				t.probing = true
			}
			p.moveStuckRuns(t)
		}
	}
	p.centerFactors()
	p.pruneBackoffs(now)
	p.updateRateLimited(now)
	p.place(now)
	p.tryFewerCalls(now)
	p.queue.removeIf(func(w *queuedJob) bool { return now >= w.Deadline || now-w.lastPoll > pollTimeout })
	p.reviewQueue(now)
}

// moveStuckRuns emits a Move for each movable run that still waits for its first event on a stuck target.
func (p *Planner) moveStuckRuns(t *target) {
	if p.off.Off(ablation.Moves) {
		return
	}
	for _, r := range t.runs {
		if r.Movable && !r.hasFirstEvent && !r.redispatched {
			r.redispatched = true
			p.addDecision(Move{ID: r.ID})
		}
	}
}

// pollTimeout is the time without a Submit after which a waiting job is dropped: its entry repeats the call several
// times within it while the job waits.
const pollTimeout = 400 * clock.Millisecond

// Decisions returns the decisions made since the last call.
func (p *Planner) Decisions() []Decision {
	taken := p.decisions
	p.decisions = nil
	return taken
}

// IsQueued reports whether a job is queued.
func (p *Planner) IsQueued(id JobID) bool {
	return p.queue.find(id) >= 0
}

// Waiting returns the number of queued jobs.
func (p *Planner) Waiting() int {
	return len(p.queue.jobs)
}

// Running returns the number of jobs that have a target.
func (p *Planner) Running() int {
	return len(p.runs)
}

func (p *Planner) addDecision(d Decision) {
	p.decisions = append(p.decisions, d)
}
