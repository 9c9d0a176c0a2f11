package routing

import "quaydock/pkg/ids"

// ShareWeight returns the weight of an account's share of scarce capacity: its allowance relative to the mean allowance
// of the accounts of its tier that count the same unit. Accounts without a limit, unknown ones, and requests without an
// account weigh as much as that mean: 1.
func (c *Catalog) ShareWeight(name ids.Account) float64 {
	if w, known := c.weights[name]; known {
		return w
	}
	return 1
}

// allowanceKind is what allowances have in common that can be compared.
type allowanceKind struct {
	tier   ids.TierRank
	tokens bool
}

// shareWeights returns the weights of the accounts that have a limit.
func shareWeights(accounts []*Account) map[ids.Account]float64 {
	sums, counts := make(map[allowanceKind]float64), make(map[allowanceKind]float64)
	for _, a := range accounts {
		if a.PerSecond > 0 {
			kind := allowanceKind{a.Tier, a.CountsTokens}
			sums[kind] += a.PerSecond
			counts[kind]++
		}
	}
	weights := make(map[ids.Account]float64)
	for _, a := range accounts {
		if a.PerSecond > 0 {
			kind := allowanceKind{a.Tier, a.CountsTokens}
			weights[a.Name] = a.PerSecond * counts[kind] / sums[kind]
		}
	}
	return weights
}
