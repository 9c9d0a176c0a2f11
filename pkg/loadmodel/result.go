package loadmodel

import (
	"slices"

	"quaydock/pkg/ids"
)

// Outcome is what the callers of a kind got.
type Outcome struct {
	Kind  string
	Tier  ids.TierRank
	Asked int
	// InTime and Late were answered, Refused once or again, Lost otherwise.
	InTime, Late, Refused, RefusedAgain, Lost int
	// Worth is what the answers were worth, Owed what all in time would have been.
	Worth, Owed float64
	// Cost is what callers were cost beside: by coming back for nothing, and by waiting for
	// what they did not get, the more the longer.
	Cost float64
	// LargestServed is the share of the largest tenth that was answered, Served that of all.
	LargestServed, Served float64
}

// Share is the part of what was owed that was earned.
func (o Outcome) Share() float64 {
	if o.Owed == 0 {
		return 0
	}
	return o.Worth / o.Owed
}

// Result is what all callers got, by kind in the order of the load.
type Result struct {
	Outcomes []Outcome
}

// Of returns the outcome of a kind; it must be one of the load's.
func (r Result) Of(kind string) *Outcome {
	i := slices.IndexFunc(r.Outcomes, func(o Outcome) bool { return o.Kind == kind })
	return &r.Outcomes[i]
}

// All is the sum over all kinds.
func (r Result) All() Outcome {
	all := Outcome{Kind: "all"}
	for _, o := range r.Outcomes {
		all.Asked += o.Asked
		all.InTime += o.InTime
		all.Late += o.Late
		all.Refused += o.Refused
		all.RefusedAgain += o.RefusedAgain
		all.Lost += o.Lost
		all.Worth += o.Worth
		all.Owed += o.Owed
		all.Cost += o.Cost
	}
	return all
}

func (p *play) result() Result {
	var r Result
	for i := range p.load.Kinds {
		r.Outcomes = append(r.Outcomes, p.outcome(&p.load.Kinds[i]))
	}
	return r
}

func (p *play) outcome(k *Kind) Outcome {
	o := Outcome{Kind: k.Name, Tier: k.Tier}
	var of []*caller
	for _, c := range p.callers {
		if c.kind != k {
			continue
		}
		of = append(of, c)
		o.count(c)
	}
	o.Served = served(of)
	slices.SortFunc(of, func(a, b *caller) int { return int(b.prompt - a.prompt) })
	const tenth = 10
	o.LargestServed = served(of[:len(of)/tenth])
	return o
}

func (o *Outcome) count(c *caller) {
	o.Asked++
	o.Owed += c.kind.Worth * c.weight()
	o.Worth += c.worth()
	switch c.fate {
	case inTime:
		o.InTime++
	case late:
		o.Late++
	case refused:
		o.Refused++
	case refusedAgain:
		o.RefusedAgain++
	default:
		o.Lost++
	}
	o.Cost += c.cost()
}

// Net is what was earned less what it cost the callers, as a part of what was owed.
func (o Outcome) Net() float64 {
	if o.Owed == 0 {
		return 0
	}
	return (o.Worth - o.Cost) / o.Owed
}

const (
	// againCost is what it costs a caller to come back for nothing, as a part of the worth.
	againCost = 0.3
	// freeHold is the part of the objective for which waiting in vain costs nothing, and
	// longHold the part of the caller's time for which it costs the whole worth.
	freeHold = 0.125
	longHold = 0.75
)

func (c *caller) cost() float64 {
	if c.fate == inTime || c.fate == late {
		return 0
	}
	worth := c.kind.Worth * c.weight()
	free := freeHold * float64(c.kind.Objective)
	span := longHold*float64(c.kind.Deadline) - free
	cost := worth * min(1, max(0, (float64(c.held)-free)/span))
	if c.fate != refused && c.tries > 1 {
		cost += againCost * worth
	}
	return cost
}

func served(callers []*caller) float64 {
	if len(callers) == 0 {
		return 0
	}
	n := 0
	for _, c := range callers {
		if c.fate == inTime || c.fate == late {
			n++
		}
	}
	return float64(n) / float64(len(callers))
}
