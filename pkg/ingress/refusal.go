package ingress

import (
	"net/http"
	"strconv"

	"quaydock/pkg/clock"
)

// Cause says why a caller did not get a target's answer.
type Cause int

//go:generate stringer -type=Cause -trimprefix=Cause -output=cause_string.go

// The causes.
const (
	CauseNone Cause = iota
	CauseStarting
	CauseNoRoute
	CauseUnknownKey
	CauseStaleKeys
	CauseTooLarge
	CauseBadBody
	CauseOverQuota
	CauseUnlisted // this entry has no part of the allowance: the list of entries is not read
	CauseOverloaded
	CauseNoTarget
	CauseDeclined
	CauseDeadline
	CauseLost
	CauseLeft
	CauseLeaving
	CauseCrowded  // callers hold their share of the descriptors
	CauseHeldBack // targets have ended under the request
	CauseNoTurn   // it is suspected of that, and its turn did not come
	CauseResting  // all targets have asked this entry for rest
)

// Refusal is an answer of the entry's own.
type Refusal struct {
	Status int
	Cause  Cause
	// RetryAfter says when to come back; 0 says nothing.
	RetryAfter clock.Millis
	Err        error
}

func refuse(status int, cause Cause) *Refusal {
	return &Refusal{Status: status, Cause: cause}
}

// notRun is a refusal that promises that the request has not run and never
// will.
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
	// A caller that has gone needs no answer.
	_, _ = w.Write([]byte(text))
}
