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
	Rest    clock.Millis `json:"rest_ms"`
	// Limit is how many requests per second it takes from all entries; it is 0, and Limited false, without a limit.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit_per_second,omitempty"`
}

// Reports describes all targets that are leaving, backing off or limited by their own report, ordered by id.
func (b *Book) Reports(listed *routing.Directory) []Report {
	reports := []Report{}
	for _, s := range b.All() {
		if !s.Bars() && !s.Limit.Limits() {
			continue
		}
		r := Report{Target: s.Life.Target, Start: s.Life.Start, Listed: "not listed", Leaving: s.Leaving, Rest: s.Rest, Limited: s.Limit.Limits()}
		if r.Limited {
			r.Limit = float64(s.Limit.Rate)
		}
		if t := listed.Target(s.Life.Target); t != nil {
			r.Service, r.Listed = t.Service, listedState(t, s.Life)
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.Target, y.Target), cmp.Compare(x.Start, y.Start))
	})
	return reports
}

func listedState(t *routing.Target, incarnation ids.Life) string {
	switch {
	case !t.Life().Same(incarnation):
		return "started again"
	case t.Leaving:
		return "leaving"
	default:
		return "ready"
	}
}
