package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, in a file and for the check.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
	runs  map[string][]*engine // by request id
	// brief says that the lines of a request are kept until settle, and that all requests are counted.
	brief                   bool
	kept                    map[string][]string // by request id
	sent, succeeded, others int                 // requests since the last line with counts
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now(), runs: make(map[string][]*engine), kept: make(map[string][]string)}, nil
}

// log writes a line with the time since the start.
func (r *record) log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.WriteString(r.line(format, values))
}

func (r *record) line(format string, values []any) string {
	return fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// detail writes a line about a request, or keeps it until settle.
func (r *record) detail(id, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := r.line(format, values)
	if r.brief {
		r.kept[id] = append(r.kept[id], line)
		return
	}
	_, _ = r.out.WriteString(line)
}

// settle counts a request that has been answered, or not, and writes the lines about it if it shows anything.
func (r *record) settle(p *reply, shows bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if p.status == http.StatusOK {
		r.succeeded++
	} else {
		r.others++
	}
	if shows {
		for _, line := range r.kept[p.id] {
			_, _ = r.out.WriteString(line)
		}
	}
	delete(r.kept, p.id)
}

// count writes the counts of the requests once a second until stopped.
func (r *record) count(stopped <-chan struct{}) {
	r.mu.Lock()
	r.brief = true
	r.mu.Unlock()
	for {
		select {
		case <-stopped:
			return
		case <-time.After(time.Second):
		}
		r.mu.Lock()
		_, _ = r.out.WriteString(r.line("in the last second: %d requests sent, %d answered with 200, %d otherwise; so far %d ran at an engine", []any{r.sent, r.succeeded, r.others, len(r.runs)}))
		r.sent, r.succeeded, r.others = 0, 0, 0
		r.mu.Unlock()
	}
}

// ran records that an engine began to work on a request.
func (r *record) ran(id string, e *engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], e)
}

// runsOf returns the engines that have run a request.
func (r *record) runsOf(id string) []*engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
