package loadmodel

import (
	"math"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// fate is what became of a caller.
type fate int

const (
	underWay fate = iota
	inTime
	late
	refused
	refusedAgain
	lost // its target failed, or its time was over
)

// caller is one who asks for one thing, and comes back for it if told to.
type caller struct {
	kind   *Kind
	prompt ids.Tokens
	events int
	size   float64      // against the middle of its kind
	first  clock.Millis // when it first asked
	tries  int
	fate   fate

	asked   clock.Millis // its latest try
	id      planner.JobID
	granted clock.Millis
	begun   clock.Millis
	target  *target
	held    clock.Millis // for how long its tries waited in vain
}

func (c *caller) job() planner.Job {
	return planner.Job{
		ID: c.id, Tier: c.kind.Tier, Prompt: c.prompt, Events: c.events,
		Arrived: c.asked, Objective: c.kind.Objective, Deadline: c.first + c.kind.Deadline,
		Patience: c.kind.Patience, SinceFirstTry: c.asked - c.first, Returned: c.tries > 1,
	}
}

// deadline is when an answer has become useless.
func (c *caller) deadline() clock.Millis { return c.first + c.kind.Deadline }

// returnsAt is when a caller comes back that was told to after some time: callers honour
// that up to a third of the time that they have left.
func (c *caller) returnsAt(now, after clock.Millis) clock.Millis {
	const honoured = 3
	return now + min(after, (c.deadline()-now)/honoured)
}

// worth is what a caller's answer was worth. The larger a request against its kind, the
// more.
func (c *caller) worth() float64 {
	switch c.fate {
	case inTime:
		return c.kind.Worth * c.weight()
	case late:
		return c.kind.Late * c.weight()
	default:
		return 0
	}
}

func (c *caller) weight() float64 {
	const base, most = 0.3, 4.0
	return math.Min(most, base+(1-base)*c.size)
}
