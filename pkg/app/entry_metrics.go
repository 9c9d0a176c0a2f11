package app

import (
	"encoding/json"
	"net/http"

	"quaydock/pkg/advisory"
	"quaydock/pkg/buffers"
	"quaydock/pkg/domains"
	"quaydock/pkg/operators"
	"quaydock/pkg/quarantine"
)

// metricsPort and metricsPath are repeated in deploy/system.toml.
const (
	metricsPort = "9464"
	metricsPath = "/metrics"
)

// metrics registers the gauges of the entry, and returns a handler for the metrics in Prometheus's text format, the
// expvar counters and the operators' pages.
func (p *entryProcess) metrics() http.Handler {
	f := p.Metrics.Prometheus
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
	f.Gauge("targets_leaving_by_their_word", func() float64 { return p.countAdvised(func(s advisory.Status) bool { return s.Leaving }) })
	f.Gauge("targets_resting_from_this_entry", func() float64 { return p.countAdvised(func(s advisory.Status) bool { return s.Backoff > 0 }) })
	f.Gauge("targets_limited_by_their_word", func() float64 { return p.countAdvised(func(s advisory.Status) bool { return s.Limit.IsLimited() }) })
	f.Gauge("targets_cold", p.coldTargets)
	f.Gauge("entries_listed", func() float64 {
		entries, _ := p.members.Entries()
		return float64(entries)
	})
	f.Gauge("entries_list_read", func() float64 {
		if p.members.ListRead() {
			return 1
		}
		return 0
	})
	f.Gauge("entries_backing", p.members.Agreement)
	f.Gauge("requests_running", func() float64 { return float64(p.controller.Running()) })
	f.Gauge("planner_waiting", func() float64 { waiting, _ := p.dispatcher.PlannedCounts(); return float64(waiting) })
	f.Gauge("planner_running", func() float64 { _, running := p.dispatcher.PlannedCounts(); return float64(running) })
	f.Gauge("descriptors_limit", func() float64 { return float64(p.descriptors) })
	f.Gauge("caller_connections_open", func() float64 { open, _ := p.callers.Connections(); return float64(open) })
	f.Gauge("caller_connections_turning_away", func() float64 { _, rejecting := p.callers.Connections(); return float64(rejecting) })
	f.Gauge("buffered_answer_bytes", func() float64 { return float64(p.buffers.Usage().Answers) })
	f.Gauge("buffered_body_bytes", func() float64 { return float64(p.buffers.Usage().Bodies) })
	f.Gauge("buffered_bytes_limit", func() float64 { return float64(p.buffers.Limits().Total) })
	f.Gauge("incoming_answer_bytes", func() float64 { return float64(p.buffers.Usage().Incoming) })
	f.Gauge("callers_slow_to_read", func() float64 { return float64(p.buffers.Usage().Readers) })
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, f)
	mux.Handle("GET "+operators.PathMetrics, p.Metrics)
	mux.HandleFunc("GET "+operators.PathRollouts, jsonHandler(p, p.dispatcher.RolloutReports))
	mux.HandleFunc("GET "+operators.PathQuarantine, jsonHandler(p, p.guard.HeldReports))
	mux.HandleFunc("GET "+operators.PathAdvice, jsonHandler(p, p.adviceReports))
	mux.HandleFunc("GET "+operators.PathAccounts, jsonHandler(p, p.dispatcher.AccountReports))
	mux.HandleFunc("GET "+operators.PathSlowed, jsonHandler(p, p.dispatcher.SlownessReports))
	mux.HandleFunc("GET "+operators.PathBuffers, jsonHandler(p, func() buffers.Report { return p.buffers.Report(p.Clock.Now()) }))
	mux.HandleFunc("GET "+operators.PathDomains, jsonHandler(p, p.failureDomains))
	mux.HandleFunc("GET "+operators.PathReady, p.ready(http.StatusNoContent))
	mux.HandleFunc("POST "+operators.PathQuarantine, p.release)
	return mux
}

// adviceReports lists the targets that are leaving, in back-off or limited by their own report.
func (p *entryProcess) adviceReports() []advisory.Report {
	listed := p.view.Directory()
	if listed == nil {
		return []advisory.Report{}
	}
	return p.advice.Reports(listed)
}

// failureDomains reports on the failure domains of all targets.
func (p *entryProcess) failureDomains() []domains.Report {
	listed := p.view.Directory()
	if listed == nil {
		return []domains.Report{}
	}
	return domains.Reports(p.Clock.Now(), listed, p.view.Catalog())
}

// coldTargets returns how many targets are cold and get a limited rate of requests.
func (p *entryProcess) coldTargets() float64 {
	cold := 0
	for _, r := range p.failureDomains() {
		cold += r.Cold
	}
	return float64(cold)
}

// countAdvised returns for how many targets the status from their own reports meets a condition.
func (p *entryProcess) countAdvised(holds func(advisory.Status) bool) float64 {
	count := 0.0
	for _, s := range p.advice.All() {
		if holds(s) {
			count++
		}
	}
	return count
}

// jsonHandler answers with the result of a function, as JSON.
func jsonHandler[T any](p *entryProcess, of func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(of()); err != nil {
			p.Log.WithError(err).Debug("operator closed the connection before the answer was written")
		}
	}
}

// release lifts the quarantine of the request with the digest in the form. It answers with 404 if nothing is known
// against that request.
func (p *entryProcess) release(w http.ResponseWriter, r *http.Request) {
	digest, err := quarantine.ParseDigest(r.FormValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.guard.Release(digest) {
		http.Error(w, "nothing is known against this request", http.StatusNotFound)
		return
	}
	p.Log.WithField("digest", digest.String()).Warn("request released from quarantine by an operator")
	w.WriteHeader(http.StatusNoContent)
}
