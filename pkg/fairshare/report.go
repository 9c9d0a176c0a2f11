package fairshare

import (
	"cmp"
	"slices"

	"quaydock/pkg/ids"
)

// Report is the standing of a client account in a tier of a service, for operators.
type Report struct {
	Service ids.Service
	Tier    ids.TierRank
	Standing
}

// SortReports sorts reports by service and tier, those of the accounts that hold most first.
func SortReports(reports []Report) {
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier), cmp.Compare(b.Use, a.Use), cmp.Compare(a.Account, b.Account))
	})
}
