package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// SetTargets says which targets may get work, or are on trial. What runs on others goes on. Of a
// target that has started again nothing is known but how many runs its former life still has:
// these end when their entries say so.
func (p *Planner) SetTargets(now clock.Millis, offered []*routing.Target) {
	for _, t := range p.targets {
		t.offered = false
	}
	p.offered = p.offered[:0]
	for _, o := range offered {
		t := p.target(o)
		t.Target = o
		t.offered = true
		t.lives.listed = t
		p.offered = append(p.offered, t)
	}
	for _, t := range p.targets {
		p.forget(t)
	}
	p.relist(now)
	p.place(now)
}

// relist makes the lists of those that may get work of what is offered, without those that leave by their
// own word.
func (p *Planner) relist(now clock.Millis) {
	p.list = p.list[:0]
	p.trial.targets = p.trial.targets[:0]
	p.slots = 0
	for _, t := range p.offered {
		switch {
		case t.leaving:
		case t.Admission == routing.OnTrial:
			p.trial.targets = append(p.trial.targets, t)
		default:
			p.list = append(p.list, t)
			p.slots += t.limit()
		}
	}
	p.countBounded(now)
}

// target returns what is known of a life of a target, and begins with nothing for a new one.
func (p *Planner) target(o *routing.Target) *target {
	if t := p.targets[o.Incarnation()]; t != nil {
		return t
	}
	of := p.lives[o.ID]
	if of == nil {
		of = &lives{}
		p.lives[o.ID] = of
	}
	of.known++
	t := &target{Target: o, lives: of, runs: make(map[JobID]*run)}
	p.targets[o.Incarnation()] = t
	return t
}

// forget forgets a life that gets no more work once it has none left.
func (p *Planner) forget(t *target) {
	if t.offered || len(t.runs) > 0 {
		return
	}
	delete(p.targets, t.Incarnation())
	if t.lives.listed == t {
		t.lives.listed = nil
	}
	t.lives.known--
	if t.lives.known == 0 {
		delete(p.lives, t.ID)
	}
}

// lifeAt returns the life that an entry names, or nil if its target is not known at all. An entry
// that has not read of a new start names the former one, which is then known until its runs end.
func (p *Planner) lifeAt(at ids.TargetIncarnation) *target {
	if t := p.knownLife(at); t != nil {
		return t
	}
	of := p.lives[at.Target]
	if of == nil || of.listed == nil {
		return nil
	}
	former := *of.listed.Target
	former.Start = at.Start
	return p.target(&former)
}

// knownLife returns a known life that may be the one that an entry names, or nil.
func (p *Planner) knownLife(at ids.TargetIncarnation) *target {
	if t := p.targets[at]; t != nil {
		return t
	}
	if of := p.lives[at.Target]; of != nil && of.listed != nil && of.listed.Incarnation().Same(at) {
		return of.listed
	}
	return nil
}
