package planner_test

import (
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// of is a job of an entry that comes at a moment.
func of(entry string, number uint64, now clock.Millis) planner.Job {
	j := job(number, 0)
	j.ID.Entry = entry
	j.Arrived, j.Deadline = now, now+10*clock.Second
	return j
}

// targetsOf lists the targets that were granted.
func targetsOf(list []planner.Decision) []ids.Target {
	var targets []ids.Target
	for _, at := range placed(list) {
		targets = append(targets, at.Target)
	}
	return targets
}

var firstTarget = ids.TargetIncarnation{Target: "t0"}

// TestATargetThatLeavesIsGivenToNobody: one entry has been told, and all gain from it. A row that is older than the word
// does not undo it; a new life of the target begins without it.
func TestATargetThatLeavesIsGivenToNobody(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, reborn(formerStart, 4, 4))
	p.Advise(start, "a", ids.TargetIncarnation{Target: "t0", Start: formerStart}, true, 0)
	p.SetTargets(start, reborn(formerStart, 4, 4))
	for n := range uint64(2) {
		p.Submit(start, of("a", n, start))
		p.Submit(start, of("b", n, start))
	}
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t1", "t1", "t1", "t1"}) {
		t.Errorf("granted %v", got)
	}
	p.SetTargets(start, reborn(nextStart, 4, 4))
	p.Submit(start, of("b", 9, start))
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t0"}) {
		t.Errorf("granted %v once it had started again", got)
	}
}

// TestWhatWaitsForATargetThatLeavesIsToldAtOnce: the only target is full, and says that it leaves.
func TestWhatWaitsForATargetThatLeavesIsToldAtOnce(t *testing.T) {
	p := newPlanner(1)
	p.Submit(start, of("a", 1, start))
	second := of("a", 2, start)
	second.Objective = 5 * clock.Second // it waits
	p.Submit(start, second)
	p.Decisions()
	p.Advise(start, "a", firstTarget, true, 0)
	got := refused(p.Decisions())
	if len(got) != 1 || got[0].ID.Number != 2 || !got[0].NoTargets {
		t.Errorf("refused %+v", got)
	}
}

// TestOthersPreferTargetsThatDoNotRest: they go where nobody was turned away, as long as there is room.
func TestOthersPreferTargetsThatDoNotRest(t *testing.T) {
	p := newPlanner(8, 4)
	p.Advise(start, "a", firstTarget, false, 3*clock.Second)
	for n := range uint64(6) {
		p.Submit(start, of("b", n, start))
	}
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t1", "t1", "t1", "t1", "t0", "t0"}) {
		t.Errorf("granted %v", got)
	}
}

// TestRestIsAskedOfOneEntry: the entry that was told sends nothing in that time, others go on.
func TestRestIsAskedOfOneEntry(t *testing.T) {
	p := newPlanner(8, 2)
	p.Advise(start, "a", firstTarget, false, 3*clock.Second)
	for n := range uint64(2) {
		p.Submit(start, of("a", n, start))
	}
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t1", "t1"}) {
		t.Errorf("the entry that was told got %v", got)
	}
	for n := range uint64(4) {
		p.Submit(start, of("b", n, start))
	}
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t0", "t0", "t0", "t0"}) {
		t.Errorf("another entry got %v", got)
	}
}

// TestAfterItsRestATargetIsNotFilledAtOnce: it had turned all away, and gets one job of the entry at a time until it
// has served one.
func TestAfterItsRestATargetIsNotFilledAtOnce(t *testing.T) {
	p := newPlanner(8)
	now := measure(p, 50, 100) + clock.Second
	p.Advise(now, "a", firstTarget, false, clock.Second)
	now += clock.Second
	for n := range uint64(4) {
		p.Submit(now, of("a", n, now))
	}
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{0}) {
		t.Fatalf("granted %v when the rest was over", got)
	}
	p.Finish(now, of("a", 0, now).ID, planner.Full, planner.StreamStats{})
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{1}) {
		t.Fatalf("granted %v after one more was turned away", got)
	}
	p.Finish(now, of("a", 1, now).ID, planner.Served, planner.StreamStats{})
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{2, 3}) {
		t.Errorf("granted %v after one was served", got)
	}
}

// TestAllTargetsRestFromAnEntry: its jobs wait for the end if they can be in time then, and are told at once if
// not, with a time to come back that is not before the end and not the same for all. Nothing else is held back for
// them.
func TestAllTargetsRestFromAnEntry(t *testing.T) {
	scenarios := []struct {
		name string
		rest clock.Millis
		told bool // the job's objective is a second
	}{
		{"a short rest", 300, false},
		{"a rest beyond the objective", 3 * clock.Second, true},
		{"a rest beyond the deadline", 60 * clock.Second, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p := newPlanner(8, 8)
			now := measure(p, 50, 100) + clock.Second
			p.Advise(now, "a", firstTarget, false, s.rest+200)
			p.Advise(now, "a", ids.TargetIncarnation{Target: "t1"}, false, s.rest)
			backs := make(map[clock.Millis]bool)
			for n := range uint64(20) {
				p.Submit(now, of("a", n, now))
			}
			decided := p.Decisions()
			if len(granted(decided)) > 0 {
				t.Fatalf("granted %v", granted(decided))
			}
			for _, r := range refused(decided) {
				if !r.BackedOff || r.NoTargets || r.RetryAfter < s.rest || r.RetryAfter > max(s.rest+clock.Second, 10*clock.Second/3) {
					t.Errorf("refused %+v", r)
				}
				backs[r.RetryAfter] = true
			}
			if s.told && len(backs) < 15 || !s.told && len(backs) > 0 {
				t.Errorf("told %d times to come back", len(backs))
			}
			low := of("b", 1, now)
			low.Tier = 5
			p.Submit(now, low)
			if got := granted(p.Decisions()); !slices.Equal(got, []uint64{1}) {
				t.Errorf("a job of a lower tier of another entry: granted %v", got)
			}
			p.Tick(now + s.rest)
			if got := targetsOf(p.Decisions()); !s.told && !slices.Equal(got, []ids.Target{"t1"}) {
				t.Errorf("granted %v at the end of the rest", got)
			}
		})
	}
}

// TestAPlaceThatIsNotUsedSaysNothingOfItsTarget: an entry gives places back since the target has told it not to
// send anything; the others go on there.
func TestAPlaceThatIsNotUsedSaysNothingOfItsTarget(t *testing.T) {
	p := newPlanner(2)
	for n := range uint64(5) {
		p.Submit(start, of("a", n, start))
		p.Finish(start, of("a", n, start).ID, planner.Withheld, planner.StreamStats{})
	}
	p.Decisions()
	p.Submit(start, of("b", 1, start))
	p.Submit(start, of("b", 2, start))
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("granted %v", got)
	}
}

// TestAdviceOfUnknownLives: an entry tells of a life that is not known here, or not any more.
func TestAdviceOfUnknownLives(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, reborn(nextStart, 2))
	p.Advise(start, "a", ids.TargetIncarnation{Target: "gone"}, true, clock.Second)
	p.Advise(start, "a", ids.TargetIncarnation{Target: "t0", Start: formerStart}, true, clock.Second)
	p.Submit(start, of("a", 1, start))
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{1}) {
		t.Errorf("granted %v", got)
	}
}

// TestATargetOnTrialThatSaysNo: a version on trial goes by the same word.
func TestATargetOnTrialThatSaysNo(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		p := newPlanner()
		p.SetTargets(start, []*routing.Target{{ID: "t0", Service: "s", Slots: 4, Admission: routing.OnTrial}})
		p.SetTrial(planner.Trial{Fraction: 1}, true)
		p.Advise(start, "a", firstTarget, leaving, 3*clock.Second)
		for n := range uint64(10) {
			j := of("a", n, start)
			j.Trial, j.Route = true, "r"
			p.Submit(start, j)
		}
		p.Tick(start + 100)
		if got := granted(p.Decisions()); len(got) > 0 {
			t.Errorf("leaving %t: granted %v", leaving, got)
		}
	}
}
