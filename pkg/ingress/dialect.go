package ingress

import (
	"net/http"

	"quaydock/pkg/clock"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
)

// Call is what the headers of a caller's request say.
type Call struct {
	ID string
	// Key is the client account's key; empty without one.
	Key string
	// Deadline is how long the caller will wait; 0 if it does not say.
	Deadline clock.Millis
	// Prompt and MostOut are the sizes of a generation, 0 if not told.
	Prompt    ids.Tokens
	MaxOutput ids.Tokens
	// OutputGuess is the caller's guess at the length of the output.
	OutputEstimate ids.Tokens
	// Parts are the parts of the prompt in order; a target that keeps them all
	// up to one need not read those again.
	PromptParts []PromptPart
	// LastEvent is the last event that the caller has of a stream.
	LastEvent string
}

// Part is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens ids.Tokens
}

// Onward is what changes in a request's headers on its way to a target.
type TargetCall struct {
	Target    ids.Target
	Account   ids.Account // empty on routes without keys
	Remaining clock.Millis
	LastEvent string
}

// Dialect is the language of callers and targets in the headers of requests.
type HeaderCodec interface {
	// Describe reads a caller's request.
	Describe(h http.Header) Call
	// Onward returns the headers that a target gets.
	TargetHeaders(h http.Header, to TargetCall) http.Header
	// Marks reads the head of a target's answer.
	AnswerMetadata(h http.Header) forward.AnswerMetadata
	// Answer copies the headers of a target's answer that the caller gets.
	CopyAnswer(from, to http.Header)
}
