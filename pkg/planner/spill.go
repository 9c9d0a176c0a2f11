package planner

import (
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// spills tells what is needed to decide which jobs spill, that is, get targets in other failure domains than their own. It
// answers load that differs between domains, and load that exceeds the slots of all of them: a job stays in its domain
// while that serves it in time, and where slots become free one at a time, each goes to a job of its own domain first, so
// that domains that are all full do not exchange their jobs.
type spills struct {
	domains map[ids.FailureDomain]*domainTargets // those of the eligible targets
	count   SpillCount
}

// domainTargets are the eligible targets of one failure domain.
type domainTargets struct {
	targets  []*target
	releases rate // slots of these targets that became free
}

// SpillCount counts granted jobs by the failure domain of the target that they got. Jobs of an unknown domain do not
// count, nor do targets on trial.
type SpillCount struct {
	// Local counts jobs that got a target in their own domain, Spilled those that got one in another, and
	// SpilledTokens the prompt tokens of the latter.
	Local, Spilled int
	SpilledTokens  ids.Tokens
}

// SpillCount returns the counts since the planner has started.
func (p *Planner) SpillCount() SpillCount { return p.spills.count }

// relist sets the eligible targets. The releases of a domain are kept as long as it has some.
func (s *spills) relist(eligible []*target) {
	former := s.domains
	s.domains = make(map[ids.FailureDomain]*domainTargets)
	for _, t := range eligible {
		d := s.domains[t.Domain]
		if d == nil {
			d = &domainTargets{}
			if f := former[t.Domain]; f != nil {
				d.releases = f.releases
			}
			s.domains[t.Domain] = d
		}
		d.targets = append(d.targets, t)
	}
}

// countRelease records that a slot of a target has become free.
func (s *spills) countRelease(now clock.Millis, t *target) {
	if d := s.domains[t.Domain]; d != nil && t.offered && !t.draining {
		d.releases.add(now)
	}
}

// countGrant records that a job has got a target.
func (s *spills) countGrant(job *Job, t *target) {
	switch {
	case job.Domain == "" || t.Admission == routing.OnTrial:
	case job.Domain == t.Domain:
		s.count.Local++
	default:
		s.count.Spilled++
		s.count.SpilledTokens += job.Prompt
	}
}

// stayFraction is the fraction of the time that a job has left which it may lose by staying in its failure domain. The
// rest is for estimates that are wrong by up to a factor of two.
const stayFraction = 0.5

// spillCost returns the cost in ms of a target in another failure domain than a job's: the job leaves its domain only for
// a gain beyond the time that it can do without. It costs nothing if the domain has no targets.
func (p *Planner) spillCost(now clock.Millis, job *Job, t *target) float64 {
	if job.Domain == t.Domain || !p.prefersOwn(job) {
		return 0
	}
	left := job.due() - now
	if left <= 0 {
		left = max(0, job.Arrived+job.maxWait()-now)
	}
	return stayFraction * float64(left)
}

// prefersOwn reports whether it matters to a job in which failure domain it gets a target: its own has some.
func (p *Planner) prefersOwn(job *Job) bool {
	return p.spills.domains[job.Domain] != nil && !p.off.Off(ablation.DomainCost)
}

// taker returns which job gets a free slot that has been chosen for the first of some queued jobs, behind those ahead of
// it. If the target is in another failure domain than the first job, the next job of the same rank gets it that is of the
// target's domain or cannot wait for a slot of its own. The slot does not stay free for that: if no job of its domain takes
// it, the first one gets it.
func (p *Planner) taker(now clock.Millis, c *candidates, queued, ahead []*queuedJob, t *target) *queuedJob {
	first := queued[0]
	if first.Domain == t.Domain || !p.prefersOwn(&first.Job) {
		return first
	}
	rank := rankOf(now, queued)
	if !slices.ContainsFunc(rank, func(w *queuedJob) bool { return w.Domain == t.Domain && !w.granted }) {
		return first
	}
	aheadByDomain := countByDomain(ahead)
	for _, w := range rank {
		switch {
		case w.granted:
			continue
		case w.Domain == t.Domain:
			if p.fits(now, c, w, t) {
				return w
			}
		case p.canWaitForOwn(now, w, aheadByDomain[w.Domain]):
		case w == first || p.choose(now, c, w) == t:
			return w
		}
		aheadByDomain[w.Domain]++
	}
	return first
}

// rankOf returns the leading jobs that do not differ in what goes before failure domains: tier, share and whether they can
// still be in time. The jobs are in queue order.
func rankOf(now clock.Millis, queued []*queuedJob) []*queuedJob {
	first := queued[0]
	end := slices.IndexFunc(queued, func(w *queuedJob) bool {
		return w.Tier != first.Tier || w.class != first.class || w.late(now) != first.late(now)
	})
	if end < 0 {
		return queued
	}
	return queued[:end]
}

// countByDomain counts the jobs that are not granted by their failure domain.
func countByDomain(jobs []*queuedJob) map[ids.FailureDomain]int {
	counts := make(map[ids.FailureDomain]int)
	for _, w := range jobs {
		if !w.granted {
			counts[w.Domain]++
		}
	}
	return counts
}

// fits reports whether a job gets a target now if no other one is available.
func (p *Planner) fits(now clock.Millis, c *candidates, w *queuedJob, t *target) bool {
	only := *c
	only.available = []*target{t}
	return p.choose(now, &only, w) == t
}

// canWaitForOwn reports whether a job behind so many others of its failure domain can expect a slot there within the time
// that it may lose: until its latest start, or, if it is late, until the end of its longest wait. A job that may only get
// targets of one version never waits: the releases do not tell of these.
func (p *Planner) canWaitForOwn(now clock.Millis, w *queuedJob, ahead int) bool {
	d := p.spills.domains[w.Domain]
	if d == nil || w.Version != nil {
		return false
	}
	left := w.latestStart - now
	if w.late(now) {
		left = w.Arrived + w.maxWait() - now
	}
	wait := float64(ahead+1) * float64(clock.Second) / max(minReleaseRate, d.releases.perSecond(now))
	return wait <= stayFraction*float64(left) && d.serves(now, &w.Job)
}

// serves reports whether any of the targets would get a job when it has a free slot.
func (d *domainTargets) serves(now clock.Millis, job *Job) bool {
	return slices.ContainsFunc(d.targets, func(t *target) bool {
		return !t.health.Ejected(now) && !t.probing && t.mayGet(now, job) && t.admits(now, job.ID.Entry)
	})
}
