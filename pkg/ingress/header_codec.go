package ingress

import (
	"net/http"

	"quaydock/pkg/clock"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
)

// Call is what the headers of a caller's request declare.
type Call struct {
	ID string
	// Key is the client account's key; empty without one.
	Key string
	// Deadline is how long the caller waits; 0 if it is not declared.
	Deadline clock.Millis
	// Prompt and MaxOutput are the prompt's size and the output limit of a generation; 0 if they are not declared.
	Prompt    ids.Tokens
	MaxOutput ids.Tokens
	// OutputEstimate is the caller's estimate of the output's length; 0 if it is not declared.
	OutputEstimate ids.Tokens
	// PromptParts are the parts of the prompt in order. A target that has all parts up to one in its cache need not
	// process those again.
	PromptParts []PromptPart
	// LastEvent is the id of the last event of a stream that the caller has; empty if it has none.
	LastEvent string
	// Resumes is the id of the caller's request that brought the first event of the stream that it takes up again; empty
	// if it is not declared.
	Resumes string
}

// PromptPart is a part of a prompt that other requests may have in common.
type PromptPart struct {
	ID     ids.PromptPart
	Tokens ids.Tokens
}

// TargetCall is what this entry sets in the headers that a target gets.
type TargetCall struct {
	Target    ids.Target
	Account   ids.Account  // empty on routes without keys
	Remaining clock.Millis // time until the request's deadline
	LastEvent string       // id of the event after which a stream is to go on; empty at its beginning
}

// HeaderCodec reads and writes the headers that callers and targets use.
type HeaderCodec interface {
	// Describe reads a caller's request.
	Describe(h http.Header) Call
	// TargetHeaders returns the headers that a target gets, given those of the caller's request.
	TargetHeaders(h http.Header, to TargetCall) http.Header
	// AnswerMetadata reads the head of a target's answer.
	AnswerMetadata(h http.Header) forward.AnswerMetadata
	// CopyAnswer copies the headers of a target's answer that the caller gets.
	CopyAnswer(from, to http.Header)
}
