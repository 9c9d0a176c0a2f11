package rollout

import (
	"math"
	"testing"
)

// TestBinomialTail compares with values worked out by hand, and with the exact value where the normal approximation is
// used. A scenario is the probability of at least k events in n trials with probability p each.
func TestBinomialTail(t *testing.T) {
	scenarios := []struct {
		n    int
		p    float64
		k    int
		want float64
	}{
		{10, 0.5, 10, 1.0 / 1024},
		{10, 0.5, 0, 1},
		{3, 0.1, 1, 1 - 0.9*0.9*0.9},
		{2, 0.25, 2, 0.0625},
		{10000, 0.03, 300, 0.51},
		{10000, 0.03, 360, 0.0003},
	}
	for _, s := range scenarios {
		if got := binomialTail(s.n, s.p, s.k); math.Abs(got-s.want) > 0.02*max(s.want, 0.01) {
			t.Errorf("probability of at least %d of %d at rate %v: %v, want %v", s.k, s.n, s.p, got, s.want)
		}
	}
}

// TestWorseThreshold checks that the threshold is the lowest number of bad answers with at most worseProbability,
// within the error of the normal approximation.
func TestWorseThreshold(t *testing.T) {
	for _, n := range []int{1, 2, 5, 20, 100, 1000, 20000} {
		for _, rate := range []float64{0.001, 0.01, 0.1, 0.4} {
			from := worseThreshold(n, rate)
			if from < n && binomialTail(n, rate, from) > worseProbability*1.05 {
				t.Errorf("threshold of %d in %d at rate %v is too low: it has the probability %v", from, n, rate, binomialTail(n, rate, from))
			}
			if from > 1 && binomialTail(n, rate, from-1) < worseProbability*0.8 && n > 1 {
				t.Errorf("threshold of %d in %d at rate %v is too high: one less has the probability %v", from, n, rate, binomialTail(n, rate, from-1))
			}
		}
	}
}

// TestPoissonBinomialTail compares with values worked out by hand.
func TestPoissonBinomialTail(t *testing.T) {
	if got := poissonBinomialTail([]float64{0.5, 0.5}, 1); got != 0.75 {
		t.Errorf("probability of at least 1 of 2: %v, want 0.75", got)
	}
	if got := poissonBinomialTail([]float64{0.1, 0.2, 0.3}, 3); math.Abs(got-0.006) > 1e-12 {
		t.Errorf("probability of 3 of 3: %v, want 0.006", got)
	}
	if poissonBinomialTail(nil, 0) != 1 || poissonBinomialTail(nil, 1) != 0 {
		t.Error("wrong probability without events: want 1 for none and 0 for one")
	}
}
