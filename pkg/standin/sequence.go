package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// sequence is one request in the engine.
type sequence struct {
	prefill    int      // tokens of the prompt still to be prefilled; guarded by the engine's mutex
	blocks     []uint64 // the hashes of the prompt by promptBlocks
	remaining  int      // tokens still to be generated; guarded by mu, as is generated
	generated  int
	stream     bool
	usage      bool   // whether a stream ends with its token usage
	prompt     int    // tokens of the prompt
	id         string // of the request
	firstToken string // the first token, which identifies the request

	mu      sync.Mutex // taken after the engine's, if both are held
	changed sync.Cond  // of mu; any change of the fields below
	out     []byte     // the body of the answer so far
	done    bool       // the answer is complete or aborted
	aborted bool       // it ended before it was complete; its connection is then closed
}

// ended reports whether the answer is complete or aborted.
func (s *sequence) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// emit generates the next token. It does nothing once the answer is complete or aborted.
func (s *sequence) emit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	token := s.firstToken
	if s.generated > 0 {
		token = " t" + strconv.Itoa(s.generated)
	}
	s.generated++
	s.remaining--
	s.done = s.remaining == 0
	s.write(token)
	s.changed.Broadcast()
}

// write appends a token to the body of the answer, with what precedes the first one and follows the last one. The
// caller holds mu.
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

// serve sends the answer from byte offset on, as it is generated if it is a stream, else once it is complete. If the
// answer is aborted it panics with http.ErrAbortHandler, which closes the connection.
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

// waitFrom waits for bytes from offset on; end reports whether they are the last. It panics as serve does.
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

// abort breaks off the answer unless it is complete.
func (s *sequence) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = !s.done
	s.done = true
	s.changed.Broadcast()
}
