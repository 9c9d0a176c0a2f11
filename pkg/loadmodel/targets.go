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

// target is one that is played.
type target struct {
	*routing.Target
	factor  float64
	reading ids.Tokens
	running map[planner.JobID]*caller
	away    bool
}

func (p *play) build() {
	for _, group := range p.load.Targets {
		for range group.Count {
			id := ids.Target("t" + strconv.Itoa(len(p.targets)))
			t := &target{Target: &routing.Target{ID: id, Service: service, Slots: group.Slots}, factor: group.Factor, running: make(map[planner.JobID]*caller)}
			p.targets = append(p.targets, t)
			p.byID[id] = t
		}
	}
}

// run has a target work on a try: its prompt is read behind those that are read there.
func (p *play) run(now clock.Millis, c *caller, t *target) {
	delete(p.waiting, c.id)
	if p.observer.Granted != nil {
		p.observer.Granted(now, c.id, c.kind.Tier, now-c.asked)
	}
	c.granted, c.begun, c.target = now, 0, t
	p.running[c.id] = c
	t.running[c.id] = c
	t.reading += c.prompt
	const thousand = 1000
	first := t.factor * (p.load.Speed.First + p.load.Speed.ThousandToken*float64(t.reading)/thousand)
	id := c.id
	p.at(now+clock.Millis(first), func(now clock.Millis) { p.first(now, c, id) })
}

func (p *play) first(now clock.Millis, c *caller, id planner.JobID) {
	if c.id != id || p.running[id] == nil {
		return
	}
	c.target.reading -= c.prompt
	c.begun = now
	p.planner.RecordFirstEvent(now, id, nil)
	p.heed(now)
	rest := c.target.factor * p.load.Speed.Event * float64(c.events)
	p.at(now+clock.Millis(rest), func(now clock.Millis) { p.end(now, c, id) })
}

func (p *play) end(now clock.Millis, c *caller, id planner.JobID) {
	if c.id != id || p.running[id] == nil {
		return
	}
	c.fate = late
	if c.begun <= c.first+c.kind.Objective {
		c.fate = inTime
	}
	p.free(c)
	p.planner.Finish(now, id, planner.Served, planner.StreamStats{Events: c.events})
	p.heed(now)
}

// free takes a try off its target.
func (p *play) free(c *caller) {
	if c.begun == 0 {
		c.target.reading -= c.prompt
	}
	delete(c.target.running, c.id)
	delete(p.running, c.id)
	c.target = nil
}

// strike takes targets away for a while.
func (p *play) strike(now clock.Millis, o Outage) {
	n := int(math.Ceil(o.Share * float64(len(p.targets))))
	struck := slices.Clone(p.targets)
	p.random.Shuffle(len(struck), func(i, j int) { struck[i], struck[j] = struck[j], struck[i] })
	struck = struck[:n]
	for _, t := range struck {
		t.away = true
		for _, id := range inOrder(t.running) {
			c := t.running[id]
			c.fate = lost
			p.free(c)
			p.planner.Finish(now, id, planner.Failed, planner.StreamStats{})
		}
	}
	p.offer(now)
	p.heed(now)
	p.at(now+o.For, func(now clock.Millis) {
		for _, t := range struck {
			t.away = false
		}
		p.offer(now)
		p.heed(now)
	})
}
