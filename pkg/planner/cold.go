package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// ColdBounds bound what one cold target may get from all entries together in any second: Over times what its
// service says that it bears, and Slack requests more.
type ColdBounds struct{ Over, Slack float64 }

// Parts of the bound. What is left of it is for requests that reach their target late.
const (
	// coldPart is what a home gives out, and coldFreshPart what one does that has just begun: another may not know
	// yet that it is no longer the home.
	coldPart      = 0.55
	coldFreshPart = 0.25
	// coldSaved is how many jobs a target that has had none for a while may get at once.
	coldSaved = 2.0
)

// Rate is how many jobs a second a home gives one cold target of a service.
func (b ColdBounds) Rate(s *routing.Service, backing Agreement) float64 {
	most := max(1, b.Over)*s.ColdPerSecond + b.Slack
	part := coldPart
	if backing.JustStarted {
		part = coldFreshPart
	}
	return min(s.ColdPerSecond, part*most) * backing.Fraction
}

// coldLimit is what a planner gives cold targets.
type coldLimit struct {
	service   *routing.Service // nil if it is not known what its targets bear
	perSecond float64
}

// SetCold says of which service the targets are, nil if that is not known, and how many jobs a second a cold one
// may get.
func (p *Planner) SetColdLimit(s *routing.Service, perSecond float64) {
	p.cold = coldLimit{service: s, perSecond: perSecond}
}

// bearsCold reports whether a target may get one more job as far as it is cold.
func (p *Planner) bearsCold(now clock.Millis, t *target) bool {
	if !t.Cold(now, p.cold.service) {
		t.cold = nil
		return true
	}
	if t.cold == nil {
		t.cold = newBucket(now)
	}
	return t.cold.bears(now, p.cold.perSecond, coldSaved)
}
