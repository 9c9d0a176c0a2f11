package dispatch

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/slowdown"
)

// slownessLinesPerSecond is the maximum of log lines on slowed targets: they change several times a second, and the
// summary and the metrics tell their number.
const slownessLinesPerSecond = 2

// logSlowness logs which targets have become slowed by their own reports, or are so no more.
func (owner *Owner) logSlowness(now clock.Millis, p *planner.Planner) {
	p.VisitSlownessChanges(now, func(t *routing.Target, slowed bool, f slowdown.Factor) {
		if !owner.slownessSampler.Allow("slowness") {
			return
		}
		line := owner.Log.WithFields(logrus.Fields{"target": string(t.ID), "start": int64(t.Start), "service": string(t.Service), "times": roundToTenth(float64(f))})
		if slowed {
			line.Info("a target reports that work takes longer there")
			return
		}
		line.Info("a target no longer counts as slowed")
	})
}

// SlownessReports shows which targets are slowed now by their own reports, for each service that this entry plans for.
func (d *Dispatcher) SlownessReports() []slowdown.ServiceReport {
	owner := d.owner
	now := owner.Clock.Now()
	owner.mu.Lock()
	defer owner.mu.Unlock()
	reports := []slowdown.ServiceReport{}
	for _, service := range slices.Sorted(maps.Keys(owner.planners)) {
		reports = append(reports, owner.planners[service].planner.SlownessReport(now, service))
	}
	return reports
}
