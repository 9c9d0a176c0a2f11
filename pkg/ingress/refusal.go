package ingress

import (
	"net/http"
	"strconv"

	"quaydock/pkg/clock"
)

// Cause says why a caller did not get a target's answer.
type Cause int

//go:generate stringer -type=Cause -trimprefix=Cause -output=cause_string.go

// Causes of refusals.
const (
	CauseNone     Cause = iota // a search is not needed any more; no caller gets it
	CauseStarting              // this entry has no configuration yet
	CauseNoRoute               // there is no route, or the request may not be sent any more by the route in force
	CauseUnknownKey
	CauseStaleKeys // the configuration was not confirmed recently enough to use its keys
	CauseTooLarge
	CauseBadBody    // the body could not be read
	CauseOverQuota  // the account's allowance is spent
	CauseUnlisted   // this entry has no share of the allowances: the list of entries was not read
	CauseOverloaded // the scheduler refused the request because of those ahead of it
	CauseNoTarget
	CauseDeclined // the last target that was tried surely did not run it
	CauseDeadline
	CauseLost     // a target may have run it, and there is no complete answer
	CauseLeft     // its caller left
	CauseLeaving  // this entry drains, or its process ends
	CauseCrowded  // callers' connections are at their limit
	CauseHeldBack // targets have ended while they ran the request
	CauseNoTurn   // it is a suspected request, and got no exclusive run in time
	CauseResting  // all targets have asked this entry to back off
	// CauseVersionGone: no target runs the version at which the stream began, or its route leads to another service.
	CauseVersionGone
	CauseOriginUnknown // nobody knows where the stream began that the caller takes up again
	CauseSlowReader    // its caller did not read the answer, and too much was held for callers
	CauseBuffersFull   // too much is held for callers and targets to take the request's body
	// CauseRouteMoved: the store still says that the streams of its route have all begun at another service.
	CauseRouteMoved
	CauseSlowSender // the body did not arrive in time
)

// Refusal is an answer that the entry gives itself, instead of a target's.
type Refusal struct {
	Status int // 0 if nothing is sent: the caller has left, or a search ends
	Cause  Cause
	// RetryAfter is when the caller should come back; 0 sends no such header.
	RetryAfter clock.Millis
	Err        error // for the log; may be nil
}

// refuse returns a refusal without a time to come back.
func refuse(status int, cause Cause) *Refusal {
	return &Refusal{Status: status, Cause: cause}
}

// notRun returns a refusal that guarantees that the request has not run and never will.
func notRun(cause Cause, retryAfter clock.Millis) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Cause: cause, RetryAfter: retryAfter}
}

// write sends the refusal, with the name of its cause as the body and the Retry-After in seconds to the millisecond.
func (r *Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	if r.RetryAfter > 0 {
		const digits = 3
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Duration().Seconds(), 'f', digits, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := r.Cause.String() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.Status)
	// An error means that the caller has left, and needs no answer.
	_, _ = w.Write([]byte(text))
}
