package planner

import (
	"quaydock/pkg/clock"
)

// estimateWait estimates how long a job waits for a target, by the number of jobs ahead of it in the queue: until these
// and itself have been granted slots, but not less than until a target's back-off from its entry ends. Without eligible
// targets, and before the canary version opens to all jobs, it is the time until then.
func (p *Planner) estimateWait(now clock.Millis, w *queuedJob, ahead int) clock.Millis {
	if len(p.eligible) == 0 && p.trial.OpensAt > now {
		return p.trial.OpensAt - now
	}
	return max(p.backoffLeft(now, &w.Job), clock.Millis(float64(ahead+1)*float64(clock.Second)/p.slotRateFor(now, w)))
}

// slotRateFor returns how many slots per second are left for a job and those ahead of it in the queue: the release
// rate less the recent grants to jobs that came after them and went before. Grants count, not arrivals: of tiers
// that are refused in part, more jobs arrive than are ever served. A job that may only get targets of one version gets
// their part of it.
func (p *Planner) slotRateFor(now clock.Millis, w *queuedJob) float64 {
	left := p.releaseRate(now) - p.grantRateBefore(now, w)
	return max(minReleaseRate, left*p.versionFraction(&w.Job))
}

// versionFraction returns the slots of the targets of a job's version, as a fraction of those of all eligible targets;
// 1 if the job may get any.
func (p *Planner) versionFraction(job *Job) float64 {
	if job.Version == nil || p.slots == 0 {
		return 1
	}
	slots := 0
	for _, t := range p.offered {
		if !t.draining && job.FitsVersion(t.Target) {
			slots += t.capacity()
		}
	}
	return float64(slots) / float64(p.slots)
}

// grantRateBefore returns the rate per second of recent grants to jobs that go before a given one.
func (p *Planner) grantRateBefore(now clock.Millis, w *queuedJob) float64 {
	sum := 0.0
	for tier, r := range p.grantRates {
		switch {
		case tier < w.Tier:
			sum += r.perSecond(now)
		case tier == w.Tier:
			sum += p.grantRateInTier(now, r, w)
		}
	}
	return sum
}

// grantRateInTier returns the rate per second of recent grants in a job's own tier to jobs that go before it. Those of
// accounts that are behind the job's do not count if accounts share the tier.
func (p *Planner) grantRateInTier(now clock.Millis, r *rateBySize, w *queuedJob) float64 {
	if perSecond, shared := p.shares.rateBefore(w, w.late(now)); shared {
		return perSecond
	}
	return r.rateBefore(now, w)
}

// releaseRate returns how many jobs per second can end. Once no target could take a job for fullWindow it is the
// measured rate; before that too few jobs end, and it is at least the rate expected from the slots and the mean run
// time.
func (p *Planner) releaseRate(now clock.Millis) float64 {
	measured := p.releases.perSecond(now)
	if p.fullSince > 0 && now-p.fullSince >= fullWindow {
		return max(minReleaseRate, measured)
	}
	return max(minReleaseRate, measured, p.expectedReleases(now))
}

// fullWindow is for how long no target must have been able to take a job for the measured releases to show the
// capacity.
const fullWindow = clock.Second

// minReleaseRate, in jobs per second, keeps estimates finite.
const minReleaseRate = 0.5

// decayingMean is a mean of run times in ms in which newer ones count more.
type decayingMean struct {
	sum, n float64 // of the values, and of their weights
}

const (
	// meanDecay is the factor by which each value reduces the weight of the earlier ones.
	meanDecay = 0.99
	// defaultRunTime is the run time in ms before any run has ended, and defaultRunWeight the number of runs that
	// it counts for.
	defaultRunTime   = 1000.0
	defaultRunWeight = 5.0
	// minRunTime keeps the mean above zero.
	minRunTime = 1.0
)

// add adds a run time in ms.
func (m *decayingMean) add(x float64) {
	m.sum = m.sum*meanDecay + x
	m.n = m.n*meanDecay + 1
}

// get returns the mean, in which defaultRunTime counts as defaultRunWeight values that never lose weight.
func (m *decayingMean) get() float64 {
	return max(minRunTime, (m.sum+defaultRunTime*defaultRunWeight)/(m.n+defaultRunWeight))
}
