package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Summary is what a planner believes, for logs and metrics.
type Summary struct {
	Targets, Ejected, Slots, Running, Waiting int
	// PerSecond is how many jobs end a second.
	PerSecond float64
	// Limited is how many targets name a limit, and LimitedPerSecond how many jobs a second they get together at the most.
	Limited          int
	LimitedPerSecond float64
	// FirstBase and FirstPerThousand are the time to a first event in ms, and
	// how much each 1,000 tokens of prompt add; PauseBase and PausePerRun are
	// the time between events, and what each further run adds.
	FirstBase, FirstPerThousand, PauseBase, PausePerRun float64
	// Hold is the longest that prompts being read hold up one event, in ms.
	PrefillStall float64
	// Factors says how much slower than the others each target is.
	Factors map[ids.Target]float64
}

// Summary describes the planner.
func (p *Planner) Summary(now clock.Millis) Summary {
	s := Summary{
		Targets: len(p.list), Slots: p.slots, Running: len(p.runs), Waiting: len(p.queue.jobs),
		PerSecond: p.releases.perSecond(now), Factors: make(map[ids.Target]float64, len(p.list)),
	}
	s.FirstBase, s.FirstPerThousand = p.speeds.first.fit()
	s.FirstPerThousand *= 1000
	s.PauseBase, s.PausePerRun = p.speeds.pause.fit()
	s.PrefillStall = p.speeds.hold.get()
	for _, t := range p.list {
		s.Factors[t.ID] = t.factor.get()
		if t.health.Ejected(now) {
			s.Ejected++
		}
		if t.limited != nil {
			s.Limited++
			s.LimitedPerSecond += p.backing.Rate(t.takes.Rate)
		}
	}
	return s
}
