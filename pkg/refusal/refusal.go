// Package refusal defines what a caller receives when a request gets no answer, in the error form of the OpenAI
// interface.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"quaydock/pkg/clock"
)

// Outcome states whether a request that got no answer may have run.
type Outcome string

// The outcomes.
const (
	// NotRun: the request did not run anywhere.
	NotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// HeaderOutcome is the response header that carries the outcome.
const HeaderOutcome = "Quaydock-Outcome"

// Code is the stable name of a refusal.
type Code string

// Refusal is why a request got no answer. It is an error.
type Refusal struct {
	Status  int
	Code    Code
	Outcome Outcome
	Message string
	// Param is the field or header at fault, if there is one.
	Param string
	// RetryAfter is after what time to retry; 0 where waiting does not help.
	RetryAfter clock.Millis
}

// Error returns code, outcome and message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// envelope is the OpenAI error form.
type envelope struct {
	Error detail `json:"error"`
}

// detail has the fields of the OpenAI error form, and the outcome besides.
type detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"` // nil, and then null, if no field is at fault
	Code    Code    `json:"code"`
	Outcome Outcome `json:"quaydock_outcome"`
}

// Body returns the refusal in the OpenAI error form.
func (r *Refusal) Body() []byte {
	d := detail{Message: r.Message, Type: r.kind(), Code: r.Code, Outcome: r.Outcome}
	if r.Param != "" {
		d.Param = &r.Param
	}
	// These types always marshal.
	body, _ := json.Marshal(envelope{Error: d})
	return body
}

// kind returns the error type of the OpenAI form, which follows from the status.
func (r *Refusal) kind() string {
	switch {
	case r.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case r.Status == http.StatusUnauthorized:
		return "authentication_error"
	case r.Status == http.StatusForbidden:
		return "permission_error"
	case r.Status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// Write sends the refusal as an HTTP response, with Retry-After rounded up to full seconds.
func (r *Refusal) Write(w http.ResponseWriter) {
	body := r.Body()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + clock.Second - 1) / clock.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(r.Status)
	// The caller may have disconnected.
	_, _ = w.Write(body)
}
