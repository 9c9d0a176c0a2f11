package planner_test

import (
	"fmt"
	"math/rand/v2"

	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// A planner with one slot grants the first job and lets the second wait; when
// the first ends, the second gets its place.
func ExamplePlanner() {
	p := planner.New(rand.New(rand.NewPCG(1, 1)))
	p.SetTargets(0, []*routing.Target{{ID: "engine-1", Slots: 1}})
	first := planner.Job{ID: planner.JobID{Entry: "a", Number: 1}, Objective: 5000, Deadline: 9000}
	second := planner.Job{ID: planner.JobID{Entry: "b", Number: 1}, Objective: 5000, Deadline: 9000}
	p.Submit(0, first)
	p.Submit(10, second)
	fmt.Println(p.Decisions())
	p.Begin(50, first.ID, nil)
	p.Finish(900, first.ID, planner.Served, planner.Flow{Events: 1})
	fmt.Println(p.Decisions())
	// Output:
	// [{{{} a 1} engine-1}]
	// [{{{} b 1} engine-1}]
}
