package dispatch

import "quaydock/pkg/telemetry"

// gauges returns the gauges of the services that this entry plans for. Their label is the service alone, since a
// deployment may have hundreds of client accounts.
func (owner *Owner) gauges() []telemetry.LabelledValue {
	now := owner.Clock.Now()
	owner.mu.Lock()
	defer owner.mu.Unlock()
	var values []telemetry.LabelledValue
	for service, g := range owner.planners {
		add := func(name string, n int) {
			values = append(values, telemetry.LabelledValue{Name: name, Label: "service", Labelled: string(service), Value: float64(n)})
		}
		accounts := g.planner.AccountSummary()
		add("accounts_present", accounts.Accounts)
		add("accounts_over_share", accounts.OverShare)
		add("refusals_over_share", accounts.Refusals)
		add("targets_slowed", g.planner.SlowedTargets(now))
		add("slots_present", g.planner.Slots())
		add("slots_usable", g.planner.UsableSlots(now))
		add("refusals_with_free_slots", g.planner.RefusalsWhileFree())
	}
	return values
}
