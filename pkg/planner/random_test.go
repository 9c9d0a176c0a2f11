package planner_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// TestRandomHistories checks, over random histories, that no target runs more
// than its slots, that no job is granted twice, and that none is granted while
// one of a higher tier that could have had the place waits.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := []int{2, 3, 1}
		p := newPlanner(slots...)
		now := start
		h := history{t: t, p: p, running: map[uint64]ids.Target{}, load: map[ids.Target]int{}, tiers: map[uint64]ids.TierRank{}, waiting: map[uint64]bool{}}
		for i := range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 80).Draw(t, "pause"))
			h.step(now, uint64(i+1))
			h.check(slots)
		}
	})
}

type history struct {
	t       *rapid.T
	p       *planner.Planner
	running map[uint64]ids.Target
	load    map[ids.Target]int
	tiers   map[uint64]ids.TierRank
	waiting map[uint64]bool
}

func (h *history) step(now clock.Millis, number uint64) {
	switch rapid.IntRange(0, 4).Draw(h.t, "do") {
	case 0, 1:
		j := job(number, ids.TierRank(rapid.IntRange(0, 2).Draw(h.t, "tier")))
		j.Arrived, j.Deadline = now, now+5*clock.Second
		h.tiers[number] = j.Tier
		h.waiting[number] = true
		h.p.Submit(now, j)
	case 2:
		for n := range h.running {
			h.p.Begin(now, planner.JobID{Entry: "e", Number: n}, nil)
			break
		}
	case 3:
		for n, at := range h.running {
			outcome := planner.Outcome(rapid.IntRange(0, 5).Draw(h.t, "outcome"))
			delete(h.running, n)
			h.load[at]--
			h.p.Finish(now, planner.JobID{Entry: "e", Number: n}, outcome, planner.Flow{Events: 5})
			break
		}
	case 4:
		h.p.Tick(now)
	}
	h.take()
}

func (h *history) take() {
	for _, d := range h.p.Decisions() {
		switch d := d.(type) {
		case planner.Grant:
			if _, twice := h.running[d.ID.Number]; twice || !h.waiting[d.ID.Number] {
				h.t.Fatalf("job %d granted though it does not wait", d.ID.Number)
			}
			delete(h.waiting, d.ID.Number)
			for n := range h.waiting {
				if h.tiers[n] < h.tiers[d.ID.Number] && !h.decidedSoon(n) {
					h.t.Fatalf("job %d of tier %d granted while %d of tier %d waits", d.ID.Number, h.tiers[d.ID.Number], n, h.tiers[n])
				}
			}
			h.running[d.ID.Number] = d.Target
			h.load[d.Target]++
		case planner.Refuse:
			delete(h.waiting, d.ID.Number)
		}
	}
}

// decidedSoon reports whether the planner no longer holds a job: it was dropped
// as its entry stopped asking.
func (h *history) decidedSoon(number uint64) bool {
	return !h.p.Waits(planner.JobID{Entry: "e", Number: number})
}

func (h *history) check(slots []int) {
	for i, n := range slots {
		if got := h.load[ids.Target(fmt.Sprintf("t%d", i))]; got > n {
			h.t.Fatalf("target t%d runs %d in %d slots", i, got, n)
		}
	}
}
