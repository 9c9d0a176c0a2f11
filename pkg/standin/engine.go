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
	stepping  bool
	steps     sync.WaitGroup
}

// sequence is one request in the engine.
type sequence struct {
	prefill int
	blocks  []uint64 // of the prompt
	left    int
	made    int
	stream  bool
	usage   bool // a stream ends with what it used
	prompt  int  // tokens of the prompt
	id      string
	text    string // the first token: tells whose answer it is

	mu      sync.Mutex
	changed sync.Cond
	out     []byte
	done    bool
	cut     bool
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

func (e *Engine) begin(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[s.id]++
	e.sequences[s.id] = s
	e.order = append(e.order, s.id)
	if len(e.order) > keptSequences {
		delete(e.sequences, e.order[0])
		delete(e.runs, e.order[0])
		delete(e.firsts, e.order[0])
		e.order = e.order[1:]
	}
	if e.settings.StepMS == 0 {
		for !s.done {
			s.emit()
		}
		return
	}
	e.queued = append(e.queued, s)
	if !e.stepping {
		e.stepping = true
		e.steps.Go(e.run)
	}
}

// run steps until no sequence is active.
func (e *Engine) run() {
	for {
		time.Sleep(e.stepTime())
		if !e.step() {
			return
		}
	}
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.StepMS.Duration() * time.Duration(e.slowdown)
}

// admit moves queued sequences into the batch while it has room; the lock is
// held.
func (e *Engine) admit() {
	for len(e.queued) > 0 && (e.settings.MaxBatch == 0 || len(e.active) < e.settings.MaxBatch) {
		if !e.queued[0].ended() {
			e.queued[0].prefill -= e.cache.held(e.queued[0].blocks)
			e.active = append(e.active, e.queued[0])
		}
		e.queued[0] = nil
		e.queued = e.queued[1:]
	}
}

func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	prompt := e.settings.PrefillPerStep
	kept := e.active[:0]
	for _, s := range e.active {
		taken := max(0, min(prompt, s.prefill))
		s.prefill -= taken
		prompt -= taken
		e.computed += taken
		if s.prefill <= 0 {
			e.noteFirst(s)
			s.emit()
		}
		if !s.ended() {
			kept = append(kept, s)
		}
	}
	clear(e.active[len(kept):])
	e.active = kept
	e.stepping = len(kept)+len(e.queued) > 0
	return e.stepping
}

func (e *Engine) noteFirst(s *sequence) {
	if _, made := e.firsts[s.id]; !made {
		e.firsts[s.id] = time.Now()
		e.cache.add(s.blocks)
	}
}

func (s *sequence) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// emit makes the next token.
func (s *sequence) emit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	token := s.text
	if s.made > 0 {
		token = " t" + strconv.Itoa(s.made)
	}
	s.made++
	s.left--
	s.done = s.left == 0
	s.write(token)
	s.changed.Broadcast()
}

func (s *sequence) write(token string) {
	if s.stream {
		s.writeChunk(token)
		return
	}
	if s.made == 1 {
		s.out = fmt.Appendf(s.out, `{"id":%q,"object":"chat.completion","choices":[{"index":0,"finish_reason":"length","message":{"role":"assistant","content":"`, s.id)
	}
	s.out = append(s.out, token...)
	if s.done {
		s.out = fmt.Appendf(s.out, `"}}],"usage":{"completion_tokens":%d}}`, s.made)
	}
}

// writeChunk writes a token of a stream. The last one says why the answer ends,
// by which a client tells a whole answer from one that was cut.
func (s *sequence) writeChunk(token string) {
	reason := "null"
	if s.done {
		reason = `"length"`
	}
	s.out = fmt.Appendf(s.out, `data: {"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%q},"text":%q,"finish_reason":%s}]}`+"\n\n", s.id, token, token, reason)
	if !s.done {
		return
	}
	if s.usage {
		s.out = fmt.Appendf(s.out, `data: {"id":%q,"object":"chat.completion.chunk","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n", s.id, s.prompt, s.made, s.prompt+s.made)
	}
	s.out = append(s.out, "data: [DONE]\n\n"...)
}

// serve sends the answer from offset on.
func (s *sequence) serve(w http.ResponseWriter, offset int, status int) {
	if s.stream {
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		w.Header().Set("Content-Type", "application/json")
		s.mu.Lock()
		for !s.done {
			s.changed.Wait()
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(s.out)-offset))
		s.mu.Unlock()
	}
	w.WriteHeader(status)
	for {
		p, end := s.from(offset)
		offset += len(p)
		if _, err := w.Write(p); err != nil {
			return
		}
		if end {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// from waits for bytes from offset on; end reports that they are the last.
func (s *sequence) from(offset int) (p []byte, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for offset == len(s.out) && !s.done {
		s.changed.Wait()
	}
	if s.cut {
		panic(http.ErrAbortHandler)
	}
	return s.out[offset:], s.done
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

func (s *sequence) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = !s.done
	s.done = true
	s.changed.Broadcast()
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
