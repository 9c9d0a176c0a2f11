package app

import (
	"fmt"
	"testing"
)

// TestSameSeedGivesSameArrivals guards against plays that a seed does not determine. Random values were drawn in the
// order of map iteration and of goroutines that were awake at the same instant, so each run of a seed gave another
// result, and a comparison of plays with and without a request that ends targets could not tell its effect from chance.
// Here each seed is played twice, and each request has to reach the same target at the same instant.
func TestSameSeedGivesSameArrivals(t *testing.T) {
	for seed := *firstPlay; seed < *firstPlay+uint64(*playCount); seed++ {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprint("seed ", seed, ", with a request that ends targets: ", ends), func(t *testing.T) {
				first := playWithFatalRequest(t, seed, ends)
				again := playWithFatalRequest(t, seed, ends)
				if n := first.firstDifference(again); n >= 0 {
					t.Errorf("%d and %d arrivals, which first differ at %q and %q", len(first.arrivals), len(again.arrivals), first.arrival(n), again.arrival(n))
				}
			})
		}
	}
}
