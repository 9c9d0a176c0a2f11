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
	nextStart   ids.Start = 4000 // lower: the clock was set back meanwhile
)

// reborn returns targets of which the first has a start, the others tell none.
func reborn(first ids.Start, slots ...int) []*routing.Target {
	list := targets(slots...)
	list[0].Start = first
	return list
}

// placed lists the lives that were granted.
func placed(list []planner.Decision) []ids.TargetIncarnation {
	var lives []ids.TargetIncarnation
	for _, d := range list {
		if g, ok := d.(planner.Grant); ok {
			lives = append(lives, g.Incarnation)
		}
	}
	return lives
}

// TestATargetGetsItsSlotsOverBothLives has a target start again while its places are taken. The runs
// of its former life end when their entries say so; until then some may in truth have reached the
// new process, and it gets no more than its slots over both.
func TestATargetGetsItsSlotsOverBothLives(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, reborn(formerStart, 2))
	for n := range uint64(4) {
		j := job(n, 0)
		j.Objective = 5 * clock.Second // it waits rather than be refused
		p.Submit(start, j)
	}
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{0, 1}) {
		t.Fatalf("granted %v", got)
	}
	now := start + 100
	p.SetTargets(now, reborn(nextStart, 2))
	if got := granted(p.Decisions()); len(got) > 0 {
		t.Fatalf("granted %v before the former runs have ended", got)
	}
	p.Finish(now, job(0, 0).ID, planner.Failed, planner.StreamStats{})
	p.Finish(now, job(1, 0).ID, planner.Failed, planner.StreamStats{})
	next := ids.TargetIncarnation{Target: "t0", Start: nextStart}
	if got := placed(p.Decisions()); !slices.Equal(got, []ids.TargetIncarnation{next, next}) {
		t.Errorf("granted %v, want both places of the new life", got)
	}
	// Late words on the former runs change nothing.
	p.Begin(now, job(0, 0).ID, &planner.Load{Running: 50})
	p.Finish(now, job(1, 0).ID, planner.Unreached, planner.StreamStats{})
	p.Finish(now, job(2, 0).ID, planner.Served, planner.StreamStats{})
	p.Submit(now, job(5, 0))
	if got := placed(p.Decisions()); !slices.Equal(got, []ids.TargetIncarnation{next}) {
		t.Errorf("granted %v after a run of the new life", got)
	}
}

// TestWhatWasKnownOfAFormerLifeIsForgotten: a target that had failed, or had been slow, was set aside and
// passed over after its restart as well, and what it had reported of its load filled its places.
func TestWhatWasKnownOfAFormerLifeIsForgotten(t *testing.T) {
	scenarios := []struct {
		name string
		do   func(p *planner.Planner, now clock.Millis)
	}{
		{"set aside", func(p *planner.Planner, now clock.Millis) {
			for n := range uint64(4) {
				j := job(100+n, 0)
				j.Exclude = []ids.TargetIncarnation{{Target: "t1"}}
				p.Submit(now, j)
				p.Finish(now, j.ID, planner.Unreached, planner.StreamStats{})
			}
		}},
		{"filled by others", func(p *planner.Planner, now clock.Millis) {
			for n := range uint64(8) {
				j := job(100+n, 0)
				j.Exclude = []ids.TargetIncarnation{{Target: "t1"}}
				p.Submit(now, j)
				p.Begin(now, j.ID, &planner.Load{Running: 40})
				p.Finish(now, j.ID, planner.Served, planner.StreamStats{})
			}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p := newPlanner()
			p.SetTargets(start, reborn(formerStart, 2, 2))
			s.do(p, start)
			p.Decisions()
			next := ids.TargetIncarnation{Target: "t0", Start: nextStart}
			onFirst := func(from uint64) (n int) {
				for i := range uint64(4) {
					p.Submit(start, job(from+i, 0))
				}
				for _, life := range placed(p.Decisions()) {
					if life.Target == "t0" {
						n++
					}
				}
				for i := range uint64(4) {
					p.Withdraw(start, job(from+i, 0).ID)
				}
				return n
			}
			if n := onFirst(200); n > 0 {
				t.Fatalf("%d on the first target before its restart", n)
			}
			p.SetTargets(start, reborn(nextStart, 2, 2))
			if n := onFirst(300); n != 2 {
				t.Errorf("%d on %v, want both places", n, next)
			}
		})
	}
}

// TestTheFactorOfAFormerLifeIsForgotten: a home noted that a target was slow, and the next home held it
// against the process that had started again under its id.
func TestTheFactorOfAFormerLifeIsForgotten(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, reborn(nextStart, 2, 2))
	p.Adopt(&planner.Estimates{Factors: map[ids.TargetIncarnation]float64{{Target: "t0", Start: formerStart}: 8, {Target: "t1"}: 2}})
	if got := p.Summary(start).Factors; got["t0"] != 1 || got["t1"] != 2 {
		t.Errorf("factors %v", got)
	}
}

// TestARequestMayGoToTheNextLife has a request that was at the former life be repeated: the new one is
// another process, which has not had it.
func TestARequestMayGoToTheNextLife(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, reborn(nextStart, 1))
	j := job(1, 0)
	j.Exclude = []ids.TargetIncarnation{{Target: "t0", Start: formerStart}}
	p.Submit(start, j)
	if got := granted(p.Decisions()); len(got) != 1 {
		t.Errorf("granted %v", got)
	}
}

// TestWhatAnEntryListsAtAFormerLifeTakesPlaces has a planner begin anew, and an entry that has not read
// of the restart list what it has at the former life; another entry, and the planner, may know
// no start at all.
func TestWhatAnEntryListsAtAFormerLifeTakesPlaces(t *testing.T) {
	scenarios := []struct {
		name   string
		known  ids.Start // by the planner
		listed ids.Start // by the entry
	}{
		{"a former life", nextStart, formerStart},
		{"the same life", nextStart, nextStart},
		{"the entry knows no start", nextStart, ids.UnknownStart},
		{"the planner knows no start", ids.UnknownStart, formerStart},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p := newPlanner()
			p.SetTargets(start, reborn(s.known, 2))
			life := ids.TargetIncarnation{Target: "t0", Start: s.listed}
			p.Restore(start, job(1, 0), life, false)
			p.Restore(start, job(2, 0), life, true)
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
			p.SetTargets(start, reborn(nextStart, 2))
			for n := range uint64(3) {
				p.Submit(start, job(10+n, 0))
			}
			if got := granted(p.Decisions()); len(got) != 2 {
				t.Errorf("granted %v of two places", got)
			}
		})
	}
}

// TestLivesDoNotPileUp has a target start again many times: the planner keeps what is still of use.
func TestLivesDoNotPileUp(t *testing.T) {
	p := newPlanner()
	for n := range uint64(100) {
		p.SetTargets(start, reborn(ids.Start(1000-n), 2))
		p.Submit(start, job(n, 0))
		p.Finish(start, job(n, 0).ID, planner.Served, planner.StreamStats{})
	}
	if n := p.Lives(); n != 1 {
		t.Errorf("%d lives are known, want 1", n)
	}
}
