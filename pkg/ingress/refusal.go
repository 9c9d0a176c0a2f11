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
	CauseNone Cause = iota
	CauseStarting
	CauseNoRoute
	CauseUnknownKey
	CauseStaleKeys
	CauseTooLarge
	CauseBadBody
	CauseOverQuota
	CauseUnlisted // this entry has no share of the allowances: the list of entries was not read
	CauseOverloaded
	CauseNoTarget
	CauseDeclined
	CauseDeadline
	CauseLost
	CauseLeft
	CauseLeaving
	CauseCrowded  // callers' connections are at their limit
	CauseHeldBack // targets have ended while they ran the request
	CauseNoTurn   // it is a suspected request, and got no exclusive run in time
	CauseResting  // all targets have asked this entry to back off
)

// Refusal is an answer that the entry gives itself, instead of a target's.
type Refusal struct {
	Status int
	Cause  Cause
	// RetryAfter is when the caller should come back; 0 sends no such header.
	RetryAfter clock.Millis
	Err        error
}

func refuse(status int, cause Cause) *Refusal {
	return &Refusal{Status: status, Cause: cause}
}

// notRun returns a refusal that guarantees that the request has not run and never will.
func notRun(cause Cause, retryAfter clock.Millis) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Cause: cause, RetryAfter: retryAfter}
}

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
