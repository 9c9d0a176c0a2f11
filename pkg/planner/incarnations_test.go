package planner_test

import (
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

const (
	formerStart ids.Start = 5000
	nextStart   ids.Start = 4000 // lower, as when the clock was set back in between
)

// restarted returns targets of which only the first has a start time.
func restarted(first ids.Start, slots ...int) []*routing.Target {
	list := targets(slots...)
	list[0].Start = first
	return list
}

// placed returns the incarnations that were granted.
func placed(list []planner.Decision) []ids.TargetIncarnation {
	var incarnations []ids.TargetIncarnation
	for _, d := range list {
		if g, ok := d.(planner.Grant); ok {
			incarnations = append(incarnations, g.Incarnation)
		}
	}
	return incarnations
}

// TestSlotsCountOverBothIncarnations has a target restart while its slots are taken. The runs of its former
// incarnation end when their entries report it; until then some may have reached the new process, and the target
// gets no more than its slots over both.
func TestSlotsCountOverBothIncarnations(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, restarted(formerStart, 2))
	for n := range uint64(4) {
		j := job(n, 0)
		j.Objective = 5 * clock.Second // it waits instead of being refused
		p.Submit(start, j)
	}
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{0, 1}) {
		t.Fatalf("granted %v", got)
	}
	now := start + 100
	p.SetTargets(now, restarted(nextStart, 2))
	if got := granted(p.Decisions()); len(got) > 0 {
		t.Fatalf("granted %v before the former runs had ended", got)
	}
	p.Finish(now, job(0, 0).ID, planner.Failed, planner.StreamStats{})
	p.Finish(now, job(1, 0).ID, planner.Failed, planner.StreamStats{})
	next := ids.TargetIncarnation{Target: "t0", Start: nextStart}
	if got := placed(p.Decisions()); !slices.Equal(got, []ids.TargetIncarnation{next, next}) {
		t.Errorf("granted %v, want both slots of the new incarnation", got)
	}
	// Late reports on the former runs have no effect.
	p.RecordFirstEvent(now, job(0, 0).ID, &planner.Load{Running: 50})
	p.Finish(now, job(1, 0).ID, planner.Unreached, planner.StreamStats{})
	p.Finish(now, job(2, 0).ID, planner.Served, planner.StreamStats{})
	p.Submit(now, job(5, 0))
	if got := placed(p.Decisions()); !slices.Equal(got, []ids.TargetIncarnation{next}) {
		t.Errorf("granted %v after a run of the new incarnation", got)
	}
}

// TestRestartClearsEjectionAndLoad: a target that had failed stayed ejected after its restart, and the load that
// its former incarnation had reported took up its slots.
func TestRestartClearsEjectionAndLoad(t *testing.T) {
	scenarios := []struct {
		name string
		do   func(p *planner.Planner, now clock.Millis)
	}{
		{"ejected", func(p *planner.Planner, now clock.Millis) {
			for n := range uint64(4) {
				j := job(100+n, 0)
				j.Exclude = []ids.TargetIncarnation{{Target: "t1"}}
				p.Submit(now, j)
				p.Finish(now, j.ID, planner.Unreached, planner.StreamStats{})
			}
		}},
		{"filled by external load", func(p *planner.Planner, now clock.Millis) {
			for n := range uint64(8) {
				j := job(100+n, 0)
				j.Exclude = []ids.TargetIncarnation{{Target: "t1"}}
				p.Submit(now, j)
				p.RecordFirstEvent(now, j.ID, &planner.Load{Running: 40})
				p.Finish(now, j.ID, planner.Served, planner.StreamStats{})
			}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p := newPlanner()
			p.SetTargets(start, restarted(formerStart, 2, 2))
			s.do(p, start)
			p.Decisions()
			next := ids.TargetIncarnation{Target: "t0", Start: nextStart}
			onFirst := func(from uint64) (n int) {
				for i := range uint64(4) {
					p.Submit(start, job(from+i, 0))
				}
				for _, incarnation := range placed(p.Decisions()) {
					if incarnation.Target == "t0" {
						n++
					}
				}
				for i := range uint64(4) {
					p.Withdraw(start, job(from+i, 0).ID)
				}
				return n
			}
			if n := onFirst(200); n > 0 {
				t.Fatalf("%d jobs on the first target before its restart", n)
			}
			p.SetTargets(start, restarted(nextStart, 2, 2))
			if n := onFirst(300); n != 2 {
				t.Errorf("%d jobs on %v, want both slots used", n, next)
			}
		})
	}
}

// TestRestartClearsFactor: a planner stored that a target was slow, and the next owner applied it to the process
// that had been restarted under the same id.
func TestRestartClearsFactor(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, restarted(nextStart, 2, 2))
	p.AdoptEstimates(&planner.Estimates{Factors: map[ids.TargetIncarnation]float64{{Target: "t0", Start: formerStart}: 8, {Target: "t1"}: 2}})
	if got := p.Summary(start).Factors; got["t0"] != 1 || got["t1"] != 2 {
		t.Errorf("factors %v", got)
	}
}

// TestExcludedTargetIsUsableAfterRestart: a request that was at the former incarnation may be sent to the new one,
// a process that has not had it.
func TestExcludedTargetIsUsableAfterRestart(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, restarted(nextStart, 1))
	j := job(1, 0)
	j.Exclude = []ids.TargetIncarnation{{Target: "t0", Start: formerStart}}
	p.Submit(start, j)
	if got := granted(p.Decisions()); len(got) != 1 {
		t.Errorf("granted %v", got)
	}
}

// TestRestoredRunsOfFormerIncarnationTakeSlots has a restarted planner and an entry that, not having read of the
// target's restart, lists its runs at the former incarnation; another entry, or the planner, may know no start at
// all.
func TestRestoredRunsOfFormerIncarnationTakeSlots(t *testing.T) {
	scenarios := []struct {
		name   string
		known  ids.Start // by the planner
		listed ids.Start // by the entry
	}{
		{"a former incarnation", nextStart, formerStart},
		{"the same incarnation", nextStart, nextStart},
		{"the entry knows no start", nextStart, ids.UnknownStart},
		{"the planner knows no start", ids.UnknownStart, formerStart},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p := newPlanner()
			p.SetTargets(start, restarted(s.known, 2))
			incarnation := ids.TargetIncarnation{Target: "t0", Start: s.listed}
			p.Restore(start, job(1, 0), incarnation, false)
			p.Restore(start, job(2, 0), incarnation, true)
			p.Submit(start, job(3, 0))
			if got := granted(p.Decisions()); len(got) > 0 {
				t.Errorf("granted %v beyond the slots", got)
			}
			p.Finish(start, job(1, 0).ID, planner.Failed, planner.StreamStats{})
			if got := granted(p.Decisions()); len(got) != 1 {
				t.Errorf("granted %v after a run has ended", got)
			}
			p.Finish(start, job(2, 0).ID, planner.Failed, planner.StreamStats{})
			p.Finish(start, job(3, 0).ID, planner.Served, planner.StreamStats{})
			p.SetTargets(start, restarted(nextStart, 2))
			for n := range uint64(3) {
				p.Submit(start, job(10+n, 0))
			}
			if got := granted(p.Decisions()); len(got) != 2 {
				t.Errorf("granted %v, want two for two slots", got)
			}
		})
	}
}

// TestOldIncarnationsAreRemoved has a target restart many times: the planner keeps only incarnations with runs or
// with new jobs.
func TestOldIncarnationsAreRemoved(t *testing.T) {
	p := newPlanner()
	for n := range uint64(100) {
		p.SetTargets(start, restarted(ids.Start(1000-n), 2))
		p.Submit(start, job(n, 0))
		p.Finish(start, job(n, 0).ID, planner.Served, planner.StreamStats{})
	}
	if n := p.Incarnations(); n != 1 {
		t.Errorf("%d incarnations are known, want 1", n)
	}
}
