package advisory

import (
	"cmp"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Report shows operators the advice that a target has given to one entry, beside the state of the target in the target
// list.
type Report struct {
	Target  ids.Target  `json:"target"`
	Start   ids.Start   `json:"start"`
	Service ids.Service `json:"service,omitempty"`
	// Listed is "ready", "leaving", "started again" or "not listed".
	Listed  string       `json:"listed"`
	Leaving bool         `json:"leaving"`
	Backoff clock.Millis `json:"rest_ms"` // remaining
	// Limit is how many requests per second it takes from all entries; it is 0, and Limited false, without a limit.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit_per_second,omitempty"`
}

// Reports describes all targets that are leaving, backing off or limited by their own report, ordered by id.
func (tr *Tracker) Reports(listed *routing.Directory) []Report {
	reports := []Report{}
	for _, s := range tr.All() {
		if !s.Blocks() && !s.Limit.IsLimited() {
			continue
		}
		r := Report{Target: s.Incarnation.Target, Start: s.Incarnation.Start, Listed: "not listed", Leaving: s.Leaving, Backoff: s.Backoff, Limited: s.Limit.IsLimited()}
		if r.Limited {
			r.Limit = float64(s.Limit.Rate)
		}
		if t := listed.Target(s.Incarnation.Target); t != nil {
			r.Service, r.Listed = t.Service, listedState(t, s.Incarnation)
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.Target, y.Target), cmp.Compare(x.Start, y.Start))
	})
	return reports
}

// listedState returns Report.Listed for a listed target and the incarnation that gave the advice.
func listedState(t *routing.Target, incarnation ids.TargetIncarnation) string {
	switch {
	case !t.Incarnation().Same(incarnation):
		return "started again"
	case t.Leaving:
		return "leaving"
	default:
		return "ready"
	}
}
