// Package lifecycle is the state machine of one request at its entry. It says
// which moves are legal and what may be claimed in each state. It does no I/O.
package lifecycle

//go:generate stringer -type=State

// State is how far a request has come.
type State int

// The states of a request, in the order of its life.
const (
	// Waiting: tickets may be placed; nothing has been dispatched.
	Waiting State = iota
	// Bound: one grant is chosen; the body has not been sent.
	Bound
	// Sent: the body is on its way to the agent of the grant; only that agent
	// knows whether it was dispatched.
	Sent
	// Dispatched: the agent has said that the engine was given the request.
	Dispatched
	// Answered: the whole answer has been relayed.
	Answered
	// Refused: the caller has been told that the request did not run.
	Refused
	// Unknown: the caller has been told that the outcome is not known, or has
	// had a cut answer.
	Unknown
)

// legal lists the moves. A move back to Waiting from Sent stands on the
// agent's tombstone: "never dispatched, and now never will be".
var legal = [...][]State{
	Waiting:    {Bound, Refused},
	Bound:      {Sent, Waiting, Refused},
	Sent:       {Dispatched, Waiting, Unknown},
	Dispatched: {Answered, Unknown},
	Answered:   {},
	Refused:    {},
	Unknown:    {},
}

// MayBecome reports whether a request in state s may move to next.
func (s State) MayBecome(next State) bool {
	for _, l := range legal[s] {
		if l == next {
			return true
		}
	}
	return false
}

// NotRunMayBeSaid reports whether a caller may be told "not run" in state s.
func (s State) NotRunMayBeSaid() bool {
	return s == Waiting || s == Bound || s == Refused
}
