package fairshare

import "math"

// claim is what one account asks for, and its weight.
type claim struct {
	demand, weight float64
}

// level returns the max-min level of a capacity: each claim gets its demand or level times its weight, whichever is
// less, and these add up to the capacity. It is infinite if the capacity suffices for all demands. The claims are
// overwritten.
func level(capacity float64, claims []claim) float64 {
	asked, weights := 0.0, 0.0
	for _, c := range claims {
		asked += c.demand
		weights += c.weight
	}
	if asked <= capacity*(1+tolerance) {
		return math.Inf(1)
	}
	left := capacity
	open := claims
	for {
		lambda := left / weights
		unsatisfied := open[:0]
		for _, c := range open {
			if c.demand <= lambda*c.weight {
				left -= c.demand
				weights -= c.weight
				continue
			}
			unsatisfied = append(unsatisfied, c)
		}
		if len(unsatisfied) == len(open) || len(unsatisfied) == 0 {
			return lambda
		}
		open = unsatisfied
	}
}

// tolerance is the relative difference up to which sums of demands count as equal.
const tolerance = 1e-9
