package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Summary holds the planner's state and estimates, for logs and metrics.
type Summary struct {
	// Targets is the number of eligible targets, Ejected the number of those that are ejected, and Slots what they have
	// together. Running and Waiting count jobs.
	Targets, Ejected, Slots, Running, Waiting int
	// Usable is how many of the slots are used at most, and Limits are the targets that do not use all of theirs.
	Usable int
	Limits []SlotUse
	// CallTimes holds the estimated times of calls by level of fill, without levels that nothing was observed on.
	CallTimes []CallLevel
	// RefusalsWhileFree counts the refusals while half of the slots or more ran nothing.
	RefusalsWhileFree int
	// PerSecond is the rate at which jobs end, without those at canary targets.
	PerSecond float64
	// Limited is the number of targets that report a rate limit, and LimitedPerSecond the total rate of jobs that
	// they may get.
	Limited          int
	LimitedPerSecond float64
	// FirstEventBase is the time to a first event in ms and FirstEventPerThousand the increase per 1,000 prompt tokens;
	// IntervalBase is the time between events in ms and IntervalPerRun the increase per concurrent run.
	FirstEventBase, FirstEventPerThousand, IntervalBase, IntervalPerRun float64
	// PrefillStall is the longest delay that prompts being read cause to one event, in ms.
	PrefillStall float64
	// Slowed is the number of targets that are slowed now by their own reports.
	Slowed int
	// Accounts tells of the client accounts that share the slots.
	Accounts AccountSummary
	// Factors holds by how much each target is slower than the others.
	Factors map[ids.Target]float64
}

// Summary returns the planner's state at a moment.
func (p *Planner) Summary(now clock.Millis) Summary {
	s := Summary{
		Targets: len(p.eligible), Slots: p.slots, Running: len(p.runs), Waiting: len(p.queue.jobs),
		Accounts: p.AccountSummary(), PerSecond: p.releases.perSecond(now), Slowed: p.SlowedTargets(now),
		Usable: p.UsableSlots(now), Limits: p.limitedTargets(now), RefusalsWhileFree: p.refusalsWhileFree, CallTimes: p.callLimit.report(now),
		Factors: make(map[ids.Target]float64, len(p.eligible)),
	}
	s.FirstEventBase, s.FirstEventPerThousand = p.timings.firstEvent.fit()
	s.FirstEventPerThousand *= 1000
	s.IntervalBase, s.IntervalPerRun = p.timings.interval.fit()
	s.PrefillStall = p.timings.prefillStall.get()
	for _, t := range p.eligible {
		s.Factors[t.ID] = t.factor.get()
		if t.health.Ejected(now) {
			s.Ejected++
		}
		if t.limitBucket != nil {
			s.Limited++
			s.LimitedPerSecond += p.agreement.Rate(t.rateLimit.Rate)
		}
	}
	return s
}
