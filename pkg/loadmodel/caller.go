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
	unfinished   status = iota
	inTime              // its first event came within the objective
	late                // its first event came after the objective
	refused             // at its only try, or so late that it could not return before its deadline
	refusedAgain        // at the last of several tries
	lost                // its target failed, or it left because its patience or its deadline was over
)

// caller sends one request, and repeats it if it is refused.
type caller struct {
	kind       *Kind
	prompt     ids.Tokens   // the length of its prompt
	events     int          // of a complete answer
	size       float64      // relative to the median of its kind
	firstTryAt clock.Millis // time of its first try
	tries      int          // so far, refused ones included
	status     status

	triedAt      clock.Millis  // time of its latest try
	id           planner.JobID // of its latest try
	grantedAt    clock.Millis  // time of the latest grant; 0 before the first
	firstEventAt clock.Millis  // 0 until the first event
	target       *target       // nil unless its latest try is running
	heldFor      clock.Millis  // total waiting time of tries that were not granted
}

// job returns the caller's latest try as the planner is told of it.
func (c *caller) job() planner.Job {
	return planner.Job{
		ID: c.id, Account: c.kind.Account, Tier: c.kind.Tier, Prompt: c.prompt, Events: c.events,
		Arrived: c.triedAt, Objective: c.kind.Objective, Deadline: c.firstTryAt + c.kind.Deadline,
		Patience: c.kind.Patience, SinceFirstTry: c.triedAt - c.firstTryAt, Retried: c.tries > 1,
	}
}

// firstEvent returns the time in ms to the first event of a caller's request without a prompt, at a target of speed factor
// 1 that runs nothing else.
func (l *Load) firstEvent(c *caller) float64 {
	if c.kind.Work == 0 {
		return l.Speed.FirstEvent
	}
	return c.kind.Work * c.size
}

// deadline returns the time from which an answer is useless.
func (c *caller) deadline() clock.Millis { return c.firstTryAt + c.kind.Deadline }

// returnsAt returns when a refused caller tries again: after the given Retry-After, but at most after a third of
// its remaining time.
func (c *caller) returnsAt(now, after clock.Millis) clock.Millis {
	const waitDivisor = 3
	return now + min(after, (c.deadline()-now)/waitDivisor)
}

// worth returns the value of a caller's answer, 0 without one.
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

// weight returns the factor by which the size of a request changes its worth: 1 for the median of its kind,
// never below base or above maxWeight.
func (c *caller) weight() float64 {
	const base, maxWeight = 0.3, 4.0
	return math.Min(maxWeight, base+(1-base)*c.size)
}
