package planner

import (
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
)

// A target that names a limit takes so many requests a second from all entries together, and not many more than that in
// any limitWindow. One planner gives them out for all.
const (
	limitWindow = 4.0 // seconds
	// limitSaved is how many jobs a limited target that has had none for a while may get at once.
	limitSaved = 2.0
	// leastAsked is how many jobs a second a target gets that takes fewer: it tells in its answers alone that it takes
	// more again.
	leastAsked = 1 / limitWindow
	// limitFreshPart is what a home gives out that has just begun: another may not know yet that it is no longer the home.
	limitFreshPart = 0.25
	// limitLeastPart is how many jobs a window a home has to give out that most entries do not back. With fewer, what several
	// of them round up is more than their parts.
	limitLeastPart = 2.0
)

// Backing is how surely a planner is the only one of its targets.
type Agreement struct {
	// Part is the part of the entries that surely takes no other one for the home.
	Fraction float64
	// Fresh says that it has just begun.
	JustStarted bool
}

// most reports whether most entries back the planner, so that no other one is backed by as many.
func (b Agreement) most() bool { return b.Fraction > 0.5 }

// Rate is how many jobs a second a planner gives a target that takes so many.
func (b Agreement) Rate(takes ratelimit.Rate) float64 {
	part := b.Fraction
	if b.JustStarted {
		part *= limitFreshPart
	}
	rate := part * float64(takes)
	switch {
	case b.most():
		return max(rate, leastAsked)
	case rate*limitWindow < limitLeastPart:
		return 0
	default:
		return rate
	}
}

// saved is how many jobs a limited target may get at once.
func (b Agreement) saved() float64 {
	if b.most() {
		return limitSaved
	}
	return 1
}

// SetBacking says how surely this planner is the only one.
func (p *Planner) SetAgreement(b Agreement) { p.backing = b }

// SetLimit takes a word on how many jobs a second a target takes, and returns what stands then and whether
// that is new.
func (p *Planner) SetLimit(now clock.Millis, at ids.TargetIncarnation, w ratelimit.Report) (stands ratelimit.Report, changed bool) {
	t := p.knownLife(at)
	if t == nil || !w.Known {
		return ratelimit.Report{}, false
	}
	before := t.takes
	t.takes = before.Merge(w)
	if t.takes.IsLimited() && t.limited == nil {
		t.limited = newBucket(now)
	}
	if !t.takes.IsLimited() {
		t.limited = nil
	}
	p.countBounded(now)
	return t.takes, t.takes.Differs(before)
}

// bearsLimit reports whether a target may get one more job by the limit that it has named.
func (p *Planner) bearsLimit(now clock.Millis, t *target) bool {
	if t.limited == nil {
		return true
	}
	rate := p.backing.Rate(t.takes.Rate)
	return t.limited.bears(now, rate, p.backing.saved()) && rate > 0
}

// Limited reports whether a target names a limit.
func (p *Planner) Limited() bool {
	return slices.ContainsFunc(p.offered, func(t *target) bool { return t.limited != nil })
}

// countBounded works out which targets get fewer jobs than they have places for.
func (p *Planner) countBounded(now clock.Millis) {
	p.bounded = p.bounded[:0]
	for _, t := range p.list {
		if t.limited != nil || t.Cold(now, p.cold.service) {
			p.bounded = append(p.bounded, t)
		}
	}
}

// turnover is how many jobs a second all places can end, less those of bounded targets that nobody will be given.
func (p *Planner) turnover() float64 {
	perPlace := float64(clock.Second) / p.runTime.get()
	sum := float64(p.slots) * perPlace
	for _, t := range p.bounded {
		places := float64(t.limit()) * perPlace
		sum -= max(0, places-p.boundOf(t))
	}
	return sum
}

// boundOf is how many jobs a second a bounded target gets at the most.
func (p *Planner) boundOf(t *target) float64 {
	bound := float64(ratelimit.Unlimited)
	if t.limited != nil {
		bound = p.backing.Rate(t.takes.Rate)
	}
	if t.cold != nil {
		bound = min(bound, p.cold.perSecond)
	}
	return bound
}
