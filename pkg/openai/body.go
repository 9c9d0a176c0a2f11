// Package openai reads the few fields that routing needs from the bodies that OpenAI clients send. The body itself
// is passed on unchanged.
package openai

import (
	"encoding/json"

	"quaydock/pkg/ids"
	"quaydock/pkg/prefix"
	"quaydock/pkg/refusal"
)

// Paths of the interface.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

// Call is what routing needs to know of one call.
type Call struct {
	Model  ids.Service
	Stream bool
	// Prefill estimates the prompt from its bytes, Decode the answer from the caller's limit on it, in tokens.
	Prefill ids.Tokens
	Decode  ids.Tokens
	// Prefix is the chain of fingerprints of the prompt's blocks.
	Prefix []prefix.Fingerprint
}

// body has the fields that are read. Only the length and the prefix of the prompt are used.
type body struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
}

const (
	// bytesPerToken is the usual length of a token in English or Spanish text.
	bytesPerToken = 4
	// defaultDecode is the estimate for a call that does not limit its answer.
	defaultDecode = 256
	// maxDecode bounds the estimate if the call's own limit is higher.
	maxDecode = 1 << 20
)

// ReadChat reads the body of a chat completion. A body that it can't read gives a refusal, and an empty Call.
func ReadChat(document []byte) (Call, *refusal.Refusal) {
	b, bad := read(document)
	if bad != nil {
		return Call{}, bad
	}
	if !startsWith(b.Messages, '[') {
		return Call{}, refusal.Malformed("messages", "messages must be an array")
	}
	return b.call(b.Messages)
}

// ReadCompletion reads the body of a completion. A body that it can't read gives a refusal, and an empty Call.
func ReadCompletion(document []byte) (Call, *refusal.Refusal) {
	b, bad := read(document)
	if bad != nil {
		return Call{}, bad
	}
	if !startsWith(b.Prompt, '"') && !startsWith(b.Prompt, '[') {
		return Call{}, refusal.Malformed("prompt", "prompt must be a string or an array")
	}
	return b.call(b.Prompt)
}

// read decodes the fields that all calls have, and refuses a body without a model.
func read(document []byte) (*body, *refusal.Refusal) {
	var b body
	if err := json.Unmarshal(document, &b); err != nil {
		return nil, refusal.Malformed("", "the body is not a JSON object of this call: %v", err)
	}
	if b.Model == "" {
		return nil, refusal.Malformed("model", "model is required")
	}
	return &b, nil
}

// startsWith reports whether a JSON value is of the kind that begins with the given byte. Decoding has removed white
// space before it.
func startsWith(value json.RawMessage, first byte) bool {
	return len(value) > 0 && value[0] == first
}

// call returns what routing needs, given the undecoded JSON of the prompt. Of the two limits on the answer
// max_completion_tokens takes precedence; one below 1 is refused.
func (b *body) call(prompt []byte) (Call, *refusal.Refusal) {
	decode := int64(defaultDecode)
	for _, limit := range []*int64{b.MaxTokens, b.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return Call{}, refusal.Malformed("max_tokens", "max_tokens must be 1 or more")
		}
		decode = min(*limit, maxDecode)
	}
	return Call{
		Model:   ids.Service(b.Model),
		Stream:  b.Stream,
		Prefill: ids.Tokens(len(prompt) / bytesPerToken),
		Prefix:  prefix.Chain(prompt),
		Decode:  ids.Tokens(decode),
	}, nil
}
