package planner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// TestStuckTargetIsEjected has a target take requests and never answer: it must not go on filling its slots.
func TestStuckTargetIsEjected(t *testing.T) {
	p := newPlanner(4, 4)
	now := measure(p, 20, 20)
	stuck := map[ids.Target]int{}
	for i := range 40 {
		j := job(uint64(i), 0)
		j.Arrived, j.Deadline = now, now+10*clock.Second
		p.Submit(now, j)
		for _, d := range p.Decisions() {
			g, ok := d.(planner.Grant)
			if !ok {
				continue
			}
			if g.Incarnation.Target == "t1" {
				stuck["t1"]++ // it never gets a first event
				continue
			}
			p.RecordFirstEvent(now+20, g.ID, nil)
			p.Finish(now+20, g.ID, planner.Served, planner.StreamStats{})
		}
		now += 100
		p.Tick(now)
	}
	if stuck["t1"] > 4 {
		t.Errorf("a stuck target got %d requests", stuck["t1"])
	}
}

// TestFasterTargetGetsMore has two targets with equal slots and five times the speed of one another, which the planner
// learns from their answers.
func TestFasterTargetGetsMore(t *testing.T) {
	p := newPlanner(8, 8)
	now := start
	given := map[ids.Target]int{}
	type ending struct {
		id planner.JobID
		at clock.Millis
	}
	var open []ending
	for i := range 600 {
		j := job(uint64(i), 0)
		j.Prompt, j.Events = 500, 10
		j.Arrived, j.Deadline = now, now+10*clock.Second
		p.Submit(now, j)
		for _, d := range p.Decisions() {
			g, ok := d.(planner.Grant)
			if !ok {
				continue
			}
			given[g.Incarnation.Target]++
			slow := clock.Millis(1)
			if g.Incarnation.Target == "t1" {
				slow = 5
			}
			p.RecordFirstEvent(now+20*slow, g.ID, nil)
			open = append(open, ending{id: g.ID, at: now + 120*slow})
		}
		now += 50
		open = slices.DeleteFunc(open, func(e ending) bool {
			if e.at > now {
				return false
			}
			p.Finish(now, e.id, planner.Served, planner.StreamStats{Events: 10})
			return true
		})
	}
	if given["t0"] < 2*given["t1"] {
		t.Errorf("target of five times the speed got %d jobs, the other %d", given["t0"], given["t1"])
	}
}

// TestFailingTargetsUsedWhereMostFail has targets fail several requests in a row. A failing target is spared if
// most others are healthy; if it is the only one, or most fail, it gets as many jobs as it has slots.
func TestFailingTargetsUsedWhereMostFail(t *testing.T) {
	const slots = 6
	scenarios := []struct {
		name          string
		targets, fail int // numbers of targets, and of the failing ones among them
		want          int // of 20 jobs, those on failing targets
	}{
		{"one of four", 4, 1, 0},
		{"the only one", 1, 1, slots},
		{"three of four", 4, 3, 3 * slots},
	}
	for _, s := range scenarios {
		for _, after := range []clock.Millis{10, 2 * clock.Second} { // while they are ejected, and afterwards
			t.Run(fmt.Sprint(s.name, " after ", after), func(t *testing.T) {
				all := make([]int, s.targets)
				for i := range all {
					all[i] = slots
				}
				p := newPlanner(all...)
				for i := range s.fail {
					failOn(p, ids.Target(fmt.Sprint("t", i)), s.targets)
				}
				now := start + after
				failed := 0
				for i := range uint64(20) {
					j := job(100+i, 0)
					j.Arrived, j.Deadline = now, now+10*clock.Second
					p.Submit(now, j)
					if at, _ := p.Granted(j.ID); at.Target != "" && at.Target < ids.Target(fmt.Sprint("t", s.fail)) {
						failed++
					}
				}
				if s.want == 0 && failed > 1 || s.want > 0 && failed < min(s.want, 20-slots) {
					t.Errorf("%d jobs on failing targets, want %d", failed, s.want)
				}
			})
		}
	}
}

// failOn has four requests in a row fail on one of the targets.
func failOn(p *planner.Planner, at ids.Target, targets int) {
	for i := range uint64(4) {
		j := job(10+i, 0)
		for n := range targets {
			if other := ids.Target(fmt.Sprint("t", n)); other != at {
				j.Exclude = append(j.Exclude, ids.TargetIncarnation{Target: other})
			}
		}
		p.Submit(start, j)
		p.Finish(start, j.ID, planner.Failed, planner.StreamStats{})
	}
	p.Decisions()
}

// TestJobWithoutTargetIsRefused excludes all targets for a job, on arrival or while it waits: it is refused, and
// does not count as ahead of others.
func TestJobWithoutTargetIsRefused(t *testing.T) {
	p := newPlanner(1, 1)
	block, other := job(1, 0), job(2, 0)
	p.Submit(start, block)
	p.Submit(start, other)
	none, one := job(3, 0), job(4, 0)
	none.Exclude = []ids.TargetIncarnation{{Target: "t0"}, {Target: "t1"}}
	one.Exclude, one.Retried = []ids.TargetIncarnation{{Target: "t1"}}, true
	p.Decisions()
	p.Submit(start, none)
	if got := refused(p.Decisions()); len(got) != 1 || !got[0].NoTargets || got[0].ID.Number != 3 {
		t.Errorf("refused %+v", got)
	}
	p.Submit(start, one)
	if got := refused(p.Decisions()); len(got) != 0 || !p.IsQueued(one.ID) {
		t.Errorf("refused %+v although a target is left", got)
	}
	p.SetTargets(start, targets(1, 1)[1:])
	p.Tick(start + 25)
	if got := refused(p.Decisions()); len(got) != 1 || !got[0].NoTargets || p.Waiting() != 0 {
		t.Errorf("refused %+v, %d wait", got, p.Waiting())
	}
}

// TestAdoptedEstimatesAvoidSlowTarget has one planner learn that a target is slow: another that adopts its
// estimates assigns nothing to it while other targets have free slots.
func TestAdoptedEstimatesAvoidSlowTarget(t *testing.T) {
	first := newPlanner(10, 10)
	now := start
	for i := range 60 {
		now += 500
		for n, took := range []clock.Millis{40, 200} {
			j := job(uint64(10*i+n), 0)
			j.Prompt, j.Arrived, j.Deadline = 1000, now, now+10*clock.Second
			j.Exclude = []ids.TargetIncarnation{{Target: ids.Target(fmt.Sprint("t", 1-n))}}
			first.Submit(now, j)
			first.RecordFirstEvent(now+took, j.ID, nil)
			first.Finish(now+took, j.ID, planner.Served, planner.StreamStats{})
		}
	}
	learned := first.Estimates()
	if learned == nil {
		t.Fatal("no estimates")
	}
	for _, adopts := range []bool{false, true} {
		p := newPlanner(10, 10)
		if p.Estimates() != nil {
			t.Error("a new planner has estimates")
		}
		if adopts {
			p.AdoptEstimates(learned)
		}
		slow := 0
		for i := range uint64(6) {
			j := job(i, 0)
			j.Prompt = 1000
			p.Submit(start, j)
			if at, _ := p.Granted(j.ID); at.Target == "t1" {
				slow++
			}
		}
		if adopts != (slow == 0) {
			t.Errorf("adopts %t: %d of 6 jobs on the slow target", adopts, slow)
		}
	}
}

// TestRequestsStayInTheirFailureDomain has two engines of equal speed in different failure domains: a request goes
// to the one in its own domain while that has free slots, and to the other rather than wait.
func TestRequestsStayInTheirFailureDomain(t *testing.T) {
	p := planner.New(rand.New(rand.NewPCG(1, 2)))
	const slots = 10
	list := targets(slots, slots)
	list[0].Domain, list[1].Domain = "north", "south"
	p.SetTargets(start, list)
	for i := range slots + 1 {
		at := ids.Target("t1")
		if i == slots {
			at = "t0"
		}
		j := job(uint64(i), 0)
		j.Prompt, j.Events, j.Domain = 2000, 20, "south"
		p.Submit(start, j)
		if got, _ := p.Granted(j.ID); got.Target != at {
			t.Errorf("request %d from domain south is on %q, want %q", i, got, at)
		}
	}
}
