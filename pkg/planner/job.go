// Package planner decides, for one group of targets, which waiting request gets
// which target, when, and who is told to come back later. All requests for the
// group pass through one planner, which so knows what every target carries. It
// does no I/O, starts no goroutine and reads no clock: the time is an argument,
// and what it has decided is taken from it.
package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
)

// JobID names a request: the entry that holds it, and the entry's number for it.
type JobID struct {
	_      struct{} `cbor:",toarray"`
	Entry  string
	Number uint64
}

// Job is a request that wants a target, without its body.
type Job struct {
	_       struct{} `cbor:",toarray"`
	ID      JobID
	Account ids.Account
	Tier    ids.TierRank
	// Prompt is the size of a generation's prompt, Events how many events its
	// answer will have, as a guess; both are 0 for other calls.
	Prompt ids.Tokens
	Events int
	// Gap is the longest pause between events for the answer to be in time; 0
	// if there is no bound.
	Gap clock.Millis
	// Arrived is when the request came to its entry, Objective the time within
	// which its answer, or the first event of it, is in time; Deadline is the
	// moment after which it is useless.
	Arrived   clock.Millis
	Objective clock.Millis
	Deadline  clock.Millis
	// Patience is for how long its caller waits for a first sign; 0 if to the
	// deadline.
	Patience clock.Millis
	// Before is how long before it came to its entry its caller first asked: what
	// was refused and came back is in time by its first try. 0 if it did not ask
	// before.
	SinceFirstTry clock.Millis
	// Returned says that the request was refused once and has come back.
	Returned bool
	// Movable says that it may be sent to a second target although the first may
	// have run it.
	Movable bool
	// Domain is the failure domain of its entry: bytes to others cost.
	Domain ids.FailureDomain
	// Exclude lists lives of targets that it is not to get again.
	Exclude []ids.TargetIncarnation
	// Route is the one on which it came.
	Route ids.Route
	// Trial says that its entry may send it to a version on trial.
	Trial bool
}

// due is up to when the first event is in time for the caller.
func (j *Job) due() clock.Millis {
	return j.Arrived - j.SinceFirstTry + j.Objective
}

// Decision is what the planner says of a job: Grant, Refuse or Move.
type Decision interface{ decision() }

// Grant gives a job a target, in the life that the planner knows.
type Grant struct {
	ID          JobID
	Incarnation ids.TargetIncarnation
	// Takes is what is known of how many jobs a second the target takes, and Counted says that the job is one of these.
	RateLimit ratelimit.Report
	Counted   bool
}

// Refuse sends a job away. It has not run.
type Refuse struct {
	ID         JobID
	RetryAfter clock.Millis
	// Ahead and Wait are what the refusal stands on: how many jobs go before it,
	// and how long it would wait.
	Ahead int
	Wait  clock.Millis
	// Empty says that the group has no target at all.
	NoTargets bool
	// Resting says that all targets have asked the job's entry for rest.
	BackedOff bool
}

// Move tells that the target of a job gives no sign of life: the job is better
// sent elsewhere.
type Move struct {
	ID JobID
}

func (Grant) decision()  {}
func (Refuse) decision() {}
func (Move) decision()   {}

// Flow tells of the events of a stream that has ended.
type StreamStats struct {
	_      struct{} `cbor:",toarray"`
	Events int
	// Longest is the longest time between two of them.
	Longest clock.Millis
	// Stalled is for how long the entry, or the home, stood still while the request ran: it is no fault of
	// the target's.
	Stalled clock.Millis
}

// Load is a target's own report of what it carries.
type Load struct {
	_                struct{} `cbor:",toarray"`
	Running, Waiting int
}

// Outcome is how a target did with a request.
type Outcome int

//go:generate stringer -type=Outcome -output=outcome_string.go

// The outcomes.
const (
	// Served: the answer was whole.
	Served Outcome = iota
	// Failed: the target ran the request, and failed.
	Failed
	// Unreached: the target could not be reached.
	Unreached
	// Full: the target said that it has no room.
	Full
	// Moved: another target has the address.
	Moved
	// Abandoned: the caller left, or its time was over.
	Abandoned
	// Withheld: the entry did not send it, as the target had told it not to.
	Withheld
)
