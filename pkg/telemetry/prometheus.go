package telemetry

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"quaydock/pkg/clock"
)

// PrometheusMetrics holds the counters, gauges and histograms of one process in the text
// format of Prometheus. Accounts and services in labels are those of the configuration, which limits their number.
type PrometheusMetrics struct {
	set *metrics.Set
}

// NewPrometheusMetrics returns an empty set of metrics.
func NewPrometheusMetrics() *PrometheusMetrics {
	return &PrometheusMetrics{set: metrics.NewSet()}
}

// Request describes how one request ended.
type Request struct {
	Service string
	Account string
	// Tier is the rank of the request's tier.
	Tier int
	// Outcome is "answered", "answered_late", or the reason why there was no answer.
	Outcome string
	// FirstEvent is the time from the request's arrival to the first event or answer, 0 without one. Held is how
	// long the request was at the entry.
	FirstEvent clock.Millis
	Held       clock.Millis
}

// Count adds a request to the metrics.
func (m *PrometheusMetrics) Count(r Request) {
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`quaydock_requests_total{service=%q,account=%q,tier="%d",outcome=%q}`, r.Service, r.Account, r.Tier, r.Outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(
		`quaydock_held_seconds{service=%q,tier="%d",outcome=%q}`, r.Service, r.Tier, r.Outcome)).Update(r.Held.Duration().Seconds())
	if r.FirstEvent > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(
			`quaydock_first_event_seconds{service=%q,tier="%d"}`, r.Service, r.Tier)).Update(r.FirstEvent.Duration().Seconds())
	}
}

// Add increments by one the counter quaydock_NAME_total of one label value.
func (m *PrometheusMetrics) Add(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("quaydock_%s_total{%s=%q}", name, label, value)).Inc()
}

// Gauge registers a function that is called for the value of quaydock_NAME on each read of the metrics. It
// panics if the name is already registered.
func (m *PrometheusMetrics) Gauge(name string, value func() float64) {
	m.set.NewGauge("quaydock_"+name, value)
}

// LabelledGauge registers a function that is called on each read of the metrics for the value of quaydock_NAME
// with the label set to labelled. A second function for the same name and label value is ignored.
func (m *PrometheusMetrics) LabelledGauge(name, label, labelled string, value func() float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf("quaydock_%s{%s=%q}", name, label, labelled), value)
}

// LabelledValue is the value of the gauge quaydock_NAME whose label is set to Labelled.
type LabelledValue struct {
	Name, Label, Labelled string
	Value                 float64
}

// GaugeGroup registers a function that is called once on each read of the metrics and returns the values of gauges of one
// moment.
func (m *PrometheusMetrics) GaugeGroup(read func() []LabelledValue) {
	m.set.RegisterMetricsWriter(func(w io.Writer) {
		values := read()
		slices.SortFunc(values, func(a, b LabelledValue) int {
			return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Labelled, b.Labelled))
		})
		for _, v := range values {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("quaydock_%s{%s=%q}", v.Name, v.Label, v.Labelled), v.Value)
		}
	})
}

// ServeHTTP writes all metrics in the text format of Prometheus.
func (m *PrometheusMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	m.set.WritePrometheus(w)
}
