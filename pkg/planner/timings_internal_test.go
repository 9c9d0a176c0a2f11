package planner

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestEstimatesOfUnlikeStreamsKeepTheirScale guards against factors of equal targets that all rise, and estimates that fall
// in return, where the times of streams vary.
func TestEstimatesOfUnlikeStreamsKeepTheirScale(t *testing.T) {
	const targets, streams, pause, spread = 8, 8000, 20.0, 0.5
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1))
		var s timings
		var factors [targets]factor
		for range streams {
			took := pause * math.Exp(spread*random.NormFloat64())
			s.learnInterval(&factors[random.IntN(targets)], 1+random.IntN(4), took)
		}
		mean := 0.0
		for i := range factors {
			mean += factors[i].get() / targets
		}
		t.Logf("seed %d: mean factor %.2f, %.1f ms between events", seed, mean, s.eventInterval(2))
		if mean < 0.5 || mean > 2 {
			t.Errorf("seed %d: targets of factor 1 have the mean factor %.2f", seed, mean)
		}
	}
}
