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
	Rest    clock.Millis `json:"rest_ms"`
	// Limit is how many requests a second it takes from all entries, 0 with Limited false if it names no limit.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit_per_second,omitempty"`
}

// Reports describes all targets that leave, rest or are limited by their own word, by their ids.
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
			r.Service, r.Listed = t.Service, stateOf(t, s.Life)
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.Target, y.Target), cmp.Compare(x.Start, y.Start))
	})
	return reports
}

func stateOf(t *routing.Target, life ids.Life) string {
	switch {
	case !t.Life().Same(life):
		return "started again"
	case t.Leaving:
		return "leaving"
	default:
		return "ready"
	}
}
