package rollout

import (
	"cmp"
	"fmt"
	"slices"

	"quaydock/pkg/ids"
)

// Summary is the evidence of a trial in short.
type Summary struct {
	// Requests and Bad count the answers of the version on trial, and those that failed or
	// took far too long.
	Requests int `json:"requests"`
	Bad      int `json:"bad"`
	// Targets is how many of its targets have answered, Suspect how many of these look worse
	// than the old version's.
	Targets      int `json:"targets"`
	WorseTargets int `json:"suspect"`
	// Routes counts by route.
	Routes []RouteSummary `json:"routes,omitempty"`
}

// RouteSummary is the evidence on one route.
type RouteSummary struct {
	Route    ids.Route `json:"route"`
	Requests int       `json:"requests"`
	Bad      int       `json:"bad"`
	Old      int       `json:"old"` // requests to the old version meanwhile
	OldBad   int       `json:"old_bad"`
}

// plus adds what another summary counts, times times: 1, or -1 to take it away.
func (s Summary) plus(other Summary, times int) Summary {
	sum := Summary{Requests: s.Requests + times*other.Requests, Bad: s.Bad + times*other.Bad, Targets: s.Targets, WorseTargets: s.WorseTargets}
	routes := make(map[ids.Route]RouteSummary)
	for _, r := range s.Routes {
		routes[r.Route] = r
	}
	for _, r := range other.Routes {
		known := routes[r.Route]
		routes[r.Route] = RouteSummary{
			Route: r.Route, Requests: known.Requests + times*r.Requests, Bad: known.Bad + times*r.Bad,
			Old: known.Old + times*r.Old, OldBad: known.OldBad + times*r.OldBad,
		}
	}
	for _, r := range routes {
		sum.Routes = append(sum.Routes, r)
	}
	slices.SortFunc(sum.Routes, func(a, b RouteSummary) int { return cmp.Compare(a.Route, b.Route) })
	return sum
}

// doubt says what speaks against the version in these counts, which those of earlier homes
// are part of.
func (s *Summary) doubt() string {
	for _, r := range s.Routes {
		if r.Bad < pooledBad || r.Requests <= 0 {
			continue
		}
		rate := badRate(map[ids.TargetIncarnation]tally{{}: {max(0, r.Old), max(0, r.OldBad)}})
		if luck := atLeast(r.Requests, rate, r.Bad); luck <= pooledDoubt {
			return fmt.Sprintf("%d of %d answers bad on route %s since the order, %d of %d of the old version (chance %.1g)", r.Bad, r.Requests, r.Route, r.OldBad, r.Old, luck)
		}
	}
	return ""
}
