package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// WaitOf is how long a waiting job is reckoned to wait, and whether it waits.
func (p *Planner) WaitOf(now clock.Millis, id JobID) (clock.Millis, bool) {
	i := p.queue.find(id)
	if i < 0 {
		return 0, false
	}
	w := p.queue.jobs[i]
	return p.wait(now, w, p.queue.ahead(now, w)), true
}

// Granted returns the life of the target that a job has been given, if any.
func (p *Planner) Granted(id JobID) (ids.TargetIncarnation, bool) {
	g, granted := p.GrantOf(id)
	return g.Incarnation, granted
}

// Lives is how many lives of targets are known.
func (p *Planner) Lives() int {
	return len(p.targets)
}
