package ratelimit_test

import (
	"math/rand/v2"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ratelimit"
)

func word(rate ratelimit.Rate, from, to clock.Millis) ratelimit.Report {
	return ratelimit.Report{Known: true, Rate: rate, From: from, To: to}
}

func TestWithKeepsTheLaterWord(t *testing.T) {
	none := ratelimit.Unlimited
	scenarios := []struct {
		name         string
		first, other ratelimit.Report
		want         ratelimit.Report
	}{
		{"the first", ratelimit.Report{}, word(3, 10, 20), word(3, 10, 20)},
		{"nothing else", word(3, 10, 20), ratelimit.Report{}, word(3, 10, 20)},
		{"a later, higher one", word(3, 10, 20), word(5, 20, 30), word(5, 20, 30)},
		{"a later one that names none", word(3, 10, 20), word(none, 25, 30), word(none, 25, 30)},
		{"an earlier, lower one", word(3, 10, 20), word(1, 0, 10), word(3, 10, 20)},
		{"either may be later", word(3, 10, 20), word(5, 15, 30), word(3, 15, 30)},
		{"either may be later, one names none", word(none, 10, 20), word(5, 5, 15), word(5, 10, 20)},
	}
	for _, s := range scenarios {
		if got := s.first.Merge(s.other); got != s.want {
			t.Errorf("%s: %+v, want %+v", s.name, got, s.want)
		}
	}
}

// TestWordsOutOfOrderNeverHideALaterLowerOne: drawn answers, heard in drawn order.
func TestWordsOutOfOrderNeverHideALaterLowerOne(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		var said []ratelimit.Report // in the order in which the target said them
		for at := clock.Millis(100); at < 1000; at += clock.Millis(1 + random.IntN(100)) {
			rate := ratelimit.Rate(1 + random.IntN(3))
			if random.IntN(3) == 0 {
				rate = ratelimit.Unlimited
			}
			said = append(said, word(rate, at-clock.Millis(random.IntN(100)), at+clock.Millis(1+random.IntN(300))))
		}
		last := said[len(said)-1]
		var stands ratelimit.Report
		for _, i := range random.Perm(len(said)) {
			stands = stands.Merge(said[i])
		}
		if stands.Rate > last.Rate {
			t.Fatalf("seed %d: %v stands, the target last said %v", seed, stands.Rate, last.Rate)
		}
		if after := stands.Merge(word(2, stands.To, stands.To+10)); after.Rate != 2 {
			t.Fatalf("seed %d: a surely later word does not stand: %+v", seed, after)
		}
	}
}
