package loadmodel

import (
	"slices"

	"quaydock/pkg/ids"
)

// Outcome is what the callers of a kind got.
type Outcome struct {
	Kind    string
	Tier    ids.TierRank
	Callers int
	// InTime and Late count callers that were answered within the objective and after it, RefusedAgain those that were
	// refused after they had used all their returns, Refused other refused callers, and Lost the rest.
	InTime, Late, Refused, RefusedAgain, Lost int
	// Worth is the value of the answers, MaxWorth what it would be if all were in time.
	Worth, MaxWorth float64
	// Cost is the cost to callers that got no answer, in the unit of Worth: a fraction of the worth for returning in
	// vain, and an amount that grows with the time that they waited.
	Cost float64
	// Served is the fraction of the callers that were answered, LargestServed that of the tenth with the largest
	// prompts.
	LargestServed, Served float64
}

// EarnedFraction returns Worth as a fraction of MaxWorth.
func (o Outcome) EarnedFraction() float64 {
	if o.MaxWorth == 0 {
		return 0
	}
	return o.Worth / o.MaxWorth
}

// Result holds the outcome of each kind, in the order of the load.
type Result struct {
	Outcomes []Outcome
}

// ForKind returns the outcome of a kind. It panics if the load has no such kind.
func (r Result) ForKind(kind string) *Outcome {
	i := slices.IndexFunc(r.Outcomes, func(o Outcome) bool { return o.Kind == kind })
	return &r.Outcomes[i]
}

// Total returns the sum over all kinds, without Served and LargestServed.
func (r Result) Total() Outcome {
	all := Outcome{Kind: "all"}
	for _, o := range r.Outcomes {
		all.Callers += o.Callers
		all.InTime += o.InTime
		all.Late += o.Late
		all.Refused += o.Refused
		all.RefusedAgain += o.RefusedAgain
		all.Lost += o.Lost
		all.Worth += o.Worth
		all.MaxWorth += o.MaxWorth
		all.Cost += o.Cost
	}
	return all
}

// result returns the outcome of each kind.
func (s *simulation) result() Result {
	var r Result
	for i := range s.load.Kinds {
		r.Outcomes = append(r.Outcomes, s.outcome(&s.load.Kinds[i]))
	}
	return r
}

// outcome adds up what the callers of a kind got. LargestServed is 0 for fewer than ten callers.
func (s *simulation) outcome(k *Kind) Outcome {
	o := Outcome{Kind: k.Name, Tier: k.Tier}
	var callers []*caller
	for _, c := range s.callers {
		if c.kind != k {
			continue
		}
		callers = append(callers, c)
		o.count(c)
	}
	o.Served = servedFraction(callers)
	slices.SortFunc(callers, func(a, b *caller) int { return int(b.prompt - a.prompt) })
	const tenth = 10
	o.LargestServed = servedFraction(callers[:len(callers)/tenth])
	return o
}

// count adds a caller to all but the fractions.
func (o *Outcome) count(c *caller) {
	o.Callers++
	o.MaxWorth += c.kind.Worth * c.weight()
	o.Worth += c.worth()
	switch c.status {
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

// NetFraction returns Worth less Cost as a fraction of MaxWorth.
func (o Outcome) NetFraction() float64 {
	if o.MaxWorth == 0 {
		return 0
	}
	return (o.Worth - o.Cost) / o.MaxWorth
}

const (
	// returnCost is the cost of returning in vain, as a fraction of the worth.
	returnCost = 0.3
	// freeWaitFraction is the fraction of the objective for which waiting in vain costs nothing, and
	// fullCostWaitFraction the fraction of the caller's deadline from which it costs the whole worth.
	freeWaitFraction     = 0.125
	fullCostWaitFraction = 0.75
)

// cost returns the cost to a caller that got no answer: for the time that it waited, and for returning unless it
// was refused too late to return again.
func (c *caller) cost() float64 {
	if c.status == inTime || c.status == late {
		return 0
	}
	worth := c.kind.Worth * c.weight()
	freeWait := freeWaitFraction * float64(c.kind.Objective)
	span := fullCostWaitFraction*float64(c.kind.Deadline) - freeWait
	cost := worth * min(1, max(0, (float64(c.heldFor)-freeWait)/span))
	if c.status != refused && c.tries > 1 {
		cost += returnCost * worth
	}
	return cost
}

// servedFraction returns the fraction of callers that were answered, in time or late, 0 without callers.
func servedFraction(callers []*caller) float64 {
	if len(callers) == 0 {
		return 0
	}
	n := 0
	for _, c := range callers {
		if c.status == inTime || c.status == late {
			n++
		}
	}
	return float64(n) / float64(len(callers))
}
