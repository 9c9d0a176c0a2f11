// Package lifecycle is the state machine of one request at its entry. It defines which transitions are legal and
// what a caller may be told in each state. It does no I/O.
package lifecycle

//go:generate stringer -type=State

// State is the state of a request.
type State int

// The states of a request, in order.
const (
	// Waiting: tickets may be placed; nothing has been dispatched.
	Waiting State = iota
	// Bound: one grant is chosen; the body has not been sent.
	Bound
	// Sent: the body is on its way to the agent of the grant; only that agent
	// knows whether it was dispatched.
	Sent
	// Dispatched: the agent has reported that the request was sent to the engine.
	Dispatched
	// Answered: the complete answer has been relayed.
	Answered
	// Refused: the caller has been told that the request did not run.
	Refused
	// Unknown: the caller has been told that the outcome is not known, or has received a broken-off answer.
	Unknown
)

// transitions lists the legal transitions. A transition from Sent back to Waiting requires the agent's tombstone,
// which says that the grant was never dispatched and now never will be.
var transitions = [...][]State{
	Waiting:    {Bound, Refused},
	Bound:      {Sent, Waiting, Refused},
	Sent:       {Dispatched, Waiting, Unknown},
	Dispatched: {Answered, Unknown},
	Answered:   {},
	Refused:    {},
	Unknown:    {},
}

// CanTransitionTo reports whether a request in state s may move to next.
func (s State) CanTransitionTo(next State) bool {
	for _, l := range transitions[s] {
		if l == next {
			return true
		}
	}
	return false
}

// MayReportNotRun reports whether an entry may report "not run" to the caller in state s.
func (s State) MayReportNotRun() bool {
	return s == Waiting || s == Bound || s == Refused
}
