// Package operators serves the operators' port: health, readiness, metrics and
// profiles.
package operators

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/pprof"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/refusal"
)

// headerTimeout limits the reading of a request's head.
const headerTimeout = 5 * clock.Second

// Paths that the port serves.
const (
	// PathHealth answers 204 as long as the process runs.
	PathHealth = "/healthz"
	// PathReady answers 204 if the process accepts work, else with the refusal that says why not.
	PathReady = "/readyz"
	// PathMetrics returns all counters as JSON, in expvar's format.
	PathMetrics = "/debug/vars"
	// PathRollouts returns what a process knows of roll-outs. Entries on the platform serve it, on
	// the port of the metrics.
	PathRollouts = "/rollouts"
	// PathQuarantine returns which requests are quarantined; a POST releases the one whose digest it names.
	// It is served as PathRollouts is.
	PathQuarantine = "/quarantine"
	// PathAdvice returns which targets are leaving or asked for a back-off, by their own report. It is served as
	// PathRollouts is.
	PathAdvice = "/advice"
	// PathAccounts returns the shares of client accounts in the services that the entry plans for. It is served as
	// PathAdvice is.
	PathAccounts = "/accounts"
	// PathSlowed returns the targets that are slowed now by their own reports, in the services that the entry plans for.
	// It is served as PathAdvice is.
	PathSlowed = "/slowed"
	// PathBuffers returns what the entry holds for callers and targets, and how far its slowest callers are behind. It is
	// served as PathAdvice is.
	PathBuffers = "/buffers"
	// PathDomains returns for each failure domain whether it is drained and how many of its targets are cold. It
	// is served as PathRollouts is.
	PathDomains = "/domains"
	// PathProfile records a CPU profile for ?seconds=N.
	PathProfile = "/debug/pprof/profile"
	// PathHeap returns a profile of the heap, PathGoroutines the stacks of all goroutines.
	PathHeap       = "/debug/pprof/heap"
	PathGoroutines = "/debug/pprof/goroutine"
)

// Port is the HTTP server for operators.
type Port struct {
	common.Common
	address string // to listen at, an IP address and a port
	server  *http.Server
}

// NewPort returns a port that is to listen at address. The function ready returns
// nil if the process accepts work, else the refusal to answer with.
func NewPort(c common.Common, address string, ready func() *refusal.Refusal) *Port {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if why := ready(); why != nil {
			why.Write(w)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.Handle("GET "+PathMetrics, c.Metrics)
	mux.HandleFunc("GET "+PathProfile, pprof.Profile)
	mux.Handle("GET "+PathHeap, pprof.Handler("heap"))
	mux.Handle("GET "+PathGoroutines, pprof.Handler("goroutine"))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout.Duration()}
	return &Port{Common: c, address: address, server: server}
}

// Start listens and serves requests in the background until Close. It fails if the address cannot be listened on.
func (p *Port) Start() error {
	listener, err := p.Network.Listen(p.address)
	if err != nil {
		return fmt.Errorf("listening on the operators' port: %w", err)
	}
	go func() {
		if err := p.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.WithError(err).Error("operators' port failed")
		}
	}()
	return nil
}

// Close stops the port at once, without waiting for requests.
func (p *Port) Close() {
	// An error means only that the server was closed before.
	_ = p.server.Close()
}
