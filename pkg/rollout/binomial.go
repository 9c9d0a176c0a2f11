package rollout

import "math"

// normalApproximationMin is the expected number of events above which the normal distribution approximates the
// binomial one: there the binomial terms underflow and can no longer be summed.
const normalApproximationMin = 200

// worseThreshold returns the number of bad answers out of n from which on a target looks worse than the old version's
// targets, which give bad answers at the given rate. An ordinary target reaches it with at most worseProbability; if no
// number of bad answers below n is that unlikely, it is n.
func worseThreshold(n int, rate float64) int {
	if float64(n)*rate > normalApproximationMin {
		const sigmas = 1.2816 // the upper tenth, which is worseProbability, of the normal distribution lies beyond this
		return int(math.Ceil(float64(n)*rate + sigmas*math.Sqrt(float64(n)*rate*(1-rate))))
	}
	tail := 1.0
	term := math.Exp(float64(n) * math.Log1p(-rate))
	for bad := range n {
		if bad > 0 && tail <= worseProbability {
			return bad
		}
		tail -= term
		term *= termRatio(n, bad, rate)
	}
	return n
}

// binomialTail returns the probability of at least k events in n trials with probability p each. The normal
// approximation begins half an event lower, the usual continuity correction.
func binomialTail(n int, p float64, k int) float64 {
	if float64(n)*p > normalApproximationMin {
		const half = 0.5
		return half * math.Erfc((float64(k)-half-float64(n)*p)/math.Sqrt(2*float64(n)*p*(1-p)))
	}
	tail := 1.0
	term := math.Exp(float64(n) * math.Log1p(-p))
	for i := range k {
		tail -= term
		term *= termRatio(n, i, p)
	}
	return max(0, tail)
}

// termRatio returns the ratio of the binomial probability of k+1 events to that of k events.
func termRatio(n, k int, p float64) float64 {
	return float64(n-k) / float64(k+1) * p / (1 - p)
}
