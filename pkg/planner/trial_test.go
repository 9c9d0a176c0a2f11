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

// trialBed is a planner with some targets and four of a canary version, of ten slots each.
type trialBed struct {
	*planner.Planner
	now                 clock.Millis
	number              uint64
	canaryRuns          map[ids.Target]int // running jobs by canary target
	maxCanaryRuns       int                // highest number of jobs that ran at once on one canary target
	canaryGrantsByRoute map[ids.Route]int  // jobs granted to the canary version
	granted             int                // all grants
	canaryGrants        int
	ends                []ending // of the running jobs, in the order in which they end
}

// ending is when a granted job will end, and on which target.
type ending struct {
	at clock.Millis
	id planner.JobID
	on ids.Target
}

// newTrialBed returns a bed with a number of targets of the old version, and no trial set.
func newTrialBed(olds int) *trialBed {
	const canaries = 4
	b := &trialBed{Planner: planner.New(rand.New(rand.NewPCG(1, 1))), now: 1000, canaryRuns: make(map[ids.Target]int), canaryGrantsByRoute: make(map[ids.Route]int)}
	var targets []*routing.Target
	for i := range olds {
		targets = append(targets, &routing.Target{ID: ids.Target(fmt.Sprint("old", i)), Service: "s", Slots: 10})
	}
	for i := range canaries {
		targets = append(targets, &routing.Target{ID: ids.Target(fmt.Sprint("new", i)), Service: "s", Slots: 10, Admission: routing.OnTrial})
	}
	b.SetTargets(b.now, targets)
	return b
}

// submit submits a job that change has adapted; if granted, it ends 300 ms later, once advance reaches that time.
func (b *trialBed) submit(change func(*planner.Job)) planner.JobID {
	b.number++
	j := planner.Job{
		ID: planner.JobID{Entry: "e", Number: b.number}, Arrived: b.now, Objective: 800, Deadline: b.now + 15000,
		Events: 10, Route: "r", Trial: true,
	}
	change(&j)
	b.Submit(b.now, j)
	b.recordGrants(j.Route)
	return j.ID
}

// recordGrants takes the planner's decisions and counts the grants, those to canary targets for the given route.
func (b *trialBed) recordGrants(route ids.Route) {
	for _, d := range b.Decisions() {
		g, granted := d.(planner.Grant)
		if !granted {
			continue
		}
		b.granted++
		if g.Incarnation.Target[:3] == "new" {
			b.canaryGrants++
			b.canaryGrantsByRoute[route]++
			b.canaryRuns[g.Incarnation.Target]++
			b.maxCanaryRuns = max(b.maxCanaryRuns, b.canaryRuns[g.Incarnation.Target])
		}
		b.ends = append(b.ends, ending{b.now + 300, g.ID, g.Incarnation.Target})
	}
}

// advance lets time pass, ends the jobs that are due, and calls Tick.
func (b *trialBed) advance(ms clock.Millis) {
	b.now += ms
	for len(b.ends) > 0 && b.ends[0].at <= b.now {
		b.RecordFirstEvent(b.now, b.ends[0].id, nil)
		b.Finish(b.now, b.ends[0].id, planner.Served, planner.StreamStats{Events: 10})
		if n := b.canaryRuns[b.ends[0].on]; n > 0 {
			b.canaryRuns[b.ends[0].on]--
		}
		b.ends = b.ends[1:]
	}
	b.Tick(b.now)
	b.recordGrants("") // the routes of these jobs are not known here
}

// TestCanaryGetsItsFractionAndIsLoaded simulates 100 requests per second on three routes, one of them with few
// requests: the canary version gets its fraction, each route is tried, and targets are filled.
func TestCanaryGetsItsFractionAndIsLoaded(t *testing.T) {
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
		b.advance(10)
	}
	if fraction := float64(b.canaryGrants) / float64(b.granted); fraction < 0.05 || fraction > 0.07 {
		t.Errorf("%d of %d jobs went to the canary version", b.canaryGrants, b.granted)
	}
	if b.canaryGrantsByRoute["rare"] < 8 || b.canaryGrantsByRoute["some"] < 30 {
		t.Errorf("canary jobs by route: %v", b.canaryGrantsByRoute)
	}
	if b.maxCanaryRuns < 7 {
		t.Errorf("no canary target ran more than %d jobs at once", b.maxCanaryRuns)
	}
	if len(b.Observations()) < 2900 {
		t.Error("observations are missing")
	}
}

// TestOnlyPermittedJobsGoToCanary has no entry allow its jobs to go to the canary version.
func TestOnlyPermittedJobsGoToCanary(t *testing.T) {
	b := newTrialBed(4)
	b.SetTrial(planner.Trial{Fraction: 0.5}, true)
	for range 300 {
		b.submit(func(j *planner.Job) { j.Trial = false })
		b.advance(20)
	}
	if b.canaryGrants > 0 {
		t.Errorf("%d jobs went to the canary version", b.canaryGrants)
	}
}

// TestCanaryGetsNothingWithoutTrial guards against jobs on canary targets when no trial is set and all other targets
// are full.
func TestCanaryGetsNothingWithoutTrial(t *testing.T) {
	b := newTrialBed(1)
	for range 40 {
		b.submit(func(*planner.Job) {})
	}
	if b.canaryGrants > 0 || b.granted > 10 {
		t.Errorf("%d jobs granted, %d of them on canary targets", b.granted, b.canaryGrants)
	}
}

// TestJobsLeaveOldVersion has the old version's targets drained: jobs that may be repeated still go there, other
// jobs only while they will have ended in time, and none once the targets are closed.
func TestJobsLeaveOldVersion(t *testing.T) {
	b := newTrialBed(4)
	b.SetTrial(planner.Trial{Fraction: 0.01, UnrepeatableUntil: b.now + 3000}, true)
	b.submit(func(j *planner.Job) { j.Events = 5 }) // it ends well before
	if b.canaryGrants != 0 {
		t.Error("a short job left the old version")
	}
	b.submit(func(j *planner.Job) { j.Events = 400 })
	if b.canaryGrants != 1 {
		t.Error("a job that may outlast the old version was assigned to it")
	}
	b.submit(func(j *planner.Job) { j.Events = 400; j.Movable = true })
	if b.canaryGrants != 1 {
		t.Error("a job that may be repeated left the old version")
	}
	b.SetTrial(planner.Trial{Fraction: 0.01, UnrepeatableUntil: b.now + 3000, NoUnrepeatable: true}, true)
	b.submit(func(j *planner.Job) { j.Events = 5 })
	if b.canaryGrants != 2 {
		t.Error("a job that may not be repeated was assigned to the closed old version")
	}
	waiting := b.submit(func(j *planner.Job) { j.Trial = false })
	if !b.IsQueued(waiting) {
		t.Error("a job without a permitted target does not wait")
	}
	if n := b.UnrepeatableRuns(); n != 1 {
		t.Errorf("%d jobs that may not be repeated run on the old version", n)
	}
}

// TestNoLowerTierOnCanaryWhileHigherIsShed overloads the old version: while the highest tier is refused, no job of
// a lower one goes to the canary version.
func TestNoLowerTierOnCanaryWhileHigherIsShed(t *testing.T) {
	b := newTrialBed(1)
	b.SetTrial(planner.Trial{Fraction: 0.9}, true)
	for range 200 {
		b.submit(func(j *planner.Job) { j.Trial = false; j.Objective = 50; j.Events = 500 })
	}
	before := b.canaryGrants
	b.submit(func(j *planner.Job) { j.Tier = 1 })
	if b.canaryGrants != before {
		t.Error("a job of a lower tier was assigned to a canary target")
	}
}

// TestJobsWaitUntilNewVersionOpens has the old version stopped a moment before the new one may get all jobs: jobs
// wait for that and are not refused.
func TestJobsWaitUntilNewVersionOpens(t *testing.T) {
	b := newTrialBed(0)
	b.SetTrial(planner.Trial{OpensAt: b.now + 400}, false)
	id := b.submit(func(j *planner.Job) { j.Trial = false })
	if !b.IsQueued(id) {
		t.Fatal("the job was refused")
	}
	b.advance(200)
	if !b.IsQueued(id) {
		t.Fatal("the job was refused while it waited")
	}
	var targets []*routing.Target
	for i := range 4 {
		targets = append(targets, &routing.Target{ID: ids.Target(fmt.Sprint("new", i)), Service: "s", Slots: 10})
	}
	b.now += 250
	b.SetTargets(b.now, targets)
	if b.IsQueued(id) {
		t.Error("the job still waits although the version is open")
	}
}
