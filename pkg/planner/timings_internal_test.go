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

// TestSpeedBesideFewOthersIsNotGuessedFromChance guards against sound targets that seem slow, as the time between events was
// estimated for a number of runs that hardly any stream had beside it.
func TestSpeedBesideFewOthersIsNotGuessedFromChance(t *testing.T) {
	const seeds, streams, spread = 200, 150, 0.25
	tests := []struct {
		name string
		// usual is the number of runs on the target of most streams, rare that of a fraction of them.
		usual, rare  int
		rareFraction float64
		asked        int                       // the number of runs to estimate for
		pause        func(running int) float64 // ms
		maxError     float64                   // as a factor, either way
	}{
		{"full targets, asked of one run", 4, 3, 0.01, 1, func(int) float64 { return 20 }, 1.5},
		{"idle targets, asked of full ones", 1, 2, 0.01, 4, func(int) float64 { return 20 }, 1.5},
		{"speeds that do depend on the runs", 4, 1, 0.5, 2, func(running int) float64 { return 5 * float64(running) }, 1.25},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			wrong, worst := 0, 1.0
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 2))
				var s timings
				for range streams {
					running := test.usual
					if random.Float64() < test.rareFraction {
						running = test.rare
					}
					s.interval.add(float64(running), test.pause(running)*math.Exp(spread*random.NormFloat64()), 1)
				}
				ratio := s.eventInterval(test.asked) / test.pause(test.asked)
				ratio = max(ratio, 1/ratio)
				worst = max(worst, ratio)
				if ratio > test.maxError {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d estimates are wrong by a factor above %.2f, %.2f at the most", wrong, seeds, test.maxError, worst)
			}
		})
	}
}
