package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/slowdown"
)

// WaitOf returns the estimated wait of a job, and whether it waits.
func (p *Planner) WaitOf(now clock.Millis, id JobID) (clock.Millis, bool) {
	i := p.queue.find(id)
	if i < 0 {
		return 0, false
	}
	w := p.queue.jobs[i]
	return p.estimateWait(now, w, p.queue.countAhead(now, w)), true
}

// Granted returns the target incarnation that a job was assigned to, if any.
func (p *Planner) Granted(id JobID) (ids.TargetIncarnation, bool) {
	g, granted := p.RunningGrant(id)
	return g.Incarnation, granted
}

// Incarnations returns the number of known target incarnations.
func (p *Planner) Incarnations() int {
	return len(p.targets)
}

// ReportSlowdown records a report of a target outside of an answer.
func (p *Planner) ReportSlowdown(now clock.Millis, at ids.TargetIncarnation, f slowdown.Factor) {
	p.recordSlowdown(now, p.targets[at], f)
}
