package advisory

import (
	"cmp"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Report is what operators are shown of a target that has said something of itself: its own word at one entry,
// beside what the list of targets says.
type Report struct {
	Target  ids.Target  `json:"target"`
	Start   ids.Start   `json:"start"`
	Service ids.Service `json:"service,omitempty"`
	// Listed is "ready", "leaving", "started again" or "not listed".
	Listed  string       `json:"listed"`
	Leaving bool         `json:"leaving"`
	Backoff clock.Millis `json:"rest_ms"`
	// Limit is how many requests a second it takes from all entries, 0 with Limited false if it names no limit.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit_per_second,omitempty"`
}

// Reports describes all targets that leave, rest or are limited by their own word, by their ids.
func (b *Tracker) Reports(listed *routing.Directory) []Report {
	reports := []Report{}
	for _, s := range b.All() {
		if !s.Blocks() && !s.Limit.IsLimited() {
			continue
		}
		r := Report{Target: s.Incarnation.Target, Start: s.Incarnation.Start, Listed: "not listed", Leaving: s.Leaving, Backoff: s.Backoff, Limited: s.Limit.IsLimited()}
		if r.Limited {
			r.Limit = float64(s.Limit.Rate)
		}
		if t := listed.Target(s.Incarnation.Target); t != nil {
			r.Service, r.Listed = t.Service, stateOf(t, s.Incarnation)
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.Target, y.Target), cmp.Compare(x.Start, y.Start))
	})
	return reports
}

func stateOf(t *routing.Target, life ids.TargetIncarnation) string {
	switch {
	case !t.Incarnation().Same(life):
		return "started again"
	case t.Leaving:
		return "leaving"
	default:
		return "ready"
	}
}
