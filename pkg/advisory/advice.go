// Package advisory tracks the advice of targets: what they report of themselves in the heads of their answers to this
// entry. They report that they are leaving, for how long they want no requests from this entry (back-off), and how many
// requests per second they take from all entries (limit). The target list also shows that a target is leaving, but
// later, or never; back-off and limit are reported nowhere else.
package advisory

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
)

// Advice is what the head of one answer reports of its target.
type Advice struct {
	// Leaving says that the target is leaving: it takes no new requests.
	Leaving bool
	// Backoff is how long the target wants no requests from this entry; 0 if it does not ask for a back-off.
	Backoff clock.Millis
	// SentAt is when the answer was sent, by the clock of the target's VM, cut to whole seconds; 0 if the answer has no
	// date.
	SentAt ids.Start
	// Limit is how many requests per second the target takes, and RequestedAt when the request was sent.
	Limit       ratelimit.ParsedLimit
	RequestedAt clock.Millis
}

// Empty reports whether the answer has no advice.
func (a Advice) Empty() bool { return !a.Leaving && a.Backoff <= 0 && !a.Limit.Given }

// Status is the advice in force for one incarnation of a target.
type Status struct {
	Incarnation ids.TargetIncarnation
	Leaving     bool
	// Backoff is the remaining time for which it wants no requests from this entry.
	Backoff clock.Millis
	// Limit is how many requests per second it takes from all entries.
	Limit ratelimit.Report
}

// Blocks reports whether no request may be sent to the target.
func (s Status) Blocks() bool { return s.Leaving || s.Backoff > 0 }
