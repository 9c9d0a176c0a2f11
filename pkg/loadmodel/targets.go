package loadmodel

import (
	"math"
	"slices"
	"strconv"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// target is a simulated target.
type target struct {
	*routing.Target
	factor     float64                   // its speed factor
	number     uint64                    // among the targets
	crowded    float64                   // as TargetGroup.Crowded
	prefilling ids.Tokens                // of the prompts of running tries without a first event
	running    map[planner.JobID]*caller // the tries that run there
	down       bool                      // stopped by an outage
}

// buildTargets creates the targets of all groups, under the ids t0, t1 and so on.
func (s *simulation) buildTargets() {
	for _, group := range s.load.Targets {
		for range group.Count {
			id := ids.Target("t" + strconv.Itoa(len(s.targets)))
			t := &target{Target: &routing.Target{ID: id, Service: service, Slots: group.Slots}, factor: group.Factor, number: uint64(len(s.targets)), crowded: group.Crowded, running: make(map[planner.JobID]*caller)}
			s.targets = append(s.targets, t)
			s.byID[id] = t
		}
	}
}

// run starts a try at a target: its prompt is prefilled after those that are being prefilled there.
func (s *simulation) run(now clock.Millis, c *caller, t *target) {
	delete(s.waiting, c.id)
	if s.observer.Granted != nil {
		s.observer.Granted(now, c.id, c.kind.Tier, now-c.triedAt)
	}
	c.grantedAt, c.firstEventAt, c.target = now, 0, t
	s.running[c.id] = c
	t.running[c.id] = c
	t.prefilling += c.prompt
	const thousand = 1000
	first := t.factor * t.crowding() * (s.load.firstEvent(c) + s.load.Speed.PerThousandTokens*float64(t.prefilling)/thousand)
	id := c.id
	s.schedule(s.workEnd(now, t, first), func(now clock.Millis) { s.firstEvent(now, c, id) })
}

// firstEvent records the first event of the try id and schedules its end, unless the try has ended by now.
func (s *simulation) firstEvent(now clock.Millis, c *caller, id planner.JobID) {
	if c.id != id || s.running[id] == nil {
		return
	}
	c.target.prefilling -= c.prompt
	c.firstEventAt = now
	s.planner.RecordFirstEvent(now, id, s.loadReport(now, c.target))
	s.applyDecisions(now)
	decode := c.target.factor * s.load.Speed.Event * float64(c.events)
	s.schedule(s.workEnd(now, c.target, decode), func(now clock.Millis) { s.finish(now, c, id) })
}

// finish ends the try id with a complete answer, unless the try has ended by now. The answer is in time if its
// first event was.
func (s *simulation) finish(now clock.Millis, c *caller, id planner.JobID) {
	if c.id != id || s.running[id] == nil {
		return
	}
	c.status = late
	if c.firstEventAt <= c.firstTryAt+c.kind.Objective {
		c.status = inTime
	}
	s.release(c)
	s.planner.Finish(now, id, planner.Served, planner.StreamStats{Events: c.events})
	s.applyDecisions(now)
}

// release takes a try off its target, which frees the slot there. The planner is not told.
func (s *simulation) release(c *caller) {
	if c.firstEventAt == 0 {
		c.target.prefilling -= c.prompt
	}
	delete(c.target.running, c.id)
	delete(s.running, c.id)
	c.target = nil
}

// startOutage stops random targets, as many as the fraction of the outage rounded up, and schedules its end. Their
// callers are lost.
func (s *simulation) startOutage(now clock.Millis, o Outage) {
	n := int(math.Ceil(o.Fraction * float64(len(s.targets))))
	stopped := slices.Clone(s.targets)
	s.random.Shuffle(len(stopped), func(i, j int) { stopped[i], stopped[j] = stopped[j], stopped[i] })
	stopped = stopped[:n]
	for _, t := range stopped {
		t.down = true
		for _, id := range sortedTries(t.running) {
			c := t.running[id]
			c.status = lost
			s.release(c)
			s.planner.Finish(now, id, planner.Failed, planner.StreamStats{})
		}
	}
	s.setTargets(now)
	s.applyDecisions(now)
	s.schedule(now+o.For, func(now clock.Millis) {
		for _, t := range stopped {
			t.down = false
		}
		s.setTargets(now)
		s.applyDecisions(now)
	})
}
