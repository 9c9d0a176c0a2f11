// Package advisory keeps what targets say of themselves in their answers to this entry: that they
// leave, for how long they want no requests from it, and how many requests a second they take from all entries. The list of
// targets tells the first of these too, but later, or never; nothing else tells the others.
package advisory

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
)

// Advice is what the head of one answer says.
type Advice struct {
	// Leaving says that the target takes no more requests than those under way.
	Leaving bool
	// Rest is for how long the target wants no request from this entry; 0 if it does not ask for that.
	Backoff clock.Millis
	// Said is when the answer was sent, by the clock of the target's VM and to the second; 0 if it does not say.
	SentAt ids.Start
	// Limit is how many requests a second the target takes, and Asked when the request was sent.
	Limit       ratelimit.ParsedLimit
	RequestedAt clock.Millis
}

// Empty reports whether the answer says nothing of its target.
func (a Advice) Empty() bool { return !a.Leaving && a.Backoff <= 0 && !a.Limit.Given }

// Standing is what is known of one life of a target by its own word.
type Status struct {
	Incarnation ids.TargetIncarnation
	Leaving     bool
	// Rest is what is left of the time in which it wants no request from this entry.
	Backoff clock.Millis
	// Limit is how many requests a second it takes from all entries.
	Limit ratelimit.Report
}

// Bars reports whether a request must not be sent.
func (s Status) Blocks() bool { return s.Leaving || s.Backoff > 0 }
