package planner

import (
	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/slowdown"
)

// callTimes estimates how long calls without a prompt and without events take on a target of factor 1, by how full the
// target is: some targets slow down when they are nearly full. Each level has its own mean, as the time may rise only at
// the last levels.
type callTimes [fillLevels]levelMean

const (
	// fillLevels is the number of levels of equal width.
	fillLevels = 8
	// levelDecay is the factor by which each observation reduces the weight of the earlier ones of its level.
	levelDecay = 0.98
	// levelPrior is the number of observations that the estimate of the level below counts for.
	levelPrior = 4.0
)

// levelMean is the mean time of the calls of one level in ms, in which newer ones count more.
type levelMean struct {
	sum float64 // ms, as measured
	n   float64 // factors of the targets: one observation is 1 in the mean
}

// fillLevel returns the level of a target that runs so many requests.
func fillLevel(running, capacity int) int {
	running = min(max(running, 1), capacity)
	return (running*fillLevels+capacity-1)/capacity - 1
}

// mostOfLevel returns the most requests that a target runs on a level.
func mostOfLevel(level, capacity int) int { return (level + 1) * capacity / fillLevels }

// add adds the time in ms of a call at a target that had a factor. The factor must not have learned from this call yet: a
// long one would count for less than a short one, so that the estimate would be too low.
func (c *callTimes) add(level int, took, f float64) {
	m := &c[level]
	m.sum = m.sum*levelDecay + took
	m.n = m.n*levelDecay + f
}

// scale multiplies all estimates by a factor.
func (c *callTimes) scale(x float64) {
	for i := range c {
		c[i].sum *= x
	}
}

// get returns the estimate for a level, and whether there are enough observations. It never falls with the level: a
// level without many observations has about that of the levels below.
func (c *callTimes) get(level int) (ms float64, known bool) {
	n := 0.0
	for i := range level + 1 {
		m := &c[i]
		if m.n == 0 {
			continue
		}
		if n == 0 {
			ms = m.sum / m.n
		} else {
			ms = max(ms, (m.sum+levelPrior*ms)/(m.n+levelPrior))
		}
		n += m.n
	}
	return ms, n >= minObservations
}

// factorWeight returns the weight with which a target's factor learns from a call of a level. It is low for full targets,
// whose longer times would otherwise be learned as a lasting slowness of the target.
func (c *callTimes) factorWeight(level int) float64 {
	const half, fullWeight = fillLevels/2 - 1, 0.1
	if _, known := c.get(half); known && level > half {
		return fullWeight
	}
	return 1
}

// isCall reports whether a job has neither a prompt nor events, so that its first event is its whole answer.
func (j *Job) isCall() bool { return j.Prompt == 0 && j.Events == 0 }

// firstEventTime estimates the time in ms to a job's first event at a target of factor 1 and capacity slots that has
// pending prompt tokens to read first and runs so many requests, the job included.
func (p *Planner) firstEventTime(job *Job, at occupancy) float64 {
	if job.isCall() && at.pending == 0 && !p.off.Off(ablation.CallTimes) {
		if ms, known := p.callTimes.get(fillLevel(at.running, at.capacity)); known {
			return ms
		}
	}
	return p.timings.firstEventTime(at.pending + job.Prompt)
}

// delayOfCalls estimates in ms by how much a call delays the others that run on a target, over all of them: what they
// take longer, for the half of their time that is left on average.
func (p *Planner) delayOfCalls(job *Job, at occupancy) float64 {
	if !job.isCall() || at.running <= 1 {
		return 0
	}
	const left = 0.5
	fewer := at
	fewer.running--
	return left * float64(fewer.running) * max(0, p.firstEventTime(job, at)-p.firstEventTime(job, fewer))
}

// learnFirstEvent learns from the time to a run's first event.
func (p *Planner) learnFirstEvent(now clock.Millis, r *run) {
	held := slowdown.Between(r.sampleAtGrant, r.target.slowdown.Sample(now))
	took := float64(now-r.grantedAt) / float64(held)
	t := r.target
	if !r.isCall() || r.promptAhead > 0 || p.off.Off(ablation.CallTimes) {
		p.timings.learnFirstEvent(&t.factor, r.promptAhead, took)
		return
	}
	level := fillLevel(r.concurrency, t.capacity())
	before := t.factor.get()
	if expected, known := p.callTimes.get(level); known {
		t.factor.learn(took/max(1, expected), p.callTimes.factorWeight(level))
	}
	p.callTimes.add(level, took, before)
	p.callLimit.add(now, level, took/before)
	p.timings.firstEvent.add(0, took, before)
}
