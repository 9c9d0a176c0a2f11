package rollout_test

import (
	"fmt"
	"strings"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/rollout"
)

// The order in these tests is placed at 100 s and lasts 30 s.
const (
	placed = 100 * clock.Second
	ends   = placed + 30*clock.Second // earliest end
	over   = ends + 400               // latest end
)

// trialAt returns a trial started at a moment, with enough evidence of a good version, or of a bad one of which half of
// the answers failed.
func trialAt(began clock.Millis, good bool) *rollout.Trial {
	t := rollout.NewTrial(order("v2", 10), bounds, rollout.Summary{}, began, rollout.Times{Started: placed, EarliestEnd: ends, LatestEnd: over})
	for n := range 400 {
		target := ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("old", n%8))}
		t.Evidence.Add(false, rollout.Observation{At: began, Incarnation: target, Route: "r", Ratio: 1, Factor: 1})
	}
	for n := range 64 {
		target := ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("new", n%8))}
		t.Evidence.Add(true, rollout.Observation{At: began, Incarnation: target, Route: "r", Ratio: 1, Failed: !good && n%2 == 0, Loaded: true})
	}
	return t
}

// recordIn returns the record of the order in a state.
func recordIn(state rollout.State) rollout.Record {
	return rollout.Record{Service: service, Version: "v2", Order: 10, State: state, Written: 20}
}

// TestSteps checks single steps of trials in different situations.
func TestSteps(t *testing.T) {
	const late = ends - 200 // when a good version is completed
	type situation = rollout.Situation
	usual := situation{Now: placed + 5000, Record: recordIn(rollout.Running), Fresh: true, CanaryTargets: 8, OldTargets: 8, Agreement: 1}
	with := func(change func(*situation)) situation {
		s := usual
		change(&s)
		return s
	}
	scenarios := []struct {
		name  string
		trial *rollout.Trial
		situation
		want  rollout.State // to be written
		share bool          // the canary receives requests
		close bool          // the old version's targets start nothing unrepeatable any more
		why   string        // part of the reason given
	}{
		{"ordered", trialAt(placed, true), with(func(s *situation) { s.Record = recordIn(rollout.Pending) }), rollout.Running, false, false, "ordered"},
		{"observed", trialAt(placed, true), usual, rollout.Pending, true, false, ""},
		{"feed state not current", trialAt(placed, true), with(func(s *situation) { s.Fresh = false }), rollout.Pending, false, false, ""},
		{"bad", trialAt(placed, false), usual, rollout.RolledBack, false, false, "answers bad"},
		{"bad, feed state not current", trialAt(placed, false), with(func(s *situation) { s.Fresh = false }), rollout.RolledBack, false, false, "answers bad"},
		{"closing", trialAt(placed, true), with(func(s *situation) { s.Now = ends - 2000 }), rollout.Pending, true, true, ""},
		{"good", trialAt(placed, true), with(func(s *situation) { s.Now = late }), rollout.Completed, true, true, "nothing bad"},
		{"good, but unrepeatable work runs", trialAt(placed, true), with(func(s *situation) { s.Now = late; s.Unrepeatable = 1 }), rollout.Pending, true, true, ""},
		{"good, but most entries have another owner", trialAt(placed, true), with(func(s *situation) { s.Now = late; s.Agreement = 0.5 }), rollout.Pending, true, true, ""},
		{"good, but the owner has just taken over", trialAt(late-500, true), with(func(s *situation) { s.Now = late }), rollout.Pending, true, true, ""},
		{"good, after its time", trialAt(placed, true), with(func(s *situation) { s.Now = over + 5000 }), rollout.Completed, true, true, ""},
		{"unrepeatable work never ends", trialAt(placed, true), with(func(s *situation) { s.Now = over + 16000; s.Unrepeatable = 1 }), rollout.RolledBack, false, false, "time is over"},
		{"service already runs it", trialAt(placed, true), with(func(s *situation) { s.AlreadyInUse = true; s.CanaryTargets = 0 }), rollout.Completed, false, false, "already"},
		{"completed", trialAt(placed, true), with(func(s *situation) { s.Record = recordIn(rollout.Completed) }), rollout.Pending, false, false, ""},
		{"bad, but completed", trialAt(placed, false), with(func(s *situation) { s.Record = recordIn(rollout.Completed) }), rollout.Pending, false, false, ""},
		{"rolled back", trialAt(placed, false), with(func(s *situation) { s.Record = recordIn(rollout.RolledBack) }), rollout.Pending, false, false, ""},
		{"no target has started", rollout.NewTrial(order("v2", 10), bounds, rollout.Summary{}, placed, rollout.Times{Started: placed, EarliestEnd: ends, LatestEnd: over}),
			with(func(s *situation) { s.Now = ends - 1000; s.CanaryTargets = 0 }), rollout.RolledBack, false, false, "too little is known"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p := s.trial.Step(s.situation)
			if p.Write != s.want || (p.Fraction > 0) != s.share || p.NoUnrepeatable != s.close || !strings.Contains(p.Why, s.why) {
				t.Errorf("plan %+v", p)
			}
		})
	}
}

// TestMissingEvidence checks which evidence is reported as missing for a good version.
func TestMissingEvidence(t *testing.T) {
	scenarios := []struct {
		name                    string
		old, oldLoaded          int    // answers of the old version: on each of two routes, and on the first under load
		requests, loaded, route int    // of the new version: on the first route, those of them under load, on the second
		want                    string // part of the text; empty if nothing is missing
	}{
		{"enough", 1000, 0, 60, 0, 20, ""},
		{"too few in total", 1000, 0, 9, 0, 9, "18 answers"},
		{"none on one route", 1000, 0, 60, 0, 0, "route r2"},
		{"not loaded, old ones hardly loaded", 1000, 100, 60, 0, 20, ""},
		{"not loaded, old ones loaded", 1000, 600, 60, 0, 20, "under load"},
		{"loaded", 1000, 600, 60, 10, 20, ""},
		{"few requests in total", 30, 0, 4, 0, 4, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			trial := rollout.NewTrial(order("v2", 10), bounds, rollout.Summary{}, placed, rollout.Times{Started: placed, EarliestEnd: ends, LatestEnd: over})
			add := func(onTrial bool, n, loaded int, route ids.Route) {
				for i := range n {
					trial.Evidence.Add(onTrial, rollout.Observation{At: placed, Incarnation: ids.TargetIncarnation{Target: "a"}, Route: route, Ratio: 1, Factor: 1, Loaded: i < loaded})
				}
			}
			add(false, s.old, s.oldLoaded, "r")
			add(false, s.old, 0, "r2")
			add(true, s.requests, s.loaded, "r")
			add(true, s.route, 0, "r2")
			missing := strings.Join(trial.Missing(), "; ")
			if s.want == "" && missing != "" || !strings.Contains(missing, s.want) {
				t.Errorf("missing evidence: %q, want %q", missing, s.want)
			}
		})
	}
}

// TestWithdrawnOrderIsRolledBack removes the order's row: after its trial began the version must be rolled back, before
// that nothing must be written.
func TestWithdrawnOrderIsRolledBack(t *testing.T) {
	withdrawn := rollout.Order{Service: service, Version: "v2", Placed: 10}
	trial := rollout.NewTrial(withdrawn, bounds, rollout.Summary{}, placed, rollout.Times{})
	if p := trial.Step(rollout.Situation{Now: placed, Record: recordIn(rollout.Running), Fresh: true}); p.Write != rollout.RolledBack {
		t.Errorf("plan after the trial began: %+v", p)
	}
	if p := trial.Step(rollout.Situation{Now: placed, Record: recordIn(rollout.Pending), Fresh: true}); p.Write != rollout.Pending {
		t.Errorf("plan before the trial began: %+v", p)
	}
}

// TestRollbackDecisionIsFinal has the evidence improve, and then the feed fail, after a roll-back was decided: it must
// still be written.
func TestRollbackDecisionIsFinal(t *testing.T) {
	trial := trialAt(placed, false)
	s := rollout.Situation{Now: placed + 5000, Record: recordIn(rollout.Running), Fresh: true, CanaryTargets: 8, OldTargets: 8, Agreement: 1}
	trial.Step(s)
	for n := range 4000 {
		trial.Evidence.Add(true, rollout.Observation{At: s.Now, Incarnation: ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("new", n%8))}, Route: "r", Ratio: 1})
	}
	s.Now += 10000
	s.Fresh = false
	if p := trial.Step(s); p.Write != rollout.RolledBack {
		t.Errorf("plan %+v, want a roll-back", p)
	}
}

// TestEvidenceOfTwoOwnersIsMerged has a second owner write evidence meanwhile: the first must add what it did not see
// itself, and only once.
func TestEvidenceOfTwoOwnersIsMerged(t *testing.T) {
	trial := trialAt(placed, true)
	own := trial.Evidence.Summary()
	trial.SummarySaved(own)
	other := own
	other.Requests += 10
	other.Bad += 4
	trial.MergeSummary(other)
	trial.MergeSummary(other)
	if got := trial.Evidence.Summary(); got.Requests != own.Requests+10 || got.Bad != own.Bad+4 {
		t.Errorf("merged: %d of %d bad, own: %d of %d", got.Bad, got.Requests, own.Bad, own.Requests)
	}
}

// TestRecordsOfConsecutiveOrders follows the record of a service through several orders: a version that another one
// replaces before its decision must be barred until it is ordered again.
func TestRecordsOfConsecutiveOrders(t *testing.T) {
	b := rollout.NewTracker()
	b.PutOrders([]rollout.Order{order("v2", 10)}, nil, true, upTo(12))
	_, r, open := b.OpenOrder(service)
	if !open || r.State != rollout.Pending || r.Version != "v2" {
		t.Fatalf("record of the first order: %+v, open %t", r, open)
	}
	r.State = rollout.Running
	r.Written = 13
	b.PutRecords([]rollout.Record{r}, upTo(13))
	b.PutOrders([]rollout.Order{order("v3", 20)}, nil, false, upTo(20))
	_, r, open = b.OpenOrder(service)
	if !open || r.State != rollout.Pending || r.Version != "v3" || len(r.Barred) != 1 || r.Barred[0] != "v2" || r.Written != 13 {
		t.Fatalf("record of the second order: %+v, open %t", r, open)
	}
	r.State, r.Written = rollout.Completed, 25
	b.PutRecords([]rollout.Record{r}, upTo(25))
	b.PutOrders([]rollout.Order{order("v2", 30)}, nil, false, upTo(30))
	if _, r, open = b.OpenOrder(service); !open || len(r.Barred) != 0 {
		t.Fatalf("a version that was ordered again is still barred: %+v", r)
	}
	document, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := rollout.DecodeRecord(document, 40)
	if err != nil || again.Version != "v2" || again.Written != 40 {
		t.Errorf("decoded record: %+v, error %v", again, err)
	}
	if _, err := rollout.DecodeRecord([]byte("{"), 1); err == nil {
		t.Error("a truncated record was decoded")
	}
}

// TestShortOwnershipRollsNothingBack guards against the roll-back of a good version for lack of evidence, 1.2 s before
// the end of its order. An entry's VM had been stalled; on waking, the entry had received no heartbeats for too long,
// took itself for the owner for 60 ms, and had seen no answer itself. It logged "too little is known: 0 answers since
// this entry took over" at the moment it started the trial, while the true owner's log went on for 2 ms. An owner that
// lacks evidence of its own must wait until it has had time to collect some and most entries agree on it; a version
// that is bad by what others have recorded is rolled back at once.
func TestShortOwnershipRollsNothingBack(t *testing.T) {
	const closing = ends - 1200
	good := rollout.Summary{Requests: 150, Bad: 4, Targets: 8, Routes: []rollout.RouteSummary{{Route: "r", Requests: 150, Bad: 4, Old: 2000, OldBad: 50}}}
	bad := good
	bad.Bad, bad.Routes = 40, []rollout.RouteSummary{{Route: "r", Requests: 150, Bad: 40, Old: 2000, OldBad: 50}}
	scenarios := []struct {
		name      string
		began     clock.Millis // when this owner started the trial
		agreement float64
		carried   rollout.Summary // evidence of earlier owners
		now       clock.Millis
		want      rollout.State // to be written
	}{
		{"just taken over", closing, 1, good, closing, rollout.Pending},
		{"hardly any entry agrees", placed, 0.25, good, closing, rollout.Pending},
		{"just taken over, recorded evidence is bad", closing, 1, bad, closing, rollout.RolledBack},
		{"settled, most entries agree", closing - 1500, 1, good, closing, rollout.RolledBack},
		{"no agreement until the end", placed, 0.25, good, over + 16000, rollout.RolledBack},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			trial := rollout.NewTrial(order("v2", 10), bounds, s.carried, s.began, rollout.Times{Started: placed, EarliestEnd: ends, LatestEnd: over})
			for range 400 {
				trial.Evidence.Add(false, rollout.Observation{At: s.began, Incarnation: ids.TargetIncarnation{Target: "old"}, Route: "r", Ratio: 1, Factor: 1})
			}
			p := trial.Step(rollout.Situation{Now: s.now, Record: recordIn(rollout.Running), Fresh: true, CanaryTargets: 8, OldTargets: 8, Agreement: s.agreement})
			if p.Write != s.want {
				t.Errorf("plan %+v, want state %v", p, s.want)
			}
		})
	}
}
