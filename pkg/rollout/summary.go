package rollout

import (
	"cmp"
	"fmt"
	"slices"

	"quaydock/pkg/ids"
)

// Summary is a short form of the evidence of a trial.
type Summary struct {
	// Requests counts the answers of the canary, and Bad those that failed or took far too long.
	Requests int `json:"requests"`
	Bad      int `json:"bad"`
	// Targets is the number of its targets that have answered at least minAnswersPerTarget times, and WorseTargets the
	// number of those that look worse than the old version's.
	Targets      int `json:"targets"`
	WorseTargets int `json:"suspect"`
	// Routes holds the counts by route.
	Routes []RouteSummary `json:"routes,omitempty"`
}

// RouteSummary is the evidence on one route.
type RouteSummary struct {
	Route    ids.Route `json:"route"`
	Requests int       `json:"requests"` // answers of the canary
	Bad      int       `json:"bad"`
	Old      int       `json:"old"` // answers of the old version over the same time
	OldBad   int       `json:"old_bad"`
}

// plus adds the counts of another summary, multiplied by times: 1 to add, -1 to subtract. The numbers of targets stay
// those of s, since both summaries may count the same ones.
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

// objection returns the first route on which the canary has so many more bad answers than the old version that it may
// be bad, or an empty text. The counts include those of earlier owners.
func (s *Summary) objection() string {
	for _, r := range s.Routes {
		if r.Bad < pooledMinBad || r.Requests <= 0 {
			continue
		}
		rate := badRate(map[ids.TargetIncarnation]tally{{}: {max(0, r.Old), max(0, r.OldBad)}})
		if probability := binomialTail(r.Requests, rate, r.Bad); probability <= pooledPossiblyBadProbability {
			return fmt.Sprintf("%d of %d answers bad on route %s since the order, %d of %d of the old version (chance %.1g)", r.Bad, r.Requests, r.Route, r.OldBad, r.Old, probability)
		}
	}
	return ""
}
