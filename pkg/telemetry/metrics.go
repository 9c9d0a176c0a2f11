package telemetry

import (
	"expvar"
	"net/http"
	"runtime"
)

// Metrics are the counters of one process. They are expvar variables that are
// not published globally, so that several processes' parts can run in one test.
type Metrics struct {
	root expvar.Map
	// Requests counts requests at an entry by how they ended.
	Requests *expvar.Map
	// Refusals counts refusals at an entry by code.
	Refusals *expvar.Map
	// Tickets counts tickets by what became of them.
	Tickets *expvar.Map
	// Dispatches counts dispatches at an agent by how they ended.
	Dispatches *expvar.Map
	// Links counts connections and resumes, made and lost.
	Links *expvar.Map
	// Configuration has the revision in force and what became of polls.
	Configuration *expvar.Map
	// Figures are the counters and histograms by tier, account and service, as
	// text.
	Prometheus *PrometheusMetrics
	// Violations counts violated invariants by name.
	Violations *expvar.Map
}

// NewMetrics returns counters at zero.
func NewMetrics() *Metrics {
	m := &Metrics{Prometheus: NewPrometheusMetrics()}
	m.root.Init()
	m.Requests = m.group("requests")
	m.Refusals = m.group("refusals")
	m.Tickets = m.group("tickets")
	m.Dispatches = m.group("dispatches")
	m.Links = m.group("links")
	m.Configuration = m.group("configuration")
	m.Violations = m.group("violations")
	m.root.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	m.root.Set("memory", expvar.Func(memory))
	return m
}

func (m *Metrics) group(name string) *expvar.Map {
	group := new(expvar.Map).Init()
	m.root.Set(name, group)
	return group
}

// memoryState is the part of the runtime's memory figures that is shown.
type memoryState struct {
	HeapBytes  uint64 `json:"heap_bytes"`
	StackBytes uint64 `json:"stack_bytes"`
	SysBytes   uint64 `json:"sys_bytes"`
}

func memory() any {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return memoryState{HeapBytes: stats.HeapAlloc, StackBytes: stats.StackInuse, SysBytes: stats.Sys}
}

// ServeHTTP shows all counters as JSON, in expvar's form.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A reader that has gone needs no answer.
	_, _ = w.Write([]byte(m.root.String()))
}
