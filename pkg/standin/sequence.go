package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// sequence is one request in the engine.
type sequence struct {
	prefill   int
	blocks    []uint64 // of the prompt
	remaining int
	generated int
	stream    bool
	usage     bool // whether a stream ends with its token usage
	prompt    int  // tokens of the prompt
	id        string
	text      string // the first token, which identifies the request

	mu      sync.Mutex
	changed sync.Cond
	out     []byte
	done    bool
	aborted bool
}

func (s *sequence) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// emit generates the next token.
func (s *sequence) emit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	token := s.text
	if s.generated > 0 {
		token = " t" + strconv.Itoa(s.generated)
	}
	s.generated++
	s.remaining--
	s.done = s.remaining == 0
	s.write(token)
	s.changed.Broadcast()
}

func (s *sequence) write(token string) {
	if s.stream {
		s.writeChunk(token)
		return
	}
	if s.generated == 1 {
		s.out = fmt.Appendf(s.out, `{"id":%q,"object":"chat.completion","choices":[{"index":0,"finish_reason":"length","message":{"role":"assistant","content":"`, s.id)
	}
	s.out = append(s.out, token...)
	if s.done {
		s.out = fmt.Appendf(s.out, `"}}],"usage":{"completion_tokens":%d}}`, s.generated)
	}
}

// writeChunk writes a token of a stream. The last chunk has a finish reason,
// by which a client tells a complete answer from a truncated one.
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
		s.out = fmt.Appendf(s.out, `data: {"id":%q,"object":"chat.completion.chunk","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n", s.id, s.prompt, s.generated, s.prompt+s.generated)
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
		p, end := s.waitFrom(offset)
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

// waitFrom waits for bytes from offset on; end reports whether they are the last.
func (s *sequence) waitFrom(offset int) (p []byte, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for offset == len(s.out) && !s.done {
		s.changed.Wait()
	}
	if s.aborted {
		panic(http.ErrAbortHandler)
	}
	return s.out[offset:], s.done
}

func (s *sequence) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = !s.done
	s.done = true
	s.changed.Broadcast()
}
