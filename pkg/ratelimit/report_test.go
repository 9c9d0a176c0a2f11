package ratelimit_test

import (
	"math/rand/v2"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ratelimit"
)

// report returns a report that the target made between two moments.
func report(rate ratelimit.Rate, from, to clock.Millis) ratelimit.Report {
	return ratelimit.Report{Known: true, Rate: rate, From: from, To: to}
}

// TestMergeKeepsTheLaterReport merges another report into a first one, whose times may overlap; which was received last
// does not count.
func TestMergeKeepsTheLaterReport(t *testing.T) {
	none := ratelimit.Unlimited
	scenarios := []struct {
		name         string
		first, other ratelimit.Report
		want         ratelimit.Report
	}{
		{"the first report", ratelimit.Report{}, report(3, 10, 20), report(3, 10, 20)},
		{"no other report", report(3, 10, 20), ratelimit.Report{}, report(3, 10, 20)},
		{"a later, higher limit", report(3, 10, 20), report(5, 20, 30), report(5, 20, 30)},
		{"a later report of no limit", report(3, 10, 20), report(none, 25, 30), report(none, 25, 30)},
		{"an earlier, lower limit", report(3, 10, 20), report(1, 0, 10), report(3, 10, 20)},
		{"either may be later", report(3, 10, 20), report(5, 15, 30), report(3, 15, 30)},
		{"either may be later, one without a limit", report(none, 10, 20), report(5, 5, 15), report(5, 10, 20)},
	}
	for _, s := range scenarios {
		if got := s.first.Merge(s.other); got != s.want {
			t.Errorf("%s: %+v, want %+v", s.name, got, s.want)
		}
	}
}

// TestReorderedReportsNeverHideALaterLowerLimit merges random reports in random order: the limit in force must not be
// above that of the target's last report.
func TestReorderedReportsNeverHideALaterLowerLimit(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		var reports []ratelimit.Report // in the order in which the target made them
		for at := clock.Millis(100); at < 1000; at += clock.Millis(1 + random.IntN(100)) {
			rate := ratelimit.Rate(1 + random.IntN(3))
			if random.IntN(3) == 0 {
				rate = ratelimit.Unlimited
			}
			reports = append(reports, report(rate, at-clock.Millis(random.IntN(100)), at+clock.Millis(1+random.IntN(300))))
		}
		last := reports[len(reports)-1]
		var inForce ratelimit.Report
		for _, i := range random.Perm(len(reports)) {
			inForce = inForce.Merge(reports[i])
		}
		if inForce.Rate > last.Rate {
			t.Fatalf("seed %d: limit %v is in force, the target last reported %v", seed, inForce.Rate, last.Rate)
		}
		if after := inForce.Merge(report(2, inForce.To, inForce.To+10)); after.Rate != 2 {
			t.Fatalf("seed %d: a certainly later report is not in force: %+v", seed, after)
		}
	}
}
