package domains

import (
	"cmp"
	"maps"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Report describes a failure domain to operators.
type Report struct {
	Domain  ids.FailureDomain `json:"domain"`
	Drained bool              `json:"drained"`
	Targets int               `json:"targets"`
	// Cold is how many of the targets get a limited rate of requests, as they are cold or may be.
	Cold int `json:"cold"`
}

// Reports describes the failure domains of the listed targets, ordered by name. The catalog may be nil if none was read
// yet.
func Reports(now clock.Millis, listed *routing.Directory, catalog *routing.Catalog) []Report {
	known := make(map[ids.FailureDomain]Report)
	for _, t := range listed.All() {
		r := known[t.Domain]
		r.Domain = t.Domain
		r.Targets++
		r.Drained = r.Drained || t.Drained
		if t.Cold(now, catalog.Service(t.Service)) {
			r.Cold++
		}
		known[t.Domain] = r
	}
	return slices.SortedFunc(maps.Values(known), func(a, b Report) int { return cmp.Compare(a.Domain, b.Domain) })
}
