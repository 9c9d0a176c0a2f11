// Package standin simulates the outside systems: a model
// engine, a plain service and the platform's table. The stand-ins implement the part of the
// published protocols that quaydock uses.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaydock/pkg/settings"
)

const (
	defaultMaxTokens = 16 // of a call that sets no max_tokens
	bytesPerToken    = 4  // of a prompt
	// maxSequences limits the sequences kept for resuming their answers.
	maxSequences = 1 << 16
)

// Engine is a model engine with continuous batching: each step prefills a number of
// prompt tokens and generates one token for each decoding sequence. It is safe for concurrent use.
type Engine struct {
	settings settings.EngineStandIn

	mu          sync.Mutex
	active      []*sequence          // the batch
	queued      []*sequence          // waiting for room in the batch, in order of arrival
	slowdown    int                  // factor by which steps take longer
	firstTokens map[string]time.Time // by request id
	computed    int                  // prompt tokens computed, without those found in the cache
	cache       *promptCache
	sequences   map[string]*sequence // kept for resuming their answers, by request id
	order       []string             // the request ids of the calls in these maps, the oldest first; at most maxSequences
	runs        map[string]int       // calls that were not rejected, by request id
	retryAfter  time.Duration        // if above 0, all calls are rejected with this Retry-After
	rejected    int                  // calls that were rejected
	stepping    bool                 // run is running
	steps       sync.WaitGroup       // by it Close waits for the end of run
}

// NewEngine returns an idle engine.
func NewEngine(s settings.EngineStandIn) *Engine {
	return &Engine{settings: s, sequences: make(map[string]*sequence), runs: make(map[string]int), firstTokens: make(map[string]time.Time), slowdown: 1, cache: newPromptCache(s.CacheTokens)}
}

// SlowDown makes steps take factor times as long from now on.
func (e *Engine) SlowDown(factor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Reject makes the engine reject all calls with the given Retry-After, as an overloaded engine does; 0 makes it
// accept calls again.
func (e *Engine) Reject(retryAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = retryAfter
}

// Rejected returns the number of calls that the engine has rejected.
func (e *Engine) Rejected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rejected
}

// rejectIfBusy answers a call that the engine rejects, and reports whether it did.
func (e *Engine) rejectIfBusy(w http.ResponseWriter) bool {
	e.mu.Lock()
	retryAfter := e.retryAfter
	if retryAfter > 0 {
		e.rejected++
	}
	e.mu.Unlock()
	if retryAfter <= 0 {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	http.Error(w, `{"error":{"message":"too much to do","type":"server_error","code":null,"param":null}}`, http.StatusServiceUnavailable)
	return true
}

// FirstToken returns when the engine generated the first token of a request's
// answer, and whether it has done so. An engine without a step time records none.
func (e *Engine) FirstToken(request string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, found := e.firstTokens[request]
	return at, found
}

// Runs returns how often the engine received a request, without rejected calls.
func (e *Engine) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// AllRuns returns how often the engine received each request, without rejected calls, by request id.
func (e *Engine) AllRuns() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		all[id] = n
	}
	return all
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /streams/{id}", e.resume)
	mux.HandleFunc("DELETE /streams/{id}", e.cancel)
	return mux
}

// engineCall holds the fields that the engine reads from a request body.
type engineCall struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	Options   struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// ExpectedToken returns the first token of the answer to a body, by which a test checks
// that it got the answer to its own request.
func ExpectedToken(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// complete answers a call for a completion. A call without a request id has the empty one.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var call engineCall
	if err := json.Unmarshal(body, &call); err != nil {
		http.Error(w, `{"error":{"message":"bad body","type":"invalid_request_error","code":null,"param":null}}`, http.StatusBadRequest)
		return
	}
	if e.rejectIfBusy(w) {
		return
	}
	if call.MaxTokens < 1 {
		call.MaxTokens = defaultMaxTokens
	}
	s := &sequence{
		id:         r.Header.Get("X-Request-Id"),
		prefill:    (len(call.Messages) + len(call.Prompt)) / bytesPerToken,
		prompt:     (len(call.Messages) + len(call.Prompt)) / bytesPerToken,
		blocks:     promptBlocks(append(call.Messages, call.Prompt...)),
		remaining:  call.MaxTokens,
		stream:     call.Stream,
		usage:      call.Options.Usage,
		firstToken: ExpectedToken(body),
	}
	s.changed.L = &s.mu
	e.begin(s)
	s.serve(w, 0, http.StatusOK)
}

// find returns the sequence of the request in a call's path, or nil.
func (e *Engine) find(r *http.Request) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequences[r.PathValue("id")]
}

// resume sends an answer again from the byte on that the Range header names. Without a valid header or for an unknown
// request it answers 404.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r)
	text, _ := strings.CutPrefix(r.Header.Get("Range"), "bytes=")
	offset, err := strconv.Atoi(strings.TrimSuffix(text, "-"))
	if s == nil || err != nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-/*", offset))
	s.serve(w, offset, http.StatusPartialContent)
}

// cancel aborts the answer of a request and answers 204, also for an unknown request.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if s := e.find(r); s != nil {
		s.abort()
	}
	w.WriteHeader(http.StatusNoContent)
}

// Close breaks off all answers and waits until the engine has stopped.
func (e *Engine) Close() {
	e.AbortAll()
	e.steps.Wait()
}

// ComputedPromptTokens returns the number of prompt tokens that the engine has computed. Those found in its prompt
// cache do not count.
func (e *Engine) ComputedPromptTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.computed
}

// AbortAll breaks off all running answers so that they cannot be resumed, as when the process of an engine ends.
func (e *Engine) AbortAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.active, e.queued) {
		s.abort()
	}
	e.sequences = make(map[string]*sequence)
}
