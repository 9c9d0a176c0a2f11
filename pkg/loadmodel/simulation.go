package loadmodel

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/slowdown"
)

// Observer has callbacks for events of a simulation, for tests. Each may be nil.
type Observer struct {
	// Submitted is called after a caller's try was submitted.
	Submitted func(now clock.Millis, p *planner.Planner, id planner.JobID)
	// Granted is called when a try is granted, with its waiting time.
	Granted func(now clock.Millis, id planner.JobID, tier ids.TierRank, waited clock.Millis)
	// Refused is called when a try is refused, with its waiting time.
	Refused func(now clock.Millis, id planner.JobID, tier ids.TierRank, waited clock.Millis)
	// Reported is called when a target's report of its slowness has reached the planner.
	Reported func(p *planner.Planner, target ids.Target, slowdown slowdown.Factor)
	// PlannerStarted is called with each new planner.
	PlannerStarted func(p *planner.Planner)
}

const (
	// tickEvery is how often the planner's Tick is called.
	tickEvery = 25 * clock.Millisecond
	// resubmitEvery is how often entries submit waiting tries again, which keeps them in the planner's queue.
	resubmitEvery = 60 * clock.Millisecond
	// service is the service of all simulated targets.
	service = ids.Service("modelled")
	// entry is the entry in the job ids of all tries.
	entry = "10.0.0.1:7600"
)

// simulation is one simulation of a load.
type simulation struct {
	load      *Load
	observer  Observer
	random    *rand.Rand
	planner   *planner.Planner
	targets   []*target
	byID      map[ids.Target]*target
	callers   []*caller
	waiting   map[planner.JobID]*caller // tries that are submitted and neither granted nor refused
	running   map[planner.JobID]*caller // tries that are granted and not ended
	events    events                    // the actions still to come
	scheduled int                       // events scheduled so far
	tries     uint64                    // tries of all callers so far, the number of the latest job id
}

// startTime is the time at which a simulation begins. It is not 0 because planners take that for unknown.
const startTime = 1000 * clock.Second

// Simulate simulates a load and returns what the callers got.
func Simulate(load Load, observer Observer) Result {
	s := newSimulation(&load, observer)
	s.buildTargets()
	s.startPlanner(startTime)
	s.scheduleInputs()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		e.do(e.at)
	}
	return s.result()
}

// newSimulation returns a simulation without callers, targets and a planner.
func newSimulation(load *Load, observer Observer) *simulation {
	return &simulation{
		load: load, observer: observer, random: rand.New(rand.NewPCG(load.Seed, 1)),
		byID: make(map[ids.Target]*target), waiting: make(map[planner.JobID]*caller), running: make(map[planner.JobID]*caller),
	}
}

// startPlanner replaces the planner by a new one that knows only the targets.
func (s *simulation) startPlanner(now clock.Millis) {
	s.planner = planner.New(rand.New(rand.NewPCG(s.load.Seed, 2)))
	s.planner.Disable(s.load.Off)
	if slices.ContainsFunc(s.load.Kinds, func(k Kind) bool { return k.Account != "" }) {
		s.planner.SetAccountWeights(now, func(ids.Account) float64 { return 1 })
	}
	if s.observer.PlannerStarted != nil {
		s.observer.PlannerStarted(s.planner)
	}
	s.setTargets(now)
}

// setTargets gives the planner the targets that no outage has stopped.
func (s *simulation) setTargets(now clock.Millis) {
	var offered []*routing.Target
	for _, t := range s.targets {
		if !t.down {
			offered = append(offered, t.Target)
		}
	}
	s.planner.SetTargets(now, offered)
}

// scheduleInputs schedules the callers, the outages, the restarts and the ticks. The ticks go on until the
// deadline of every caller is over.
func (s *simulation) scheduleInputs() {
	end := startTime + s.load.Length
	s.drawAll()
	for _, c := range s.callers {
		s.schedule(c.firstTryAt, func(now clock.Millis) { s.submit(now, c) })
	}
	for _, o := range s.load.Outages {
		s.schedule(startTime+o.At, func(now clock.Millis) { s.startOutage(now, o) })
	}
	for _, at := range s.load.Restarts {
		s.schedule(startTime+at, s.restart)
	}
	longest := clock.Millis(0)
	for _, k := range s.load.Kinds {
		longest = max(longest, k.Deadline)
	}
	for at := startTime; at < end+longest; at += tickEvery {
		s.schedule(at, s.tick)
	}
}

// submit submits a caller's next try.
func (s *simulation) submit(now clock.Millis, c *caller) {
	s.tries++
	c.tries++
	c.triedAt = now
	c.id = planner.JobID{Entry: entry, Number: s.tries}
	s.waiting[c.id] = c
	s.planner.Submit(now, c.job())
	if s.observer.Submitted != nil {
		s.observer.Submitted(now, s.planner, c.id)
	}
	s.applyDecisions(now)
	id := c.id
	leave := func(now clock.Millis) { s.leave(now, c, id) }
	s.schedule(c.deadline(), leave)
	if patienceEnd := now + c.kind.Patience; patienceEnd > now && patienceEnd < c.deadline() {
		s.schedule(patienceEnd, leave)
	}
}

// leave is scheduled for the end of the caller's patience and for its deadline. It ends the try id if that is still the
// caller's latest, unless the first event has come; at the deadline it ends it in any case. The caller is then lost.
func (s *simulation) leave(now clock.Millis, c *caller, id planner.JobID) {
	if c.id != id || c.status != unfinished || c.firstEventAt > 0 && now < c.deadline() {
		return
	}
	if _, waits := s.waiting[id]; !waits && s.running[id] == nil {
		return // the caller has yet to return
	}
	c.status = lost
	delete(s.waiting, id)
	if c.target != nil {
		s.release(c)
	} else {
		c.heldFor += now - c.triedAt
	}
	s.planner.Withdraw(now, id)
	s.applyDecisions(now)
}

// applyDecisions carries out the decisions of the planner.
func (s *simulation) applyDecisions(now clock.Millis) {
	for _, d := range s.planner.Decisions() {
		switch d := d.(type) {
		case planner.Grant:
			if c := s.waiting[d.ID]; c != nil {
				s.run(now, c, s.byID[d.Incarnation.Target])
			}
		case planner.Refusal:
			if c := s.waiting[d.ID]; c != nil {
				s.refuse(now, c, d.RetryAfter)
			}
		case planner.Move:
			// Simulated targets start every request at once, so that none is re-dispatched.
		}
	}
}

// refuse ends a try that the planner refused with a Retry-After of after. The caller returns if it has a return left
// and would be back before its deadline.
func (s *simulation) refuse(now clock.Millis, c *caller, after clock.Millis) {
	delete(s.waiting, c.id)
	c.heldFor += now - c.triedAt
	if s.observer.Refused != nil {
		s.observer.Refused(now, c.id, c.kind.Tier, now-c.triedAt)
	}
	if c.tries > c.kind.MaxReturns {
		c.status = refused
		if c.tries > 1 {
			c.status = refusedAgain
		}
		return
	}
	if again := c.returnsAt(now, after); again < c.deadline() {
		s.schedule(again, func(now clock.Millis) { s.submit(now, c) })
		return
	}
	c.status = refused
}

// sortedTries returns the ids of tries in the order in which they were made, so that a simulation is repeatable.
func sortedTries(tries map[planner.JobID]*caller) []planner.JobID {
	ids := slices.Collect(maps.Keys(tries))
	slices.SortFunc(ids, func(a, b planner.JobID) int { return cmp.Compare(a.Number, b.Number) })
	return ids
}

// restart replaces the planner by a new one, to which running tries are restored and waiting ones submitted again.
func (s *simulation) restart(now clock.Millis) {
	s.startPlanner(now)
	for _, id := range sortedTries(s.running) {
		c := s.running[id]
		s.planner.Restore(now, c.job(), c.target.Incarnation(), c.firstEventAt > 0)
	}
	for _, id := range sortedTries(s.waiting) {
		s.planner.Submit(now, s.waiting[id].job())
	}
	s.applyDecisions(now)
}

// tick calls the planner's Tick, in the first tick of each resubmitEvery after submitting again the tries that
// it still has queued.
func (s *simulation) tick(now clock.Millis) {
	if (now-startTime)%resubmitEvery < tickEvery {
		for _, id := range sortedTries(s.waiting) {
			if s.planner.IsQueued(id) {
				s.planner.Submit(now, s.waiting[id].job())
			}
		}
	}
	s.planner.Tick(now)
	s.applyDecisions(now)
}
