package dispatch

import (
	"math"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// summaryInterval is the time between two log lines with a planner's estimates.
const summaryInterval = 5 * clock.Second

// logSummary logs a planner's counts and estimates every summaryInterval; the caller holds the lock.
func (owner *Owner) logSummary(now clock.Millis, service ids.Service, g *servicePlanner) {
	if now-g.lastLogged < summaryInterval {
		return
	}
	g.lastLogged = now
	s := g.planner.Summary(now)
	owner.Log.WithFields(accountFields(&s.Accounts)).WithFields(slotFields(&s)).WithFields(logrus.Fields{
		"service": string(service), "targets": s.Targets, "aside": s.Ejected, "slots": s.Slots, "running": s.Running,
		"waiting": s.Waiting, "per_second": roundToTenth(s.PerSecond),
		"slowed": s.Slowed, "limited": s.Limited, "limited_per_second": roundToTenth(s.LimitedPerSecond),
		"first_ms": roundToTenth(s.FirstEventBase), "first_per_1000_tokens_ms": roundToTenth(s.FirstEventPerThousand),
		"pause_ms": roundToTenth(s.IntervalBase), "pause_per_run_ms": roundToTenth(s.IntervalPerRun), "hold_ms": roundToTenth(s.PrefillStall), "factors": roundFactors(s.Factors),
	}).Info("planning")
}

// roundToTenth rounds to one decimal, for logs.
func roundToTenth(x float64) float64 {
	const tenth = 10
	return math.Round(x*tenth) / tenth
}

// roundFactors rounds speed factors by target, for logs.
func roundFactors(m map[ids.Target]float64) map[string]float64 {
	rounded := make(map[string]float64, len(m))
	for id, f := range m {
		rounded[string(id)] = roundToTenth(f)
	}
	return rounded
}

// plannedCounts returns the numbers of waiting and running requests in the planners of this entry.
func (owner *Owner) plannedCounts() (waiting, running int) {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	for _, g := range owner.planners {
		waiting += g.planner.Waiting()
		running += g.planner.Running()
	}
	return waiting, running
}
