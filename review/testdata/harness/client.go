package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	whole  bool // the answer ended as HTTP says that a whole one does
	err    error
}

// String describes an answer in a line.
func (a *answer) String() string {
	return fmt.Sprintf("client %s: status %d, seal %q, %d bytes, whole %t, error %v", a.id, a.status, a.seal, len(a.body), a.whole, a.err)
}

// client sends requests to one entry after another, on connections of its own.
type client struct {
	http    http.Client
	entries []*entry
	body    string
}

// Bodies of requests: short ones, and those of notice-draft, of which the sheet says 12,000 bytes.
var (
	shortBody = strings.Repeat("x", 1200)
	longBody  = strings.Repeat("x", 12000)
)

func newClient(entries []*entry) *client {
	return &client{http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}}, entries: entries, body: shortBody}
}

// send sends a request with a body once, and reads the answer.
func (c *client) send(to *entry, id, path string, wait time.Duration) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.front+path, strings.NewReader(c.body))
	if err != nil {
		return &answer{id: id, err: err}
	}
	r.GetBody = nil // net/http must not repeat it
	r.Host = hostName
	r.Header.Set("X-Quaydock-Request-Id", id)
	r.Header.Set("X-Quaydock-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	r.Header.Set("X-Quaydock-Model-Name", "m")
	r.Header.Set("X-Quaydock-Token-Count", "660,380")
	r.Header.Set("Authorization", "Token "+key)
	response, err := c.http.Do(r)
	if err != nil {
		return &answer{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return &answer{id: id, status: response.StatusCode, seal: response.Header.Get("X-Quaydock-Response-Seal"), body: string(body), whole: err == nil, err: err}
}
