package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// trialBed is a planner before four targets and four of a version on trial, of ten places each.
type trialBed struct {
	*planner.Planner
	now    clock.Millis
	number uint64
	onNew  map[ids.Target]int // jobs that run there
	most   int                // of one target on trial
	routes map[ids.Route]int  // jobs that went to the version on trial
	all    int
	sent   int
	ends   []ending
}

type ending struct {
	at clock.Millis
	id planner.JobID
	on ids.Target
}

func newTrialBed(olds int) *trialBed {
	const news = 4
	b := &trialBed{Planner: planner.New(rand.New(rand.NewPCG(1, 1))), now: 1000, onNew: make(map[ids.Target]int), routes: make(map[ids.Route]int)}
	var targets []*routing.Target
	for i := range olds {
		targets = append(targets, &routing.Target{ID: ids.Target(fmt.Sprint("old", i)), Service: "s", Slots: 10})
	}
	for i := range news {
		targets = append(targets, &routing.Target{ID: ids.Target(fmt.Sprint("new", i)), Service: "s", Slots: 10, Admission: routing.OnTrial})
	}
	b.SetTargets(b.now, targets)
	return b
}

// submit submits a job that runs for a while.
func (b *trialBed) submit(change func(*planner.Job)) planner.JobID {
	b.number++
	j := planner.Job{
		ID: planner.JobID{Entry: "e", Number: b.number}, Arrived: b.now, Objective: 800, Deadline: b.now + 15000,
		Events: 10, Route: "r", Trial: true,
	}
	change(&j)
	b.Submit(b.now, j)
	b.take(j.Route)
	return j.ID
}

func (b *trialBed) take(route ids.Route) {
	for _, d := range b.Decisions() {
		g, granted := d.(planner.Grant)
		if !granted {
			continue
		}
		b.all++
		if g.Incarnation.Target[:3] == "new" {
			b.sent++
			b.routes[route]++
			b.onNew[g.Incarnation.Target]++
			b.most = max(b.most, b.onNew[g.Incarnation.Target])
		}
		b.ends = append(b.ends, ending{b.now + 300, g.ID, g.Incarnation.Target})
	}
}

func (b *trialBed) pass(ms clock.Millis) {
	b.now += ms
	for len(b.ends) > 0 && b.ends[0].at <= b.now {
		b.Begin(b.now, b.ends[0].id, nil)
		b.Finish(b.now, b.ends[0].id, planner.Served, planner.StreamStats{Events: 10})
		if n := b.onNew[b.ends[0].on]; n > 0 {
			b.onNew[b.ends[0].on]--
		}
		b.ends = b.ends[1:]
	}
	b.Tick(b.now)
	b.take("")
}

// TestATrialGetsItsShareAndIsLoaded plays 100 requests a second of three routes, one of them
// rare: the version on trial gets its share, each route is tried, and targets are filled.
func TestATrialGetsItsShareAndIsLoaded(t *testing.T) {
	b := newTrialBed(4)
	b.SetTrial(planner.Trial{Fraction: 0.06}, true)
	for n := range 3000 {
		route := ids.Route("often")
		switch {
		case n%50 == 0:
			route = "rare"
		case n%5 == 0:
			route = "some"
		}
		b.submit(func(j *planner.Job) { j.Route = route })
		b.pass(10)
	}
	if part := float64(b.sent) / float64(b.all); part < 0.05 || part > 0.07 {
		t.Errorf("%d of %d jobs went to the version on trial", b.sent, b.all)
	}
	if b.routes["rare"] < 8 || b.routes["some"] < 30 {
		t.Errorf("by route: %v", b.routes)
	}
	if b.most < 7 {
		t.Errorf("no target on trial ran more than %d jobs at once", b.most)
	}
	if len(b.Observations()) < 2900 {
		t.Error("observations are missing")
	}
}

// TestOnlyMarkedJobsAreTried has no entry allow its jobs to go to the version on trial.
func TestOnlyMarkedJobsAreTried(t *testing.T) {
	b := newTrialBed(4)
	b.SetTrial(planner.Trial{Fraction: 0.5}, true)
	for range 300 {
		b.submit(func(j *planner.Job) { j.Trial = false })
		b.pass(20)
	}
	if b.sent > 0 {
		t.Errorf("%d jobs went to the version on trial", b.sent)
	}
}

// TestWithoutAPlanATrialGetsNothing also when all other targets are full.
func TestWithoutAPlanATrialGetsNothing(t *testing.T) {
	b := newTrialBed(1)
	for range 40 {
		b.submit(func(*planner.Job) {})
	}
	if b.sent > 0 || b.all > 10 {
		t.Errorf("%d jobs are placed, %d on trial", b.all, b.sent)
	}
}

// TestWorkLeavesTheOldVersion has the old version's targets left: what may be repeated still goes
// there, other jobs do only while they will have ended in time, and none once they are closed.
func TestWorkLeavesTheOldVersion(t *testing.T) {
	b := newTrialBed(4)
	b.SetTrial(planner.Trial{Fraction: 0.01, UnrepeatableUntil: b.now + 3000}, true)
	b.submit(func(j *planner.Job) { j.Events = 5 }) // it ends well before
	if b.sent != 0 {
		t.Error("a short job left the old version")
	}
	b.submit(func(j *planner.Job) { j.Events = 400 })
	if b.sent != 1 {
		t.Error("a job that may outlast the old version went there")
	}
	b.submit(func(j *planner.Job) { j.Events = 400; j.Movable = true })
	if b.sent != 1 {
		t.Error("a job that may be repeated left the old version")
	}
	b.SetTrial(planner.Trial{Fraction: 0.01, UnrepeatableUntil: b.now + 3000, NoUnrepeatable: true}, true)
	b.submit(func(j *planner.Job) { j.Events = 5 })
	if b.sent != 2 {
		t.Error("a job that may not be repeated went to the old version though it is closed")
	}
	waiting := b.submit(func(j *planner.Job) { j.Trial = false })
	if !b.Waits(waiting) {
		t.Error("a job that may go nowhere does not wait")
	}
	if n := b.Unrepeatable(); n != 1 {
		t.Errorf("%d jobs that may not be repeated run on the old version", n)
	}
}

// TestNoLowerTierIsTriedWhileAHigherOneIsShed overloads the old version: while the highest tier is
// refused, none of a lower one goes to the version on trial.
func TestNoLowerTierIsTriedWhileAHigherOneIsShed(t *testing.T) {
	b := newTrialBed(1)
	b.SetTrial(planner.Trial{Fraction: 0.9}, true)
	for range 200 {
		b.submit(func(j *planner.Job) { j.Trial = false; j.Objective = 50; j.Events = 500 })
	}
	before := b.sent
	b.submit(func(j *planner.Job) { j.Tier = 1 })
	if b.sent != before {
		t.Error("a job of a lower tier was served on trial")
	}
}

// TestJobsWaitUntilTheNewVersionOpens has the old version stopped a moment before the new one may get
// all: jobs wait for that and are not sent away.
func TestJobsWaitUntilTheNewVersionOpens(t *testing.T) {
	b := newTrialBed(0)
	b.SetTrial(planner.Trial{OpensAt: b.now + 400}, false)
	id := b.submit(func(j *planner.Job) { j.Trial = false })
	if !b.Waits(id) {
		t.Fatal("it was sent away")
	}
	b.pass(200)
	if !b.Waits(id) {
		t.Fatal("it does not wait any more")
	}
	var targets []*routing.Target
	for i := range 4 {
		targets = append(targets, &routing.Target{ID: ids.Target(fmt.Sprint("new", i)), Service: "s", Slots: 10})
	}
	b.now += 250
	b.SetTargets(b.now, targets)
	if b.Waits(id) {
		t.Error("it waits though the version is open")
	}
}
