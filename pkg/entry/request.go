package entry

import (
	"net/http"

	"quaydock/pkg/balance"
	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
	"quaydock/pkg/lifecycle"
	"quaydock/pkg/prefix"
)

// request is one caller's request at the entry. Only the goroutine that serves the caller accesses it, except for
// the channel of ticket events.
type request struct {
	id       ids.Request
	account  ids.Account
	key      string  // idempotency key, empty if none
	weight   float64 // of the client account, for fair shares within a tier
	service  ids.Service
	tier     ids.TierRank
	deadline clock.Millis         // point in time by the entry's clock
	prefill  ids.Tokens           // estimated length of the prompt; 0 for a plain service
	decode   ids.Tokens           // estimated length of the answer; plainDecode for a plain service
	prefix   []prefix.Fingerprint // of the prompt's blocks, for targets that have them cached

	method string
	path   string      // with the query, as the target is sent it
	header http.Header // the part of the caller's header that the target is sent
	body   []byte
	model  bool // a call in the OpenAI form

	state lifecycle.State // changed only by become
	check *invariant.Checker
	// events receives one final event for each placed ticket. It has room for as many as are placed at a time, so
	// that sending never blocks.
	events  chan ticketEvent
	attempt int // attempt number of the newest ticket; 0 before the first
	// avoidUntil maps sessions whose grant led to no dispatch to the time until which they are avoided.
	avoidUntil map[*session]clock.Millis
}

// ticketEvent is the end of one ticket.
type ticketEvent struct {
	session *session
	// lost is set if the connection to the agent broke: the ticket is gone.
	lost    bool
	verdict control.Verdict // not set if lost
}

// avoid records that a grant of a session led to no dispatch; the session is avoided for avoidFor from now on.
func (r *request) avoid(now clock.Millis, s *session) {
	if r.avoidUntil == nil {
		r.avoidUntil = make(map[*session]clock.Millis)
	}
	r.avoidUntil[s] = now + avoidFor
}

// become moves the request to another state. It reports an illegal transition to the checker.
func (r *request) become(next lifecycle.State) {
	r.check.Verify(r.state.CanTransitionTo(next), invariant.LegalTransition,
		"request %s: from %v to %v", r.id, r.state, next)
	r.state = next
}

// job describes the request to the placement policy.
func (r *request) job(now clock.Millis) balance.Job {
	t := r.ticket(now, "")
	return balance.Job{Service: r.service, Tier: r.tier, Work: t.Work(), Remaining: t.Remaining, Prefix: r.prefix}
}

// nextTicket returns a ticket with the next attempt number.
func (r *request) nextTicket(now clock.Millis, traceParent string) control.Ticket {
	r.attempt++
	t := r.ticket(now, traceParent)
	t.Turn = r.attempt
	return t
}

// ticket describes the request to an agent, without an attempt number.
func (r *request) ticket(now clock.Millis, traceParent string) control.Ticket {
	return control.Ticket{
		Request:     r.id,
		Service:     r.service,
		Account:     r.account,
		Weight:      r.weight,
		Tier:        r.tier,
		Remaining:   r.deadline - now,
		Prefill:     r.prefill,
		Decode:      r.decode,
		Returned:    len(r.avoidUntil) > 0,
		TraceParent: traceParent,
	}
}
