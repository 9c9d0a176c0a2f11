package domains

import (
	"cmp"
	"maps"
	"slices"

	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Report is what operators are told of a failure domain.
type Report struct {
	Domain  ids.FailureDomain `json:"domain"`
	Drained bool              `json:"drained"`
	Targets int               `json:"targets"`
}

// Reports tells of the failure domains of a list of targets, by their names.
func Reports(listed *routing.Directory) []Report {
	known := make(map[ids.FailureDomain]Report)
	for _, t := range listed.All() {
		r := known[t.Domain]
		r.Domain = t.Domain
		r.Targets++
		r.Drained = r.Drained || t.Drained
		known[t.Domain] = r
	}
	return slices.SortedFunc(maps.Values(known), func(a, b Report) int { return cmp.Compare(a.Domain, b.Domain) })
}
