package telemetry

import (
	"expvar"
	"net/http"
	"runtime"
)

// Metrics holds the counters of one process. They are expvar variables that are
// not published globally, so that a test can run several processes in one.
type Metrics struct {
	root expvar.Map // all that ServeHTTP writes, by name
	// Requests counts requests at an entry by how they ended.
	Requests *expvar.Map
	// Refusals counts refusals at an entry by error code.
	Refusals *expvar.Map
	// Tickets counts the tickets that an entry placed, as "placed", and the agents' verdicts on them by kind.
	Tickets *expvar.Map
	// Dispatches counts dispatches at an agent by how they ended.
	Dispatches *expvar.Map
	// Links counts events on the connections between processes by kind, such as
	// lost sessions and resumes.
	Links *expvar.Map
	// Configuration holds the revision in force and counts polls by outcome.
	Configuration *expvar.Map
	// Prometheus holds the metrics by tier, account and service, in the format of
	// Prometheus.
	Prometheus *PrometheusMetrics
	// Violations counts violated invariants by name.
	Violations *expvar.Map
}

// NewMetrics returns metrics whose counters are zero.
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

// group publishes an empty map of counters under name in m.
func (m *Metrics) group(name string) *expvar.Map {
	group := new(expvar.Map).Init()
	m.root.Set(name, group)
	return group
}

// memoryState is the part of the runtime's memory statistics that is published.
type memoryState struct {
	HeapBytes  uint64 `json:"heap_bytes"`
	StackBytes uint64 `json:"stack_bytes"`
	SysBytes   uint64 `json:"sys_bytes"`
}

// memory returns a memoryState, as expvar.Func wants it.
func memory() any {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return memoryState{HeapBytes: stats.HeapAlloc, StackBytes: stats.StackInuse, SysBytes: stats.Sys}
}

// ServeHTTP writes all counters as JSON, in expvar's format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// An error means that the client has disconnected.
	_, _ = w.Write([]byte(m.root.String()))
}
