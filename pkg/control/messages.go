// Package control defines the messages that entries and agents exchange over net/rpc, and the names of the headers
// on the HTTP stream between them. All times in messages are durations, never points in time, since the clocks of
// two VMs differ.
package control

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
)

// Headers of the stream between entry and agent.
const (
	HeaderRequest = "Quaydock-Request-Id"
	HeaderGrant   = "Quaydock-Grant-Id"
	// HeaderTrace carries the W3C trace context of a sampled request.
	HeaderTrace = "Traceparent"
	// HeaderFate is set by the agent when it refuses a dispatch. Its only value is FateNeverDispatched.
	HeaderFate = "Quaydock-Fate"
	// HeaderStatus is the target's status; the stream's own is 200.
	HeaderStatus = "Quaydock-Status"
	// HeaderMethod and HeaderPath carry the caller's method and path.
	HeaderMethod = "Quaydock-Method"
	HeaderPath   = "Quaydock-Path"
	// HeaderModel is set, to any value, on calls of a model, in the OpenAI form.
	HeaderModel = "Quaydock-Model-Call"
	// HeaderOffset is the first byte of the answer that a resume requests.
	HeaderOffset = "Quaydock-Offset"
	// TrailerEnd is sent only behind a complete answer: its size in bytes.
	TrailerEnd = "Quaydock-Answer-End"
	// PassPrefix is put before the caller's and the target's own headers, so that they cannot be taken for the
	// stream's.
	PassPrefix = "Quaydock-Pass-"
)

// FateNeverDispatched means that the grant was not used and never will be.
const FateNeverDispatched = "never-dispatched"

// Paths of the agent's data port.
const (
	// PathDispatch accepts a request for a grant (POST) and returns its answer.
	PathDispatch = "/dispatch"
	// PathAnswer resumes the answer of a dispatched grant (GET).
	PathAnswer = "/answer"
)

// Ticket requests a grant. It describes a request without its body.
type Ticket struct {
	Request ids.Request
	// Turn is the attempt number of the ticket: it counts the request's tickets from 1, because messages may
	// overtake one another.
	Turn    int
	Service ids.Service
	Account ids.Account
	// Weight is the account's weight among others of the same tier; 0 means 1.
	Weight float64
	Tier   ids.TierRank
	// Remaining is the time to the caller's deadline when the ticket is made.
	Remaining clock.Millis
	// Prefill estimates the length of the prompt, Decode that of the answer, in tokens.
	Prefill ids.Tokens
	Decode  ids.Tokens
	// Returned means that the request had a grant that led to no dispatch: its tickets elsewhere had been
	// withdrawn in favour of it.
	Returned bool
	// TraceParent is the W3C trace context, empty when not sampled.
	TraceParent string
}

// Work returns the estimated cost of a ticket in decode-token equivalents.
func (t *Ticket) Work() ids.Tokens {
	return t.Decode + t.Prefill/PrefillPerDecode
}

// PrefillPerDecode is how many prompt tokens an engine processes in the time of one answer token; engines batch
// prompts, so prompt tokens are far cheaper.
const PrefillPerDecode = 16

// Load is the agent's report on its state, sent with each reply.
type Load struct {
	// Agent identifies the run of the agent's process.
	Agent ids.Incarnation
	// Free is how many further requests could be granted at once, after those that are queued, out of Slots.
	Free  int
	Slots int
	// Queued is, for each tier, the estimated work that waits in it and in the tiers above. Tiers beyond the last
	// element have its value.
	Queued []ids.Tokens
	// Running is the estimated work of the requests that run, all of it from dispatch to end.
	Running ids.Tokens
	// Floor is the lowest tier still admitted; ids.BelowAllTiers if every tier is.
	Floor ids.TierRank
	// DrainPerSecond is the measured work done per second; 0 until it is known.
	DrainPerSecond ids.Tokens
	// UnitMicros is the measured run time per token of a request's work, in microseconds; 0 until it is known.
	UnitMicros int64
	// Leaving means that the agent takes no new work.
	Leaving bool
	// Rest is the remaining back-off: for how much longer the target wants no requests, by its own report.
	Rest clock.Millis
	// Revision is the configuration revision that the agent has in force.
	Revision declaration.Revision
}

// QueuedBefore returns the work that waits in a tier and above, and so ahead of a new ticket of that tier.
func (l *Load) QueuedBefore(tier ids.TierRank) ids.Tokens {
	if len(l.Queued) == 0 {
		return 0
	}
	return l.Queued[min(int(tier), len(l.Queued)-1)]
}

// VerdictKind is the kind of decision on a ticket.
type VerdictKind int

//go:generate stringer -type=VerdictKind,RefuseReason,Fate -output=enums_string.go

// The verdicts.
const (
	// Granted: the grant may be used once, before it expires.
	Granted VerdictKind = iota
	// Queued: the ticket waits; a later notice follows.
	Queued
	// Declined: the agent does not keep the ticket; Reason says why.
	Declined
)

// RefuseReason says why a ticket was declined.
type RefuseReason int

// The reasons.
const (
	// NoReason goes with other verdicts.
	NoReason RefuseReason = iota
	// Full: higher or equal tiers fill the queue.
	Full
	// Leaving: the target takes no new work.
	Leaving
	// NotPlaced: the service is not placed on this target.
	NotPlaced
	// Late: the request could not be answered by its deadline here.
	Late
	// Replaced: a duplicate of a ticket that the agent already has.
	Replaced
)

// Verdict is the decision on a ticket, immediate or later.
type Verdict struct {
	Request ids.Request
	Turn    int // attempt number of the ticket
	Kind    VerdictKind
	Reason  RefuseReason // NoReason unless Kind is Declined
	Grant   ids.Grant    // zero unless Kind is Granted
}

// PlaceArgs sends tickets to an agent and withdraws others.
type PlaceArgs struct {
	Tickets   []Ticket
	Withdrawn []ids.Request
	// WithdrawnTurns has, for each of Withdrawn, the attempt number of the newest ticket that is withdrawn.
	// Entries of an older release do not send it; then all tickets of the request are withdrawn.
	WithdrawnTurns []int
}

// PlaceReply has a verdict for each ticket, in order.
type PlaceReply struct {
	Verdicts []Verdict
	Load     Load
}

// NoticeArgs waits for later verdicts on tickets that were queued.
type NoticeArgs struct {
	// Wait limits the time that the agent holds the call.
	Wait clock.Millis
}

// NoticeReply has the later verdicts on queued tickets.
type NoticeReply struct {
	Verdicts []Verdict
	Load     Load
}

// Fate is the outcome of a grant as far as the agent knows it.
type Fate int

// The fates.
const (
	// FateUnknown: this agent cannot say, because it no longer remembers the grant or has been replaced.
	FateUnknown Fate = iota
	// FateNever: the grant was not used and now never will be.
	FateNever
	// FateDispatched: the request has been sent to the engine.
	FateDispatched
)

// OutcomeArgs queries the outcome of a grant. The query leaves a tombstone if the grant has not been used.
type OutcomeArgs struct {
	Request ids.Request
	Grant   ids.Grant
}

// OutcomeReply has the outcome of the grant.
type OutcomeReply struct {
	Fate Fate
}
