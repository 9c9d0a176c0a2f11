package planner_test

import (
	"fmt"
	"math/rand/v2"

	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// A planner with one slot grants the first job and lets the second wait; when the first ends, the second gets its
// slot.
func ExamplePlanner() {
	p := planner.New(rand.New(rand.NewPCG(1, 1)))
	p.SetTargets(0, []*routing.Target{{ID: "engine-1", Slots: 1}})
	first := planner.Job{ID: planner.JobID{Entry: "a", Number: 1}, Objective: 5000, Deadline: 9000}
	second := planner.Job{ID: planner.JobID{Entry: "b", Number: 1}, Objective: 5000, Deadline: 9000}
	p.Submit(0, first)
	p.Submit(10, second)
	show(p.Decisions())
	p.RecordFirstEvent(50, first.ID, nil)
	p.Finish(900, first.ID, planner.Served, planner.StreamStats{Events: 1})
	show(p.Decisions())
	// Output:
	// 1 decision
	// granted: 1 of a to engine-1
	// 1 decision
	// granted: 1 of b to engine-1
}

func show(decisions []planner.Decision) {
	fmt.Println(len(decisions), "decision")
	for _, d := range decisions {
		if g, ok := d.(planner.Grant); ok {
			fmt.Printf("granted: %d of %s to %v\n", g.ID.Number, g.ID.Entry, g.Incarnation)
		}
	}
}
