package loadmodel

import (
	"cmp"
	"math"
	"slices"

	"quaydock/pkg/clock"
)

// boundWindow is the time in which the order of work is free for the bound.
const boundWindow = 2 * clock.Second

// UpperBound is what a scheduler could earn at the most that knew all that was to come: in
// each window the places go to what is asked in it, tiers in order, the shortest runs
// first; what is left goes to what waits from before, which is late. Callers who come
// back, runs that end in another window and the time to begin them cost it nothing; but what
// comes at the end of a window finds no place in the next, by which a play may earn half a
// hundredth more.
func UpperBound(load Load) Result {
	p := newPlay(&load, Observer{})
	p.drawAll()
	var waiting []*caller
	for from := clock.Millis(0); from < load.Length+boundWindow; from += boundWindow {
		left := load.places(from) * float64(boundWindow)
		var fresh []*caller
		for _, c := range p.callers {
			if at := c.first - start; at >= from && at < from+boundWindow {
				fresh = append(fresh, c)
			}
		}
		fresh, left = p.serve(fresh, left, inTime)
		waiting = slices.DeleteFunc(append(waiting, fresh...), func(c *caller) bool { return c.deadline()-start < from+boundWindow })
		waiting, _ = p.serve(waiting, left, late)
	}
	return p.result()
}

// serve gives callers places as long as there are some, and returns those who got none.
func (p *play) serve(callers []*caller, left float64, as fate) ([]*caller, float64) {
	slices.SortFunc(callers, func(a, b *caller) int {
		return cmp.Or(cmp.Compare(a.kind.Tier, b.kind.Tier), cmp.Compare(p.runTime(a), p.runTime(b)))
	})
	var without []*caller
	for _, c := range callers {
		need := p.runTime(c)
		if need > left {
			without = append(without, c)
			c.fate = refused
			continue
		}
		left -= need
		c.fate = as
	}
	return without, left
}

// runTime is for how many ms a caller's run takes a place of a target of factor 1 where
// no other prompt is read.
func (p *play) runTime(c *caller) float64 {
	s := p.load.Speed
	const thousand = 1000
	return s.First + s.ThousandToken*float64(c.prompt)/thousand + s.Event*float64(c.events)
}

// places is how many places of targets of factor 1 there are in the window from a moment
// on; an outage counts by how much of the window it takes.
func (l *Load) places(from clock.Millis) float64 {
	all := 0.0
	for _, t := range l.Targets {
		all += float64(t.Count*t.Slots) / t.Factor
	}
	away := 0.0
	for _, o := range l.Outages {
		overlap := min(from+boundWindow, o.At+o.For) - max(from, o.At)
		away += o.Share * math.Max(0, float64(overlap)) / float64(boundWindow)
	}
	return all * math.Max(0, 1-away)
}
