package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// Service is a plain service that echoes each call. It is safe for concurrent use.
type Service struct {
	mu   sync.Mutex
	runs map[string]int // calls received, by request id
}

// Echo is the answer of a Service: the call as it was received.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Body   string `json:"body,omitempty"`
}

// NewService returns a Service.
func NewService() *Service {
	return &Service{runs: make(map[string]int)}
}

// Runs returns how often the service received the request of that id.
func (s *Service) Runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// ServeHTTP answers a call with its Echo.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[r.Header.Get("X-Request-Id")]++
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Served-By", "stand-in")
	// An error means that the client is gone.
	_ = json.NewEncoder(w).Encode(Echo{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body)})
}
