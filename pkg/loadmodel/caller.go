package loadmodel

import (
	"math"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// status is the state of a caller, or its final result.
type status int

const (
	unfinished status = iota
	inTime
	late
	refused
	refusedAgain
	lost // its target failed, or it left because its patience or its deadline was over
)

// caller sends one request, and repeats it if it is refused.
type caller struct {
	kind       *Kind
	prompt     ids.Tokens
	events     int
	size       float64      // relative to the median of its kind
	firstTryAt clock.Millis // time of its first try
	tries      int
	status     status

	triedAt      clock.Millis // time of its latest try
	id           planner.JobID
	grantedAt    clock.Millis
	firstEventAt clock.Millis
	target       *target
	heldFor      clock.Millis // total waiting time of tries that were not granted
}

func (c *caller) job() planner.Job {
	return planner.Job{
		ID: c.id, Tier: c.kind.Tier, Prompt: c.prompt, Events: c.events,
		Arrived: c.triedAt, Objective: c.kind.Objective, Deadline: c.firstTryAt + c.kind.Deadline,
		Patience: c.kind.Patience, SinceFirstTry: c.triedAt - c.firstTryAt, Retried: c.tries > 1,
	}
}

// deadline returns the time from which an answer is useless.
func (c *caller) deadline() clock.Millis { return c.firstTryAt + c.kind.Deadline }

// returnsAt returns when a refused caller tries again: after the given Retry-After, but at most after a third of
// its remaining time.
func (c *caller) returnsAt(now, after clock.Millis) clock.Millis {
	const honoured = 3
	return now + min(after, (c.deadline()-now)/honoured)
}

// worth returns the value of a caller's answer. It grows with the size of the request relative to its kind.
func (c *caller) worth() float64 {
	switch c.status {
	case inTime:
		return c.kind.Worth * c.weight()
	case late:
		return c.kind.LateWorth * c.weight()
	default:
		return 0
	}
}

func (c *caller) weight() float64 {
	const base, maxWeight = 0.3, 4.0
	return math.Min(maxWeight, base+(1-base)*c.size)
}
