package telemetry

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"quaydock/pkg/clock"
)

// PrometheusMetrics are the counters and histograms of one process as text, in the form
// that Prometheus reads. Their labels are bounded by the configuration.
type PrometheusMetrics struct {
	set *metrics.Set
}

// NewPrometheusMetrics returns figures without any.
func NewPrometheusMetrics() *PrometheusMetrics {
	return &PrometheusMetrics{set: metrics.NewSet()}
}

// Request is how one request ended, for counting.
type Request struct {
	Service string
	Account string
	Tier    int
	// Outcome is "answered", "answered_late", or why it was not answered.
	Outcome string
	// First is the time to its first event or answer, 0 without one; Held is how
	// long the entry had it.
	First clock.Millis
	Held  clock.Millis
}

// Count counts a request.
func (f *PrometheusMetrics) Count(r Request) {
	f.set.GetOrCreateCounter(fmt.Sprintf(
		`quaydock_requests_total{service=%q,account=%q,tier="%d",outcome=%q}`, r.Service, r.Account, r.Tier, r.Outcome)).Inc()
	f.set.GetOrCreateHistogram(fmt.Sprintf(
		`quaydock_held_seconds{service=%q,tier="%d",outcome=%q}`, r.Service, r.Tier, r.Outcome)).Update(r.Held.Duration().Seconds())
	if r.First > 0 {
		f.set.GetOrCreateHistogram(fmt.Sprintf(
			`quaydock_first_event_seconds{service=%q,tier="%d"}`, r.Service, r.Tier)).Update(r.First.Duration().Seconds())
	}
}

// Add counts something by name and one label.
func (f *PrometheusMetrics) Add(name, label, value string) {
	f.set.GetOrCreateCounter(fmt.Sprintf("quaydock_%s_total{%s=%q}", name, label, value)).Inc()
}

// Gauge shows a value whenever the figures are read.
func (f *PrometheusMetrics) Gauge(name string, value func() float64) {
	f.set.NewGauge("quaydock_"+name, value)
}

// LabelledGauge shows a value by name and one label whenever the figures are read. Only the
// first value of a name and label is shown.
func (f *PrometheusMetrics) LabelledGauge(name, label, labelled string, value func() float64) {
	f.set.GetOrCreateGauge(fmt.Sprintf("quaydock_%s{%s=%q}", name, label, labelled), value)
}

// ServeHTTP shows all figures as text.
func (f *PrometheusMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	f.set.WritePrometheus(w)
}
