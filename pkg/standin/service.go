package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// Service is a plain service: it answers every call with what it was asked.
type Service struct {
	mu   sync.Mutex
	runs map[string]int
}

// Echo is the answer of a Service.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Body   string `json:"body,omitempty"`
}

// NewService returns a service that has not been called.
func NewService() *Service {
	return &Service{runs: make(map[string]int)}
}

// Runs returns how often the service was given a request.
func (s *Service) Runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// ServeHTTP answers with what it was asked.
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
	// A client that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(Echo{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body)})
}
