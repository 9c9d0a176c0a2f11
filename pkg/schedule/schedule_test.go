package schedule_test

import (
	"context"
	"fmt"
	"testing"

	"quaydock/pkg/ablation"
	"quaydock/pkg/commontest"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/view"
)

// newView returns a view of n targets of service s with two slots each.
func newView(n int) *view.View {
	c := commontest.New(network.NewMemory(nil))
	v := view.New(c.Check)
	var targets []*routing.Target
	for i := range n {
		targets = append(targets, &routing.Target{ID: ids.Target(fmt.Sprint("t", i)), Service: "s", Slots: 2})
	}
	v.SetDirectory(routing.NewDirectory(targets))
	return v
}

// take acquires n assignments and returns how many each target got; end is called with each
// of them.
func take(t *testing.T, s schedule.Scheduler, n int, exclude []ids.TargetIncarnation, end func(schedule.Assignment)) map[ids.Target]int {
	t.Helper()
	got := map[ids.Target]int{}
	for range n {
		p, refused, err := s.Acquire(context.Background(), schedule.Request{Service: "s", Job: planner.Job{Exclude: exclude}})
		if err != nil || refused != nil {
			t.Fatalf("refused %+v, %v", refused, err)
		}
		got[p.Target().ID]++
		end(p)
	}
	return got
}

// keep leaves an assignment open, so that its request goes on running.
func keep(schedule.Assignment) {}

func TestLocalSpreadsRequests(t *testing.T) {
	s := schedule.NewLocal(commontest.New(network.NewMemory(nil)), newView(4), nil)
	for id, n := range take(t, s, 40, nil, keep) {
		if n != 10 {
			t.Errorf("%s got %d of 40 requests, want 10", id, n)
		}
	}
}

// TestLocalAvoidsAnUnreachableTarget guards against a target that gets ever more requests because those sent to it end
// at once and it looks idle.
func TestLocalAvoidsAnUnreachableTarget(t *testing.T) {
	s := schedule.NewLocal(commontest.New(network.NewMemory(nil)), newView(4), nil)
	got := take(t, s, 40, nil, func(p schedule.Assignment) {
		if p.Target().ID == "t0" {
			p.Done(planner.Unreached, planner.StreamStats{})
			return
		}
		p.Done(planner.Served, planner.StreamStats{})
	})
	if got["t0"] > 2 {
		t.Errorf("an unreachable target got %d of 40 requests, want at most 2", got["t0"])
	}
}

// TestLocalAvoidsATargetThatReportsSlowness guards against an entry without an owner that sends as much to a target where
// work takes longer now.
func TestLocalAvoidsATargetThatReportsSlowness(t *testing.T) {
	c := commontest.New(network.NewMemory(nil))
	report := func(p schedule.Assignment) {
		load := &planner.Load{Slowdown: 1}
		if p.Target().ID == "t0" {
			load.Slowdown = 3
		}
		p.Began(load)
		p.Done(planner.Served, planner.StreamStats{})
	}
	s := schedule.NewLocal(c, newView(4), nil)
	take(t, s, 40, nil, report)
	if got := take(t, s, 12, nil, keep); got["t0"] > 1 {
		t.Errorf("a target that takes 3 times as long got %d of 12 requests, want at most 1", got["t0"])
	}
	c.Ablation, _ = ablation.Parse(ablation.TargetSlowdown.String())
	s = schedule.NewLocal(c, newView(4), nil)
	take(t, s, 40, nil, report)
	if got := take(t, s, 12, nil, keep); got["t0"] != 3 {
		t.Errorf("with reports not used it got %d of 12 requests, want 3", got["t0"])
	}
}

func TestRoundRobinTakesTurns(t *testing.T) {
	s := schedule.NewBaseline(commontest.New(network.NewMemory(nil)), newView(4), schedule.RoundRobin, nil)
	for id, n := range take(t, s, 40, nil, keep) {
		if n != 10 {
			t.Errorf("%s got %d of 40 requests, want 10", id, n)
		}
	}
}

func TestLeastReportedFollowsReports(t *testing.T) {
	s := schedule.NewBaseline(commontest.New(network.NewMemory(nil)), newView(3), schedule.LeastReported, nil)
	take(t, s, 3, nil, func(p schedule.Assignment) {
		load := &planner.Load{Running: 2}
		if p.Target().ID == "t1" {
			load.Running = 0
		}
		p.Began(load)
	})
	if got := take(t, s, 10, nil, keep); got["t1"] != 10 {
		t.Errorf("got %v, want all 10 requests on t1, which reported no load", got)
	}
	if got := take(t, s, 10, []ids.TargetIncarnation{{Target: "t1"}}, keep); got["t1"] != 0 {
		t.Error("an excluded target got requests")
	}
}

func TestWithoutTargetsRequestsAreRefused(t *testing.T) {
	c := commontest.New(network.NewMemory(nil))
	for _, s := range []schedule.Scheduler{schedule.NewLocal(c, newView(0), nil), schedule.NewBaseline(c, newView(0), schedule.RoundRobin, nil)} {
		p, refused, err := s.Acquire(context.Background(), schedule.Request{Service: "s"})
		if p != nil || refused == nil || refused.RetryAfter <= 0 || err != nil {
			t.Errorf("assignment %v, refused %+v, %v", p, refused, err)
		}
	}
}
