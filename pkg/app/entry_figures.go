package app

import (
	"encoding/json"
	"net/http"

	"quaydock/pkg/operators"
)

// metricsPort and metricsPath stand in deploy/system.toml too.
const (
	metricsPort = "9464"
	metricsPath = "/metrics"
)

// metrics serves the figures as text, and the expvar counters.
func (p *entryProcess) metrics() http.Handler {
	f := p.Metrics.Figures
	f.Gauge("configuration_proof_age_seconds", func() float64 { return p.view.Age(p.Clock.Now()).Duration().Seconds() })
	f.Gauge("configuration_revision", func() float64 {
		if c := p.view.Catalog(); c != nil {
			return float64(c.Revision)
		}
		return 0
	})
	f.Gauge("targets", func() float64 {
		if d := p.view.Directory(); d != nil {
			return float64(d.Len())
		}
		return 0
	})
	f.Gauge("entries_listed", func() float64 {
		entries, _ := p.members.Entries()
		return float64(entries)
	})
	f.Gauge("entries_list_read", func() float64 {
		if p.members.Known() {
			return 1
		}
		return 0
	})
	f.Gauge("entries_backing", p.members.Backing)
	f.Gauge("requests_running", func() float64 { return float64(p.controller.Running()) })
	f.Gauge("planner_waiting", func() float64 { waiting, _ := p.dispatcher.Planned(); return float64(waiting) })
	f.Gauge("planner_running", func() float64 { _, running := p.dispatcher.Planned(); return float64(running) })
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, f)
	mux.Handle("GET "+operators.PathMetrics, p.Metrics)
	mux.HandleFunc("GET "+operators.PathRollouts, p.tellRollouts)
	return mux
}

// tellRollouts tells operators what this entry knows of roll-outs.
func (p *entryProcess) tellRollouts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(p.dispatcher.Rollouts()); err != nil {
		p.Log.WithError(err).Debug("an operator has left")
	}
}
