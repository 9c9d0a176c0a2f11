package planner

import (
	"quaydock/pkg/clock"
)

// wait estimates how long a job waits for a target: until those ahead of it have been
// given the places that are left for it and them.
func (p *Planner) wait(now clock.Millis, w *waiting, ahead int) clock.Millis {
	if len(p.list) == 0 && p.trial.OpensAt > now {
		return p.trial.OpensAt - now
	}
	return max(p.restLeft(now, &w.Job), clock.Millis(float64(ahead+1)*float64(clock.Second)/p.placesFor(now, w)))
}

// placesFor is how many places a second are left for a job and those ahead of it in the
// queue: what becomes free, less what has lately been given to jobs that came after them
// and went before. What was given counts, not what came: of tiers that are refused in
// part, more come than are ever served.
func (p *Planner) placesFor(now clock.Millis, w *waiting) float64 {
	return max(minReleases, p.perSecond(now)-p.givenBefore(now, w))
}

// givenBefore is how many jobs a second that go before a job have been given a target.
func (p *Planner) givenBefore(now clock.Millis, w *waiting) float64 {
	sum := 0.0
	for tier, r := range p.given {
		switch {
		case tier < w.Tier:
			sum += r.perSecond(now)
		case tier == w.Tier:
			sum += r.before(now, w)
		}
	}
	return sum
}

// perSecond is how many jobs a second can end. While all places have been taken
// for a while, it is how many do; before, what ends says too little, and it is the
// slots over the mean time of a run.
func (p *Planner) perSecond(now clock.Millis) float64 {
	measured := p.releases.perSecond(now)
	if p.fullSince > 0 && now-p.fullSince >= fullFor {
		return max(minReleases, measured)
	}
	return max(minReleases, measured, p.turnover())
}

// fullFor is how long no target must have had room for the releases to tell the
// capacity.
const fullFor = clock.Second

// minReleases keeps estimates finite.
const minReleases = 0.5

// mean is a mean that forgets.
type mean struct {
	sum, n float64
}

const (
	// meanKeep is what each further value leaves of the earlier ones.
	meanKeep = 0.99
	// runGuess is the time of a run, in ms, before one has ended, and
	// runGuessWeight for how many runs it counts.
	runGuess       = 1000.0
	runGuessWeight = 5.0
	// leastRun keeps the mean above zero.
	leastRun = 1.0
)

func (m *mean) add(x float64) {
	m.sum = m.sum*meanKeep + x
	m.n = m.n*meanKeep + 1
}

func (m *mean) get() float64 {
	return max(leastRun, (m.sum+runGuess*runGuessWeight)/(m.n+runGuessWeight))
}
