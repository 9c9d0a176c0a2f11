package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// SetTargets sets the targets that may get jobs, including those that run a canary version. Runs on other targets
// continue. Of a restarted target nothing is known but the number of runs of its former incarnation; these end when
// their entries report it.
func (p *Planner) SetTargets(now clock.Millis, offered []*routing.Target) {
	for _, t := range p.targets {
		t.offered = false
	}
	p.offered = p.offered[:0]
	for _, o := range offered {
		t := p.target(o)
		t.Target = o
		t.offered = true
		t.incarnations.listed = t
		p.offered = append(p.offered, t)
	}
	for _, t := range p.targets {
		p.forget(t)
	}
	p.relist(now)
	p.forgetVersionFloors()
	p.place(now)
}

// relist derives the lists of eligible and canary targets from the offered ones, without those that are draining.
func (p *Planner) relist(now clock.Millis) {
	p.eligible = p.eligible[:0]
	p.trial.targets = p.trial.targets[:0]
	p.slots = 0
	p.expected = expectedRate{}
	for _, t := range p.offered {
		switch {
		case t.draining:
		case t.Admission == routing.OnTrial:
			p.trial.targets = append(p.trial.targets, t)
		default:
			p.eligible = append(p.eligible, t)
			p.slots += t.capacity()
		}
	}
	p.updateRateLimited(now)
}

// target returns the state of a target incarnation, and creates it for a new one.
func (p *Planner) target(o *routing.Target) *target {
	if t := p.targets[o.Incarnation()]; t != nil {
		return t
	}
	group := p.incarnations[o.ID]
	if group == nil {
		group = &incarnations{}
		p.incarnations[o.ID] = group
	}
	group.known++
	t := &target{Target: o, incarnations: group, runs: make(map[JobID]*run)}
	p.targets[o.Incarnation()] = t
	return t
}

// forget removes an incarnation if it gets no more jobs and its last run has ended.
func (p *Planner) forget(t *target) {
	if t.offered || len(t.runs) > 0 {
		return
	}
	delete(p.targets, t.Incarnation())
	if t.incarnations.listed == t {
		t.incarnations.listed = nil
	}
	t.incarnations.known--
	if t.incarnations.known == 0 {
		delete(p.incarnations, t.ID)
	}
}

// incarnationAt returns the incarnation that an entry names, or nil if its target is unknown. An entry that has not
// read of a restart names the former one, which is then kept until its runs end.
func (p *Planner) incarnationAt(at ids.TargetIncarnation) *target {
	if t := p.knownIncarnation(at); t != nil {
		return t
	}
	group := p.incarnations[at.Target]
	if group == nil || group.listed == nil {
		return nil
	}
	former := *group.listed.Target
	former.Start = at.Start
	return p.target(&former)
}

// knownIncarnation returns the incarnation that an entry names, or else the listed one if that may be the same, as the
// start is missing in one of the two names; nil if neither is known.
func (p *Planner) knownIncarnation(at ids.TargetIncarnation) *target {
	if t := p.targets[at]; t != nil {
		return t
	}
	if group := p.incarnations[at.Target]; group != nil && group.listed != nil && group.listed.Incarnation().Same(at) {
		return group.listed
	}
	return nil
}
