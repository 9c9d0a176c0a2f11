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

// Ending is what a caller can tell of its request's end.
type Ending int

// The endings.
const (
	// Whole: the answer is complete and its own.
	Whole Ending = iota
	// NotRun: a refusal says that the request did not run.
	NotRun
	// Unknown: a refusal says that it may have run.
	Unknown
	// Cut: the answer broke off in a way that the caller can see.
	Cut
	// Crossed: the answer looks whole, but is not the request's own.
	Crossed
)

// Answer is what a caller received.
type Answer struct {
	Ending  Ending
	Request string
	Status  int
	Code    string
	Retry   string
	Body    string
	Tokens  int
}

// Caller sends requests to one entry, as an OpenAI client does.
type Caller struct {
	client *http.Client
	base   string
}

// NewCaller returns a caller of the entry at address.
func NewCaller(reach network.Network, address string) *Caller {
	return &Caller{client: &http.Client{Transport: network.NewTransport(reach, network.TransportOptions{})}, base: "http://" + address}
}

// Close drops the caller's connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Chat asks for tokens tokens of answer to prompt.
func (c *Caller) Chat(ctx context.Context, prompt string, tokens int, stream bool, header http.Header) Answer {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, Model, stream, tokens, prompt)
	answer := c.Do(ctx, http.MethodPost, "/v1/chat/completions", body, header)
	if answer.Ending == Whole && answer.Status == http.StatusOK {
		answer.judge(body, stream, tokens)
	}
	return answer
}

// Do makes one call. A whole body of status 200 is not judged further.
func (c *Caller) Do(ctx context.Context, method, path, body string, header http.Header) Answer {
	call, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{Ending: Cut, Body: err.Error()}
	}
	call.GetBody = nil
	call.Header.Set("Authorization", "Bearer "+Key)
	for name, values := range header {
		call.Header[name] = values
	}
	response, err := c.client.Do(call)
	if err != nil {
		return Answer{Ending: Cut, Body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	return read(response)
}

func read(response *http.Response) Answer {
	body, err := io.ReadAll(response.Body)
	answer := Answer{
		Request: response.Header.Get("Quaydock-Request-Id"),
		Status:  response.StatusCode,
		Retry:   response.Header.Get("Retry-After"),
		Body:    string(body),
	}
	if err != nil {
		answer.Ending = Cut
		return answer
	}
	switch refusal.Outcome(response.Header.Get(refusal.HeaderOutcome)) {
	case refusal.NotRun:
		answer.Ending = NotRun
	case refusal.OutcomeUnknown:
		answer.Ending = Unknown
	}
	if answer.Ending != Whole {
		answer.Code = errorCode(body)
	}
	return answer
}

func errorCode(body []byte) string {
	var envelope struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	// A body in another form has no code.
	_ = json.Unmarshal(body, &envelope)
	return envelope.Error.Code
}

// judge tells a whole answer of its own from a cut or crossed one, as an
// OpenAI client would, by the closing event and the tokens.
func (a *Answer) judge(sent string, stream bool, tokens int) {
	own := standin.OwnToken([]byte(sent))
	if !stream {
		a.Tokens = 1 + strings.Count(a.Body, " t")
		if !strings.Contains(a.Body, own) || a.Tokens != tokens {
			a.Ending = Crossed
		}
		return
	}
	a.Tokens = strings.Count(a.Body, `"delta"`)
	switch {
	case !strings.HasSuffix(a.Body, "data: [DONE]\n\n"):
		a.Ending = Cut
	case !strings.Contains(a.Body, own) || a.Tokens != tokens:
		a.Ending = Crossed
	}
}
