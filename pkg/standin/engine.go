// Package standin has small replacements of the outside systems: a model
// engine, a plain service and the platform's table. They speak the published
// protocols and no more than the system uses of them.
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
	usualTokens   = 16
	bytesPerToken = 4
	// keptSequences bounds the finished answers kept for a resume.
	keptSequences = 1 << 16
)

// Engine is a model engine that batches continuously: each step takes some
// prompt tokens and gives every decoding sequence one token.
type Engine struct {
	settings settings.EngineStandIn

	mu        sync.Mutex
	active    []*sequence
	queued    []*sequence
	slowdown  int // steps take so many times as long
	firsts    map[string]time.Time
	computed  int // prompt tokens
	cache     *promptCache
	sequences map[string]*sequence
	order     []string
	runs      map[string]int
	rest      time.Duration // it turns all calls away and asks for that, if above 0
	turned    int
	stepping  bool
	steps     sync.WaitGroup
}

// NewEngine returns an idle engine.
func NewEngine(s settings.EngineStandIn) *Engine {
	return &Engine{settings: s, sequences: make(map[string]*sequence), runs: make(map[string]int), firsts: make(map[string]time.Time), slowdown: 1, cache: newPromptCache(s.CacheTokens)}
}

// SlowDown makes steps take factor times as long, as an engine does without
// warning.
func (e *Engine) SlowDown(factor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// TurnAway has the engine turn all calls away and ask for rest in seconds, as an engine does that has too
// much to do; 0 ends that.
func (e *Engine) TurnAway(rest time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rest = rest
}

// TurnedAway returns how many calls the engine has turned away.
func (e *Engine) TurnedAway() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.turned
}

// turnsAway answers a call that the engine turns away; it reports false if it takes it.
func (e *Engine) turnsAway(w http.ResponseWriter) bool {
	e.mu.Lock()
	rest := e.rest
	if rest > 0 {
		e.turned++
	}
	e.mu.Unlock()
	if rest <= 0 {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
	http.Error(w, `{"error":{"message":"too much to do","type":"server_error","code":null,"param":null}}`, http.StatusServiceUnavailable)
	return true
}

// FirstToken returns when the engine made the first token of a request's
// answer, and whether it has.
func (e *Engine) FirstToken(request string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, made := e.firsts[request]
	return at, made
}

// Runs returns how often the engine was given a request.
func (e *Engine) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// AllRuns returns how often the engine was given each request.
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

// engineCall is what the engine reads of a body.
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

// OwnToken is the first token of the answer to a body, by which a test tells
// whose answer it got.
func OwnToken(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

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
	if e.turnsAway(w) {
		return
	}
	if call.MaxTokens < 1 {
		call.MaxTokens = usualTokens
	}
	s := &sequence{
		id:      r.Header.Get("X-Request-Id"),
		prefill: (len(call.Messages) + len(call.Prompt)) / bytesPerToken,
		prompt:  (len(call.Messages) + len(call.Prompt)) / bytesPerToken,
		blocks:  promptBlocks(append(call.Messages, call.Prompt...)),
		left:    call.MaxTokens,
		stream:  call.Stream,
		usage:   call.Options.Usage,
		text:    OwnToken(body),
	}
	s.changed.L = &s.mu
	e.begin(s)
	s.serve(w, 0, http.StatusOK)
}

func (e *Engine) find(r *http.Request) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequences[r.PathValue("id")]
}

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

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if s := e.find(r); s != nil {
		s.abort()
	}
	w.WriteHeader(http.StatusNoContent)
}

// Close breaks every answer and waits for the engine to stand still.
func (e *Engine) Close() {
	e.CutAll()
	e.steps.Wait()
}

// Computed returns how many prompt tokens the engine has computed.
func (e *Engine) Computed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.computed
}

// CutAll breaks every answer under way for good, as an engine that dies does.
func (e *Engine) CutAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.active, e.queued) {
		s.abort()
	}
	e.sequences = make(map[string]*sequence)
}
