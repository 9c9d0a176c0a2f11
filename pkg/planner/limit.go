package planner

import (
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
)

// A target that reports a rate limit takes that many requests per second from all entries together, and not many
// more than that in any limitWindow. One planner grants them for all entries.
const (
	limitWindow = 4.0 // seconds
	// limitBurst is how many jobs a limited target may get at once after having had none for a while.
	limitBurst = 2.0
	// minProbeRate is the rate in jobs per second granted to a target with a lower limit: only its answers report
	// that the limit was raised.
	minProbeRate = 1 / limitWindow
	// limitFreshFraction is the fraction of a limit that a new owner grants: another entry may not yet know that it
	// is no longer the owner.
	limitFreshFraction = 0.25
	// minWindowJobs is the least number of jobs per window that an owner grants when most entries do not agree with
	// it. With fewer, the fractions that several such owners round up would sum to more than the limit.
	minWindowJobs = 2.0
)

// Agreement tells how certain it is that a planner is the only one for its targets.
type Agreement struct {
	// Fraction is the fraction of entries that certainly take no other entry for the owner.
	Fraction float64
	// JustStarted is set if the planner has just started.
	JustStarted bool
}

// majority reports whether most entries agree, so that no other owner has as many.
func (a Agreement) majority() bool { return a.Fraction > 0.5 }

// Rate returns how many jobs per second a planner grants to a target with a rate limit, 0 if it may grant none (see
// minWindowJobs).
func (a Agreement) Rate(limit ratelimit.Rate) float64 {
	fraction := a.Fraction
	if a.JustStarted {
		fraction *= limitFreshFraction
	}
	rate := fraction * float64(limit)
	switch {
	case a.majority():
		return max(rate, minProbeRate)
	case rate*limitWindow < minWindowJobs:
		return 0
	default:
		return rate
	}
}

// burst returns how many jobs a limited target may get at once: one if most entries do not agree, since other owners
// may then grant at the same time.
func (a Agreement) burst() float64 {
	if a.majority() {
		return limitBurst
	}
	return 1
}

// SetAgreement sets how certain it is that this planner is the only one.
func (p *Planner) SetAgreement(b Agreement) { p.agreement = b }

// SetLimit merges a limit report of a target. It returns the report now in force and whether it changes the limit. It
// ignores an unknown target and a report with Known unset, and returns the zero report.
func (p *Planner) SetLimit(now clock.Millis, at ids.TargetIncarnation, report ratelimit.Report) (inForce ratelimit.Report, changed bool) {
	t := p.knownIncarnation(at)
	if t == nil || !report.Known {
		return ratelimit.Report{}, false
	}
	before := t.rateLimit
	t.rateLimit = before.Merge(report)
	if t.rateLimit.IsLimited() && t.limitBucket == nil {
		t.limitBucket = newTokenBucket(now)
	}
	if !t.rateLimit.IsLimited() {
		t.limitBucket = nil
	}
	p.updateRateLimited(now)
	return t.rateLimit, t.rateLimit.Differs(before)
}

// withinLimit reports whether a target may get one more job under the limit that it reported. While the rate is 0 it
// gets none, also if its bucket still holds tokens.
func (p *Planner) withinLimit(now clock.Millis, t *target) bool {
	if t.limitBucket == nil {
		return true
	}
	rate := p.agreement.Rate(t.rateLimit.Rate)
	return t.limitBucket.hasToken(now, rate, p.agreement.burst()) && rate > 0
}

// HasLimitedTargets reports whether any offered target reports a limit.
func (p *Planner) HasLimitedTargets() bool {
	return slices.ContainsFunc(p.offered, func(t *target) bool { return t.limitBucket != nil })
}

// updateRateLimited determines which targets may get fewer jobs than their slots allow: those that report a limit or
// are cold.
func (p *Planner) updateRateLimited(now clock.Millis) {
	p.rateLimited = p.rateLimited[:0]
	for _, t := range p.eligible {
		if t.limitBucket != nil || t.Cold(now, p.cold.service) {
			p.rateLimited = append(p.rateLimited, t)
		}
	}
}

// expectedReleases returns how many jobs per second all slots can complete, less what targets that are slowed now
// complete fewer, and the slots of rate-limited targets that the limit leaves unused. It is computed once at a time, as
// the wait of each queued job depends on it.
func (p *Planner) expectedReleases(now clock.Millis) float64 {
	if p.expected.at != now {
		p.expected = expectedRate{at: now, perSecond: p.computeExpectedReleases(now)}
	}
	return p.expected.perSecond
}

// expectedRate is the result of expectedReleases at a time; the zero value is none.
type expectedRate struct {
	at        clock.Millis
	perSecond float64
}

// computeExpectedReleases computes expectedReleases.
func (p *Planner) computeExpectedReleases(now clock.Millis) float64 {
	perSlot := float64(clock.Second) / p.runTime.get()
	sum := float64(p.slots) * perSlot
	for _, t := range p.eligible {
		used := float64(p.slotsForCalls(now, t))
		sum -= (float64(t.capacity()) - used) * perSlot
		if c := t.slowdown.Forecast(now); c.Slowed() {
			sum -= used * perSlot * (1 - 1/c.Excess())
		}
	}
	for _, t := range p.rateLimited {
		unlimited := float64(t.capacity()) * perSlot
		sum -= max(0, unlimited-p.maxRate(t))
	}
	return sum
}

// maxRate returns the highest rate of grants to a target of rateLimited, in jobs per second.
func (p *Planner) maxRate(t *target) float64 {
	limit := float64(ratelimit.Unlimited)
	if t.limitBucket != nil {
		limit = p.agreement.Rate(t.rateLimit.Rate)
	}
	if t.coldBucket != nil {
		limit = min(limit, p.cold.perSecond)
	}
	return limit
}
