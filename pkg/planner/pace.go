package planner

import (
	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
	"quaydock/pkg/slowdown"
)

// pace is how fast a target works from a moment on, relative to one of factor 1 that reports no slowdown.
type pace struct {
	factor   float64 // of the target, which lasts
	slowdown slowdown.Forecast
}

// normalPace returns that of a target of which nothing is known.
func normalPace() pace { return pace{factor: 1} }

// current returns by how much the target is slower at the moment.
func (c pace) current() float64 { return c.factor * float64(c.slowdown.Now()) }

// duration returns the time in ms for which the target works on what takes ms at the normal pace.
func (c pace) duration(ms float64) float64 {
	work := c.factor * ms
	return work * float64(c.slowdown.Over(work))
}

// pace returns the pace of a target from now on.
func (p *Planner) pace(now clock.Millis, t *target) pace {
	return pace{factor: t.factor.get(), slowdown: t.slowdown.Forecast(now)}
}

// recordSlowdown records how long work takes at a target now, if the target has reported it.
func (p *Planner) recordSlowdown(now clock.Millis, t *target, reported slowdown.Factor) {
	if !p.off.Off(ablation.TargetSlowdown) {
		t.slowdown.Report(now, reported, &p.persistence)
	}
}

// meanSlowdown returns the mean slowdown of a run's target since a moment at which the total of the target's slowdown was
// from.
func (r *run) meanSlowdown(now, since clock.Millis, from float64) float64 {
	return float64(slowdown.MeanOver(from, r.target.slowdown.Total(now), now-since))
}

// meanExcess returns the mean slowdown since the grant in relation to what the target has in the mean.
func (r *run) meanExcess(now clock.Millis) float64 {
	return r.meanSlowdown(now, r.grantedAt, r.totalAtGrant) / float64(r.target.slowdown.Mean())
}

// VisitSlownessChanges calls visit for each target that has become slowed, or is so no more, since the last call.
func (p *Planner) VisitSlownessChanges(now clock.Millis, visit func(t *routing.Target, slowed bool, f slowdown.Factor)) {
	for _, t := range p.eligible {
		forecast := t.slowdown.Forecast(now)
		if slowed := forecast.Slowed(); slowed != t.visitedSlowed {
			t.visitedSlowed = slowed
			visit(t.Target, slowed, forecast.Now())
		}
	}
}

// SlowedTargets returns the number of targets that are slowed now by their own reports.
func (p *Planner) SlowedTargets(now clock.Millis) int {
	n := 0
	for _, t := range p.eligible {
		if t.slowdown.Forecast(now).Slowed() {
			n++
		}
	}
	return n
}

// SlownessReport shows operators which targets of the service are slowed now by their own reports.
func (p *Planner) SlownessReport(now clock.Millis, service ids.Service) slowdown.ServiceReport {
	var slowed []slowdown.TargetReport
	for _, t := range p.eligible {
		forecast := t.slowdown.Forecast(now)
		if forecast.Slowed() {
			slowed = append(slowed, slowdown.TargetReport{Target: t.ID, Start: t.Start, Factor: forecast.Now(), Mean: t.slowdown.Mean(), Age: t.slowdown.Age(now)})
		}
	}
	return slowdown.NewServiceReport(service, len(p.eligible), slowed)
}
