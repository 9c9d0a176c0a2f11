package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// ColdBounds limits what one cold target may get from all entries together in any second: Over times the rate that
// its service declares for cold targets, plus Slack requests.
type ColdBounds struct{ Over, Slack float64 }

// Fractions of the limit of ColdBounds. The remainder is for requests that reach their target late.
const (
	// coldFraction is what an owner grants, and coldFreshFraction what a newly started one grants: another may not yet
	// know that it is no longer the owner.
	coldFraction      = 0.55
	coldFreshFraction = 0.25
	// coldBurst is how many jobs a target may get at once after having had none for a while.
	coldBurst = 2.0
)

// Rate returns how many jobs per second an owner grants to one cold target of a service. An Over below 1 counts as 1.
func (b ColdBounds) Rate(s *routing.Service, agreement Agreement) float64 {
	limit := max(1, b.Over)*s.ColdPerSecond + b.Slack
	fraction := coldFraction
	if agreement.JustStarted {
		fraction = coldFreshFraction
	}
	return min(s.ColdPerSecond, fraction*limit) * agreement.Fraction
}

// coldLimit holds the rate limit of cold targets.
type coldLimit struct {
	service   *routing.Service // nil if unknown
	perSecond float64          // jobs per second that one cold target may get
}

// SetColdLimit sets the service of the targets, nil if unknown, and how many jobs per second one cold target may get.
// A target is cold until its ColdUntil, or for the service's ColdTime from its RestoredAt; without a service only
// ColdUntil counts, and none is cold if the service's ColdPerSecond is 0. With a rate of 0 a cold target gets no jobs
// beyond the tokens that its bucket still has.
func (p *Planner) SetColdLimit(s *routing.Service, perSecond float64) {
	p.cold = coldLimit{service: s, perSecond: perSecond}
}

// withinColdRate reports whether a target is warm, or may get one more job under the rate for cold targets. It creates
// the bucket of a target that is cold, and drops that of one that is warm.
func (p *Planner) withinColdRate(now clock.Millis, t *target) bool {
	if !t.Cold(now, p.cold.service) {
		t.coldBucket = nil
		return true
	}
	if t.coldBucket == nil {
		t.coldBucket = newTokenBucket(now)
	}
	return t.coldBucket.hasToken(now, p.cold.perSecond, coldBurst)
}
