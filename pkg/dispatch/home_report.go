package dispatch

import (
	"math"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// reportEvery is how often a planner's beliefs are logged.
const reportEvery = 5 * clock.Second

func (h *Owner) report(now clock.Millis, service ids.Service, g *hosted) {
	if now-g.reported < reportEvery {
		return
	}
	g.reported = now
	s := g.planner.Summary(now)
	h.Log.WithFields(logrus.Fields{
		"service": string(service), "targets": s.Targets, "aside": s.Ejected, "slots": s.Slots, "running": s.Running,
		"waiting": s.Waiting, "per_second": round(s.PerSecond),
		"limited": s.Limited, "limited_per_second": round(s.LimitedPerSecond),
		"first_ms": round(s.FirstBase), "first_per_1000_tokens_ms": round(s.FirstPerThousand),
		"pause_ms": round(s.PauseBase), "pause_per_run_ms": round(s.PausePerRun), "hold_ms": round(s.PrefillStall), "factors": factors(s.Factors),
	}).Info("planning")
}

// round keeps a tenth, for logs.
func round(x float64) float64 {
	const tenth = 10
	return math.Round(x*tenth) / tenth
}

func factors(m map[ids.Target]float64) map[string]float64 {
	rounded := make(map[string]float64, len(m))
	for id, f := range m {
		rounded[string(id)] = round(f)
	}
	return rounded
}

// planned is how many requests wait and run in the planners of this entry.
func (h *Owner) planned() (waiting, running int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.groups {
		waiting += g.planner.Waiting()
		running += g.planner.Running()
	}
	return waiting, running
}
