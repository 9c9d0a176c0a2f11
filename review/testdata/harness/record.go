package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happened to a file, and keeps what engines ran.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
	runs  map[string][]string // by request, the engines that ran it
	ends  map[string]string   // by request, the engine that completed it
	made  map[string]int      // by request, the events that engines wrote
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(), file: file, out: bufio.NewWriter(file),
		runs: make(map[string][]string), ends: make(map[string]string), made: make(map[string]int),
	}, nil
}

// add writes a line with the time since the beginning.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", values...)
}

// say writes a line to the file and to standard output.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) event(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made[request]++
}

func (r *record) engine(id string, words []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch words[0] {
	case "run":
		r.runs[words[1]] = append(r.runs[words[1]], id)
	case "end":
		r.ends[words[1]] = id
	}
}

// completed returns which engine has completed a request, empty if none has.
func (r *record) completed(request string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[request]
}

// ran returns the engines that ran a request.
func (r *record) ran(request string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[request]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
