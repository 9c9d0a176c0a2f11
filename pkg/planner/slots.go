package planner

import (
	"cmp"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// SlotUse tells how many of its slots a target uses at most, and why it uses no more.
type SlotUse struct {
	Target ids.Target
	// Slots is what the target declares, Usable how many jobs it gets at once at most, and Running those that it has.
	Slots, Usable, Running int
	Limit                  SlotLimit
}

// SlotLimit is why a target gets fewer jobs than it has slots.
type SlotLimit int

//go:generate stringer -type=SlotLimit -linecomment -output=slot_limit_string.go

// Reasons why slots are left unused.
const (
	// Unlimited: all slots are used.
	Unlimited SlotLimit = iota // none
	// Ejected: it gets nothing for a while after failures.
	Ejected // ejected
	// Probing: after an ejection it gets one job at a time until it has served one.
	Probing // probing
	// CallsEndSooner: calls end sooner if fewer run at once.
	CallsEndSooner // call_times
)

// slotUse returns how many slots of a target are used. Rates of cold targets and those that targets report are left out:
// they don't limit what runs at once.
func (p *Planner) slotUse(now clock.Millis, t *target, avoidFailing bool) SlotUse {
	u := SlotUse{Target: t.ID, Slots: t.capacity(), Usable: t.capacity(), Running: len(t.runs)}
	switch limit := p.slotsForCalls(now, t); {
	case avoidFailing && t.health.Ejected(now):
		u.Usable, u.Limit = 0, Ejected
	case avoidFailing && t.probing:
		u.Usable, u.Limit = 1, Probing
	case limit < u.Slots:
		u.Usable, u.Limit = limit, CallsEndSooner
	}
	return u
}

// limitedTargets returns the eligible targets that do not use all of their slots, in the order of their ids.
func (p *Planner) limitedTargets(now clock.Millis) []SlotUse {
	avoidFailing := p.halfHealthy(now)
	var limited []SlotUse
	for _, t := range p.eligible {
		if u := p.slotUse(now, t, avoidFailing); u.Limit != Unlimited {
			limited = append(limited, u)
		}
	}
	slices.SortFunc(limited, func(a, b SlotUse) int { return cmp.Compare(a.Target, b.Target) })
	return limited
}

// freeSlots returns how many slots of the eligible targets run nothing, whether or not they are used.
func (p *Planner) freeSlots(now clock.Millis) int {
	free := 0
	for _, t := range p.eligible {
		free += max(0, t.capacity()-t.incarnations.runs-t.externalLoad.current(now))
	}
	return free
}

// FreeSlots tells of a refusal while half of the slots or more ran nothing.
type FreeSlots struct {
	// Slots is what all targets have together, Free how many of them ran nothing, and Usable how many of them were used.
	Slots, Free, Usable int
}

// CallLevel holds what is known of calls at one level of fill, for logs.
type CallLevel struct {
	// Eighths is the fill of a target at most, in eighths of its slots.
	Eighths int
	// Mean is the mean time in ms of calls that were granted at the level, for a target of factor 1.
	Mean float64
	// Observations is the weight of the observations, and Age the age of the newest one.
	Observations float64
	Age          clock.Millis
}

// report returns the levels that were observed.
func (c *callLimit) report(now clock.Millis) []CallLevel {
	var levels []CallLevel
	for i := range c {
		if s := &c[i].known; s.n > 0 {
			levels = append(levels, CallLevel{Eighths: i + 1, Mean: s.mean(), Observations: s.n, Age: now - s.at})
		}
	}
	return levels
}

// Slots returns how many slots the eligible targets have.
func (p *Planner) Slots() int { return p.slots }

// RefusalsWhileFree returns how many jobs were refused while half of the slots or more ran nothing.
func (p *Planner) RefusalsWhileFree() int { return p.refusalsWhileFree }

// UsableSlots returns how many of the slots of the eligible targets are used at most.
func (p *Planner) UsableSlots(now clock.Millis) int {
	avoidFailing := p.halfHealthy(now)
	n := 0
	for _, t := range p.eligible {
		n += p.slotUse(now, t, avoidFailing).Usable
	}
	return n
}

// countFreeSlots returns the slots that run nothing at a refusal, nil while fewer than half of them are free.
func (p *Planner) countFreeSlots(now clock.Millis) *FreeSlots {
	free := p.freeSlots(now)
	if free == 0 || 2*free < p.slots {
		return nil
	}
	p.refusalsWhileFree++
	return &FreeSlots{Slots: p.slots, Free: free, Usable: p.UsableSlots(now)}
}
