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
)

// Observer is told of moments of a play, for tests.
type Observer struct {
	// Asked is called after a caller's try was submitted.
	Asked func(now clock.Millis, p *planner.Planner, id planner.JobID)
	// Granted is called with how long the try had waited.
	Granted func(now clock.Millis, id planner.JobID, tier ids.TierRank, waited clock.Millis)
	// Refused is called with the time for which the try was held.
	Refused func(now clock.Millis, id planner.JobID, tier ids.TierRank, held clock.Millis)
	// Began is called with each planner that begins.
	Began func(p *planner.Planner)
}

const (
	tickEvery = 25 * clock.Millisecond
	// askEvery is how often callers' entries ask again for what waits.
	askEvery = 60 * clock.Millisecond
	// service is what the model's targets serve.
	service = ids.Service("modelled")
	entry   = "10.0.0.1:7600"
)

// play is one play of a load.
type play struct {
	load     *Load
	observer Observer
	random   *rand.Rand
	planner  *planner.Planner
	targets  []*target
	byID     map[ids.Target]*target
	callers  []*caller
	waiting  map[planner.JobID]*caller
	running  map[planner.JobID]*caller
	events   events
	number   int
	tries    uint64
}

// start is the moment at which a play begins: planners take 0 for unknown.
const start = 1000 * clock.Second

// Play plays a load and returns what callers got.
func Play(load Load, observer Observer) Result {
	p := newPlay(&load, observer)
	p.build()
	p.begin(start)
	p.schedule()
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		e.do(e.at)
	}
	return p.result()
}

func newPlay(load *Load, observer Observer) *play {
	return &play{
		load: load, observer: observer, random: rand.New(rand.NewPCG(load.Seed, 1)),
		byID: make(map[ids.Target]*target), waiting: make(map[planner.JobID]*caller), running: make(map[planner.JobID]*caller),
	}
}

// begin starts a planner that knows nothing but the targets.
func (p *play) begin(now clock.Millis) {
	p.planner = planner.New(rand.New(rand.NewPCG(p.load.Seed, 2)))
	if p.observer.Began != nil {
		p.observer.Began(p.planner)
	}
	p.offer(now)
}

func (p *play) offer(now clock.Millis) {
	var offered []*routing.Target
	for _, t := range p.targets {
		if !t.away {
			offered = append(offered, t.Target)
		}
	}
	p.planner.SetTargets(now, offered)
}

// schedule puts down all that comes from outside.
func (p *play) schedule() {
	end := start + p.load.Length
	p.drawAll()
	for _, c := range p.callers {
		p.at(c.first, func(now clock.Millis) { p.ask(now, c) })
	}
	for _, o := range p.load.Outages {
		p.at(start+o.At, func(now clock.Millis) { p.strike(now, o) })
	}
	for _, at := range p.load.Restarts {
		p.at(start+at, p.restart)
	}
	longest := clock.Millis(0)
	for _, k := range p.load.Kinds {
		longest = max(longest, k.Deadline)
	}
	for at := start; at < end+longest; at += tickEvery {
		p.at(at, p.tick)
	}
}

// ask submits a caller's try.
func (p *play) ask(now clock.Millis, c *caller) {
	p.tries++
	c.tries++
	c.asked = now
	c.id = planner.JobID{Entry: entry, Number: p.tries}
	p.waiting[c.id] = c
	p.planner.Submit(now, c.job())
	if p.observer.Asked != nil {
		p.observer.Asked(now, p.planner, c.id)
	}
	p.heed(now)
	id := c.id
	leave := func(now clock.Millis) { p.leave(now, c, id) }
	p.at(c.deadline(), leave)
	if patience := now + c.kind.Patience; patience > now && patience < c.deadline() {
		p.at(patience, leave)
	}
}

// leave ends a try that has seen no event yet, and any at the deadline.
func (p *play) leave(now clock.Millis, c *caller, id planner.JobID) {
	if c.id != id || c.fate != underWay || c.begun > 0 && now < c.deadline() {
		return
	}
	if _, waits := p.waiting[id]; !waits && p.running[id] == nil {
		return // it is to come back
	}
	c.fate = lost
	delete(p.waiting, id)
	if c.target != nil {
		p.free(c)
	} else {
		c.held += now - c.asked
	}
	p.planner.Withdraw(now, id)
	p.heed(now)
}

// heed does what the planner has decided.
func (p *play) heed(now clock.Millis) {
	for _, d := range p.planner.Decisions() {
		switch d := d.(type) {
		case planner.Grant:
			if c := p.waiting[d.ID]; c != nil {
				p.run(now, c, p.byID[d.Incarnation.Target])
			}
		case planner.Refuse:
			if c := p.waiting[d.ID]; c != nil {
				p.refuse(now, c, d.RetryAfter)
			}
		case planner.Move:
			// The model's targets begin what they are given.
		}
	}
}

func (p *play) refuse(now clock.Millis, c *caller, after clock.Millis) {
	delete(p.waiting, c.id)
	c.held += now - c.asked
	if p.observer.Refused != nil {
		p.observer.Refused(now, c.id, c.kind.Tier, now-c.asked)
	}
	if c.tries > c.kind.Returns {
		c.fate = refused
		if c.tries > 1 {
			c.fate = refusedAgain
		}
		return
	}
	if back := c.returnsAt(now, after); back < c.deadline() {
		p.at(back, func(now clock.Millis) { p.ask(now, c) })
		return
	}
	c.fate = refused
}

// inOrder lists tries as they were made, so that a seed repeats a play.
func inOrder(tries map[planner.JobID]*caller) []planner.JobID {
	ids := slices.Collect(maps.Keys(tries))
	slices.SortFunc(ids, func(a, b planner.JobID) int { return cmp.Compare(a.Number, b.Number) })
	return ids
}

// restart has another planner begin, which is told what runs and asked for what waits.
func (p *play) restart(now clock.Millis) {
	p.begin(now)
	for _, id := range inOrder(p.running) {
		c := p.running[id]
		p.planner.Restore(now, c.job(), c.target.Incarnation(), c.begun > 0)
	}
	for _, id := range inOrder(p.waiting) {
		p.planner.Submit(now, p.waiting[id].job())
	}
	p.heed(now)
}

func (p *play) tick(now clock.Millis) {
	if (now-start)%askEvery < tickEvery {
		for _, id := range inOrder(p.waiting) {
			if p.planner.Waits(id) {
				p.planner.Submit(now, p.waiting[id].job())
			}
		}
	}
	p.planner.Tick(now)
	p.heed(now)
}
