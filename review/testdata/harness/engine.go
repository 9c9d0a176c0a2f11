package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of an engine's work: a stream has eventCount events, one each eventEvery.
const (
	eventCount = 76
	eventEvery = 40 * time.Millisecond
	slots      = 10
	tagEvents  = 5 // of a short stream
)

// engine is a process that runs requests: a stand-in for a model engine of the platform's pages. It tells on its
// standard output what it ran.
type engine struct {
	id string

	mu      sync.Mutex
	running int
	out     *bufio.Writer
	garbage bool // it sends bytes that are no answer in place of garbageOf of its answers
}

// runEngine serves at an address until the process is killed.
func runEngine(id, address string) int {
	// An engine that has ended may leave connections in TIME_WAIT; Go sets SO_REUSEADDR.
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &engine{id: id, out: bufio.NewWriter(os.Stdout)}
	e.tell("ready")
	server := &http.Server{Handler: e, IdleTimeout: 30 * time.Second}
	fmt.Fprintln(os.Stderr, server.Serve(listener))
	return 1
}

// tell writes a line for the harness.
func (e *engine) tell(words ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintln(e.out, strings.Join(words, " "))
	_ = e.out.Flush()
}

// take takes a slot, or reports that none is free.
func (e *engine) take(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running+n > slots {
		return false
	}
	e.running += n
	return true
}

// ServeHTTP answers as PROTOCOL.md says of engines.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Quaydock-Request-Id")
	h := w.Header()
	h.Set("X-Quaydock-Instance-Id", e.id)
	switch r.URL.Path {
	case "/control": // of the harness
		e.mu.Lock()
		e.garbage = r.URL.Query().Get("garbage") == "true"
		e.mu.Unlock()
		return
	case "/health":
		w.WriteHeader(http.StatusOK)
		return
	case "/quaydock/report":
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprint(w, `{"stage":"dual","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":0,"kv_used":0,"kv_total":571007,"handles":0}`)
		return
	}
	if id != "" {
		h.Set("X-Quaydock-Request-Id", id)
	}
	if expected := r.Header.Get("X-Quaydock-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Quaydock-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.take(1) {
		h.Set("X-Quaydock-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.take(-1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.tell("run", id)
	if e.spoils() {
		e.sendGarbage(w, id)
		return
	}
	e.stream(w, r, id)
}

// spoils draws whether an answer is spoiled.
func (e *engine) spoils() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.garbage && rand.Float64() < garbageOf
}

// sendGarbage sends zeros in place of an answer, until the caller closes the connection.
func (e *engine) sendGarbage(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const piece = 1 << 20
	zeros, sent := make([]byte, piece), 0
	for began := time.Now(); ; {
		n, err := conn.Write(zeros)
		if sent += n; err != nil {
			e.tell("left", id, strconv.Itoa(sent))
			return
		}
		time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / garbageRate)))
	}
}

// eventText is the nth event of the stream of a request.
func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d/%d\n\n", n, id, n, eventCount)
}

// stream sends a stream that has neither a length nor chunks and ends with its connection, as RULES.md allows, if the
// request's id is odd, and one in chunks otherwise.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Quaydock-Response-Seal", "seal."+e.id)
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("X-Quaydock-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	write, end := e.writer(w, unframed(id))
	events := eventCount
	if strings.HasPrefix(r.URL.Path, "/tag/") {
		events = tagEvents
	}
	for n := 1; n <= events; n++ {
		time.Sleep(eventEvery)
		if time.Now().After(deadline) || write(eventText(id, n)) != nil {
			e.tell("left", id, strconv.Itoa(n))
			panic(http.ErrAbortHandler)
		}
		e.tell("event", id, strconv.Itoa(n))
	}
	e.tell("end", id)
	end()
}

// unframed reports whether the answer to a request ends with its connection.
func unframed(id string) bool {
	last := id[len(id)-1]
	return last%2 == 1
}

// writer returns functions to write a piece of the answer and to end it.
func (e *engine) writer(w http.ResponseWriter, unframed bool) (write func(string) error, end func()) {
	if !unframed {
		flusher := http.NewResponseController(w)
		return func(text string) error {
			if _, err := w.Write([]byte(text)); err != nil {
				return err
			}
			return flusher.Flush()
		}, func() {}
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	_, headErr := conn.Write([]byte(head.String()))
	write = func(text string) error {
		if headErr != nil {
			return headErr
		}
		_, err := conn.Write([]byte(text))
		return err
	}
	return write, func() { _ = conn.Close() }
}
