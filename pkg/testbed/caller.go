package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"quaydock/pkg/network"
	"quaydock/pkg/refusal"
	"quaydock/pkg/standin"
)

//go:generate stringer -type=Ending

// Ending is how a request ended, as far as its caller can see.
type Ending int

// The endings of a request.
const (
	// Complete: the answer is complete and is the request's own.
	Complete Ending = iota
	// NotRun: the request was refused and has not run.
	NotRun
	// Unknown: the request was refused but may have run.
	Unknown
	// Truncated: the answer broke off in a way that the caller can see.
	Truncated
	// Misattributed: the answer looks complete but is not the request's own.
	Misattributed
)

// Answer is what a caller received.
type Answer struct {
	Ending     Ending
	Request    string // the id that the entry gave the request
	Status     int    // 0 if no answer began
	Code       string // the error code of a refusal
	RetryAfter string // the Retry-After header
	Body       string // what arrived of the body, or the error if no answer began
	Tokens     int    // counted by Chat in a whole answer of status 200
}

// Caller sends requests to one entry, as an OpenAI client does.
type Caller struct {
	client *http.Client
	base   string
}

// NewCaller returns a caller of the entry at address.
func NewCaller(net network.Network, address string) *Caller {
	return &Caller{client: &http.Client{Transport: network.NewTransport(net, network.TransportOptions{})}, base: "http://" + address}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Chat sends prompt as a chat request for an answer of the given number of tokens and checks the answer.
func (c *Caller) Chat(ctx context.Context, prompt string, tokens int, stream bool, header http.Header) Answer {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, Model, stream, tokens, prompt)
	answer := c.Do(ctx, http.MethodPost, "/v1/chat/completions", body, header)
	if answer.Ending == Complete && answer.Status == http.StatusOK {
		answer.checkContent(body, stream, tokens)
	}
	return answer
}

// Do makes one call with Key and the given header, whose fields replace those that it sets itself. It does not check
// the content of a complete body. A call that got no answer ends as Truncated.
func (c *Caller) Do(ctx context.Context, method, path, body string, header http.Header) Answer {
	call, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{Ending: Truncated, Body: err.Error()}
	}
	call.GetBody = nil // else net/http may repeat the call on its own
	call.Header.Set("Authorization", "Bearer "+Key)
	for name, values := range header {
		call.Header[name] = values
	}
	response, err := c.client.Do(call)
	if err != nil {
		return Answer{Ending: Truncated, Body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response)
}

// readAnswer reads a response to its end. Its Ending is Complete unless the body is truncated or the outcome
// header says otherwise.
func readAnswer(response *http.Response) Answer {
	body, err := io.ReadAll(response.Body)
	answer := Answer{
		Request:    response.Header.Get("Quaydock-Request-Id"),
		Status:     response.StatusCode,
		RetryAfter: response.Header.Get("Retry-After"),
		Body:       string(body),
	}
	if err != nil {
		answer.Ending = Truncated
		return answer
	}
	switch refusal.Outcome(response.Header.Get(refusal.HeaderOutcome)) {
	case refusal.NotRun:
		answer.Ending = NotRun
	case refusal.OutcomeUnknown:
		answer.Ending = Unknown
	}
	if answer.Ending != Complete {
		answer.Code = errorCode(body)
	}
	return answer
}

// errorCode returns the error code in a refusal's body, empty if there is none.
func errorCode(body []byte) string {
	var envelope struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	// A body of another form has no code.
	_ = json.Unmarshal(body, &envelope)
	return envelope.Error.Code
}

// checkContent tells a complete answer of the request's own from a truncated or misattributed one, as an
// OpenAI client does, by the final event and the tokens.
func (a *Answer) checkContent(sent string, stream bool, tokens int) {
	own := standin.ExpectedToken([]byte(sent))
	if !stream {
		a.Tokens = 1 + strings.Count(a.Body, " t")
		if !strings.Contains(a.Body, own) || a.Tokens != tokens {
			a.Ending = Misattributed
		}
		return
	}
	a.Tokens = strings.Count(a.Body, `"delta"`)
	switch {
	case !strings.HasSuffix(a.Body, "data: [DONE]\n\n"):
		a.Ending = Truncated
	case !strings.Contains(a.Body, own) || a.Tokens != tokens:
		a.Ending = Misattributed
	}
}
