package dispatch

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// registerSpillMetrics registers the gauges of a service that this entry plans for.
func (owner *Owner) registerSpillMetrics(service ids.Service) {
	gauge := func(name string, value func(planner.SpillCount) float64) {
		owner.Metrics.Prometheus.LabelledGauge(name, "service", string(service), func() float64 {
			return value(owner.spillCount(service))
		})
	}
	gauge("requests_local", func(c planner.SpillCount) float64 { return float64(c.Local) })
	gauge("requests_spilled", func(c planner.SpillCount) float64 { return float64(c.Spilled) })
	gauge("prompt_tokens_spilled", func(c planner.SpillCount) float64 { return float64(c.SpilledTokens) })
}

// spillCount returns the counts of the planner that this entry runs for a service, zero if another entry plans for it.
func (owner *Owner) spillCount(service ids.Service) planner.SpillCount {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	g := owner.planners[service]
	if g == nil {
		return planner.SpillCount{}
	}
	return g.planner.SpillCount()
}

// spillFields returns what a planner's line tells of spilled requests, nothing while all targets are in one failure domain.
func spillFields(s *planner.Summary) logrus.Fields {
	if s.Domains < 2 {
		return nil
	}
	return logrus.Fields{"domains": s.Domains, "local": s.Spills.Local, "spilled": s.Spills.Spilled, "spilled_tokens": int64(s.Spills.SpilledTokens)}
}
