package planner

import (
	"quaydock/pkg/clock"
)

// estimateWait estimates how long a job waits for a target: until the jobs ahead of it have been granted the slots
// that are left for them and it.
func (p *Planner) estimateWait(now clock.Millis, w *queuedJob, ahead int) clock.Millis {
	if len(p.eligible) == 0 && p.trial.OpensAt > now {
		return p.trial.OpensAt - now
	}
	return max(p.backoffLeft(now, &w.Job), clock.Millis(float64(ahead+1)*float64(clock.Second)/p.slotRateFor(now, w)))
}

// slotRateFor returns how many slots per second are left for a job and those ahead of it in the queue: the release
// rate less the recent grants to jobs that came after them and went before. Grants count, not arrivals: of tiers
// that are refused in part, more jobs arrive than are ever served.
func (p *Planner) slotRateFor(now clock.Millis, w *queuedJob) float64 {
	return max(minReleaseRate, p.releaseRate(now)-p.grantRateBefore(now, w))
}

// grantRateBefore returns the rate of grants to jobs that go before a given one.
func (p *Planner) grantRateBefore(now clock.Millis, w *queuedJob) float64 {
	sum := 0.0
	for tier, r := range p.grantRates {
		switch {
		case tier < w.Tier:
			sum += r.perSecond(now)
		case tier == w.Tier:
			sum += r.rateBefore(now, w)
		}
	}
	return sum
}

// releaseRate returns how many jobs per second can end. Once no slot has been free for fullWindow it is the
// measured rate; before that too few jobs end, and it is at least the rate expected from the slots and the mean run
// time.
func (p *Planner) releaseRate(now clock.Millis) float64 {
	measured := p.releases.perSecond(now)
	if p.fullSince > 0 && now-p.fullSince >= fullWindow {
		return max(minReleaseRate, measured)
	}
	return max(minReleaseRate, measured, p.expectedReleases())
}

// fullWindow is how long no target must have had a free slot for the measured releases to show the capacity.
const fullWindow = clock.Second

// minReleaseRate keeps estimates finite.
const minReleaseRate = 0.5

// decayingMean is a mean in which newer values count more.
type decayingMean struct {
	sum, n float64
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

func (m *decayingMean) add(x float64) {
	m.sum = m.sum*meanDecay + x
	m.n = m.n*meanDecay + 1
}

func (m *decayingMean) get() float64 {
	return max(minRunTime, (m.sum+defaultRunTime*defaultRunWeight)/(m.n+defaultRunWeight))
}
