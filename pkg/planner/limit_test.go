package planner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/loadmodel"
	"quaydock/pkg/planner"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/routing"
)

// TestAgreementRate checks what one owner grants of a limit, in jobs per second.
func TestAgreementRate(t *testing.T) {
	scenarios := []struct {
		name      string
		agreement planner.Agreement
		takes     ratelimit.Rate
		want      float64
	}{
		{"all entries agree", planner.Agreement{Fraction: 1}, 6, 6},
		{"most entries agree", planner.Agreement{Fraction: 0.75}, 6, 4.5},
		{"newly started owner", planner.Agreement{Fraction: 1, JustStarted: true}, 6, 1.5},
		{"a limit of 0 is probed", planner.Agreement{Fraction: 1}, 0, 0.25},
		{"a low limit is probed by a newly started owner as well", planner.Agreement{Fraction: 0.6, JustStarted: true}, 0.3, 0.25},
		{"a third agrees, two jobs per window", planner.Agreement{Fraction: 1.0 / 3}, 1.5, 0.5},
		{"a third agrees, fewer jobs per window", planner.Agreement{Fraction: 1.0 / 3}, 1.4, 0},
		{"no entry agrees", planner.Agreement{}, 6, 0},
	}
	for _, s := range scenarios {
		if got := s.agreement.Rate(s.takes); got < s.want-1e-9 || got > s.want+1e-9 {
			t.Errorf("%s: %.3f per second, want %.3f", s.name, got, s.want)
		}
	}
}

// TestConcurrentOwnersKeepTheLimit guards against fractions that several owners each round up, with random limits,
// fractions, idle times and takeovers.
func TestConcurrentOwnersKeepTheLimit(t *testing.T) {
	const (
		window = 4 * clock.Second
		length = 30 * clock.Second
	)
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		takes := []ratelimit.Rate{0, 0.3, 1, 1.4, 2.5, 6, 20, 100}[random.IntN(8)]
		owners := 1 + random.IntN(20)
		fractions := make([]float64, owners)
		left, equal := 1.0, random.IntN(2) == 0
		for i := range fractions {
			fractions[i] = left * random.Float64()
			if equal {
				fractions[i] = 1 / float64(owners)
			}
			left -= fractions[i]
		}
		var given []clock.Millis
		for i, fraction := range fractions {
			p := newPlanner()
			p.SetTargets(start, []*routing.Target{{ID: "t", Service: "s", Slots: 100}})
			p.SetAgreement(planner.Agreement{Fraction: fraction})
			p.SetLimit(start, ids.TargetIncarnation{Target: "t"}, ratelimit.Report{Known: true, Rate: takes, From: start, To: start})
			given = append(given, grants(p, random, uint64(i), length)...)
		}
		slices.Sort(given)
		allowed := 1.5*float64(takes)*4 + 5 // grants in a window of 4 s: half more than the limit, and 5
		for i, at := range given {
			first, _ := slices.BinarySearch(given, at-window+1)
			if got := i + 1 - first; float64(got) > allowed {
				t.Fatalf("seed %d: %d grants in 4 s from %d owners with fractions %.2f, allowed %.1f for a limit of %.1f", seed, got, owners, fractions, allowed, takes)
			}
		}
	}
}

// grants submits jobs in waves to a planner with one target and returns the times of its grants. salt keeps the job
// numbers of different planners apart.
func grants(p *planner.Planner, random *rand.Rand, salt uint64, length clock.Millis) []clock.Millis {
	var given []clock.Millis
	const step = 10 * clock.Millisecond
	idle := false
	for now := start; now < start+length; now += step {
		if random.IntN(100) == 0 {
			idle = !idle
		}
		if !idle {
			j := job(salt<<32+uint64(now), 0)
			j.Arrived, j.Deadline = now, now+clock.Second
			p.Submit(now, j)
		}
		p.Tick(now)
		for _, d := range p.Decisions() {
			if g, ok := d.(planner.Grant); ok {
				given = append(given, now)
				p.Finish(now, g.ID, planner.Served, planner.StreamStats{})
			}
		}
	}
	return given
}

// TestGrantsReportWhetherCounted: an entry that knows of a limit uses only grants that were counted against it. A grant
// that was made before the limit was known stays uncounted.
func TestGrantsReportWhetherCounted(t *testing.T) {
	p := newPlanner()
	p.SetAgreement(planner.Agreement{Fraction: 1})
	p.SetTargets(start, []*routing.Target{{ID: "t", Service: "s", Slots: 4}})
	p.Submit(start, job(1, 0))
	incarnation := ids.TargetIncarnation{Target: "t"}
	takes := ratelimit.Report{Known: true, Rate: 20, From: start, To: start + 10}
	if _, changed := p.SetLimit(start+10, incarnation, takes); !changed {
		t.Error("the first limit is not reported as a change")
	}
	p.Submit(start+100, job(2, 0))
	before, _ := p.RunningGrant(job(1, 0).ID)
	after, _ := p.RunningGrant(job(2, 0).ID)
	if before.Counted || before.RateLimit != takes {
		t.Errorf("grant before the limit: %+v", before)
	}
	if !after.Counted {
		t.Errorf("grant after the limit: %+v", after)
	}
}

// TestUnusableSlotsAreNoCapacity: where targets report limits, tiers are shed in order and at once, and what the
// limits allow is used.
func TestUnusableSlotsAreNoCapacity(t *testing.T) {
	scenarios := []struct {
		name    string
		targets int            // how many of the twelve report a limit
		takes   ratelimit.Rate // the limit that each of them reports
		load    float64        // as a multiple of the normal rate of heavy
		// inTime is the lowest fraction in time, by tier, and ofLimit the fraction of the limits that must be used.
		inTime  [3]float64
		ofLimit float64
	}{
		{"a third of the targets takes hardly any", 4, 0.3, 0.6, [3]float64{0.98, 0.98, 0.9}, 0},
		{"all limits together below the demand of the highest tier", 12, 1, 0.9, [3]float64{0.65, 0, 0}, 0.85},
		{"all limits together near the demand of the highest tier", 12, 2, 0.9, [3]float64{0.9, 0.1, 0}, 0.85},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := heavy(s.load, 1)
			limited := make(map[*planner.Planner]bool)
			granted := 0
			r := loadmodel.Simulate(l, loadmodel.Observer{
				Granted: func(clock.Millis, planner.JobID, ids.TierRank, clock.Millis) { granted++ },
				Submitted: func(now clock.Millis, p *planner.Planner, _ planner.JobID) {
					if limited[p] {
						return
					}
					limited[p] = true
					p.SetAgreement(planner.Agreement{Fraction: 1})
					for n := range s.targets {
						incarnation := ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("t", n))}
						p.SetLimit(now, incarnation, ratelimit.Report{Known: true, Rate: s.takes, From: now, To: now})
					}
				},
			})
			report(t, r)
			for n, minimum := range s.inTime {
				if got := fraction(r.Outcomes[n].InTime, r.Outcomes[n]); got < minimum {
					t.Errorf("%s: fraction %.2f in time, want at least %.2f", r.Outcomes[n].Kind, got, minimum)
				}
			}
			allowed := float64(s.targets) * float64(s.takes) * l.Length.Duration().Seconds()
			if s.ofLimit > 0 && float64(granted) < s.ofLimit*allowed {
				t.Errorf("%d jobs granted of %.0f that the limits allow", granted, allowed)
			}
		})
	}
}
