package slowdown

import (
	"cmp"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// ServiceReport shows operators which targets of a service are slowed now by their own reports.
type ServiceReport struct {
	Service ids.Service `json:"service"`
	Targets int         `json:"targets"` // that may get any request
	Slowed  int         `json:"slowed"`  // of these
	// Slowest are the slowest of the slowed targets, up to maxReported.
	Slowest []TargetReport `json:"slowest"`
}

// TargetReport shows operators one target that is slowed now.
type TargetReport struct {
	Target ids.Target `json:"target"`
	Start  ids.Start  `json:"start"`
	Factor Factor     `json:"times"` // expected now, by the newest report
	Mean   Factor     `json:"mean"`  // of the target's reports
	// Age is the time since the newest report.
	Age clock.Millis `json:"age_ms"`
}

// maxReported limits the targets that a ServiceReport names: a service may have thousands.
const maxReported = 20

// NewServiceReport returns the report of a service that has so many targets, of which some are slowed.
func NewServiceReport(service ids.Service, targets int, slowed []TargetReport) ServiceReport {
	slowest := slices.SortedFunc(slices.Values(slowed), func(a, b TargetReport) int {
		return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Target, b.Target))
	})
	return ServiceReport{Service: service, Targets: targets, Slowed: len(slowed), Slowest: slowest[:min(len(slowest), maxReported)]}
}
