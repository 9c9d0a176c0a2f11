// Package planner decides, for one group of targets, which waiting request gets which target and when, and which
// requests are refused with a time to retry. All requests for the group pass through one planner, so it knows the
// load of every target. It does no I/O, starts no goroutine and reads no clock: the time is an argument, and
// decisions are collected with Planner.Decisions.
package planner

import (
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/fairshare"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/routing"
	"quaydock/pkg/slowdown"
)

// JobID identifies a request: the address of the entry that holds it, and that entry's number for it.
type JobID struct {
	_      struct{} `cbor:",toarray"`
	Entry  string
	Number uint64
}

// Job is a request that needs a target, without its body.
type Job struct {
	_       struct{} `cbor:",toarray"`
	ID      JobID
	Account ids.Account
	Tier    ids.TierRank
	// Prompt is the prompt size of a generation and Events the estimated number of events in its answer; both are 0
	// for other calls.
	Prompt ids.Tokens
	Events int
	// MaxEventGap is the longest pause between events with which the answer still counts as in time; 0 if unbounded.
	MaxEventGap clock.Millis
	// Arrived is when the request reached its entry. Objective is the time within which the answer, or its first
	// event, counts as in time. Deadline is the moment after which the answer is useless.
	Arrived   clock.Millis
	Objective clock.Millis
	Deadline  clock.Millis
	// Patience is how long the caller waits for the first byte; 0 if until the deadline.
	Patience clock.Millis
	// SinceFirstTry is the time between the caller's first attempt and Arrived: a request that was refused and
	// retried is in time by its first attempt. 0 if this is the first attempt.
	SinceFirstTry clock.Millis
	// Retried is set if the request was refused once and has been retried.
	Retried bool
	// Movable is set if the request may be sent to a second target even though the first may have run it.
	Movable bool
	// Domain is the failure domain of the entry: traffic to other failure domains is charged for.
	Domain ids.FailureDomain
	// Exclude lists incarnations of targets that must not get the request again.
	Exclude []ids.TargetIncarnation
	// Route is the route on which the request came.
	Route ids.Route
	// Trial is set if the entry may send the request to a canary version.
	Trial bool
	// Version is the only version whose targets the job may get, as its stream began there; nil if it may get any. It is
	// sent beside the job, since entries of earlier builds read jobs without it.
	Version *ids.Version `cbor:"-"`
	// BeginsStream is set if a stream begins with the job, so that it may get no undeclared target. It is not sent: owners
	// tell it by the route.
	BeginsStream bool `cbor:"-"`
}

// MayGet reports whether a job may get a target, by the target's version and by what the job excludes.
func (j *Job) MayGet(t *routing.Target) bool {
	return j.FitsVersion(t) && !slices.Contains(j.Exclude, t.Incarnation())
}

// FitsVersion reports whether a job may get targets of a target's version.
func (j *Job) FitsVersion(t *routing.Target) bool {
	if j.Version != nil {
		return *j.Version == t.Version
	}
	return !j.BeginsStream || !t.Undeclared
}

// competesWith reports whether there are versions whose targets both jobs may get.
func (j *Job) competesWith(other *Job) bool {
	return j.Version == nil || other.Version == nil || *j.Version == *other.Version
}

// due returns the last moment at which the first event is in time for the caller.
func (j *Job) due() clock.Millis {
	return j.Arrived - j.SinceFirstTry + j.Objective
}

// Decision is a result for one job: Grant, Refusal or Move.
type Decision interface{ decision() }

// Grant assigns a job to a target, in the incarnation that the planner knows.
type Grant struct {
	ID          JobID
	Incarnation ids.TargetIncarnation
	// RateLimit is the last known request rate limit of the target; Counted is set if the grant was counted against
	// it.
	RateLimit ratelimit.Report
	Counted   bool
}

// Refusal rejects a job. It has not run.
type Refusal struct {
	ID JobID
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter clock.Millis
	// Ahead and Wait are the grounds of the refusal: the number of jobs ahead of it and its estimated wait.
	Ahead int
	Wait  clock.Millis
	// NoTargets is set if the group has no target that the job may get.
	NoTargets bool
	// BackedOff is set if all targets have asked the job's entry for back-off.
	BackedOff bool
	// OverShare is the standing of the job's account if that asks for more than its share, nil otherwise.
	OverShare *fairshare.Standing
	// WhileFree tells of the slots if half of them or more ran nothing, nil otherwise.
	WhileFree *FreeSlots
}

// Move reports that the target of a job does not respond and that the job should be sent to another one.
type Move struct {
	ID JobID
}

func (Grant) decision()   {}
func (Refusal) decision() {}
func (Move) decision()    {}

// StreamStats describes the events of a stream that has ended.
type StreamStats struct {
	_      struct{} `cbor:",toarray"`
	Events int
	// LongestGap is the longest time between two consecutive events.
	LongestGap clock.Millis
	// Stalled is how long the entry or the owner was not running while the request ran. It is not charged to the
	// target.
	Stalled clock.Millis
}

// Load is the load that a target reports for itself, in requests of all entries.
type Load struct {
	_                struct{} `cbor:",toarray"`
	Running, Waiting int
	// Slowdown is how many times as long as usual work takes there now; 0 if unknown. It is sent beside the load, since
	// entries of earlier builds read loads without it.
	Slowdown slowdown.Factor `cbor:"-"`
}

// Outcome is the result of a request at a target.
type Outcome int

//go:generate stringer -type=Outcome -output=outcome_string.go

// Outcomes of a request.
const (
	// Served: the answer was complete.
	Served Outcome = iota
	// Failed: the target ran the request and failed.
	Failed
	// Unreached: the target could not be reached.
	Unreached
	// Full: the target replied that it has no capacity.
	Full
	// Moved: the address now belongs to another target.
	Moved
	// Abandoned: the caller disconnected, or the deadline passed.
	Abandoned
	// Withheld: the entry did not send the request because the target had asked it not to.
	Withheld
	// Declined: the entry did not send the request because by its own target list it must not go there.
	Declined
)
