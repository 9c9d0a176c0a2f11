// Package operators is the port for operators: health, readiness and metrics.
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

const headerTimeout = 5 * clock.Second

// Paths of the port.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/debug/vars"
	// PathRollouts tells what a process knows of roll-outs; it is served by entries on the
	// platform, on the port of the metrics.
	PathRollouts = "/rollouts"
	// PathQuarantine tells which requests are held back, and lets the one go whose digest a POST names; it
	// is served as PathRollouts is.
	PathQuarantine = "/quarantine"
	// PathAdvice tells which targets leave or rest by their own word; it is served as PathRollouts is.
	PathAdvice = "/advice"
	// PathDomains tells of each failure domain whether it is drained and how many of its targets are cold; it is
	// served as PathRollouts is.
	PathDomains = "/domains"
	// PathProfile takes a processor profile for ?seconds=N.
	PathProfile    = "/debug/pprof/profile"
	PathHeap       = "/debug/pprof/heap"
	PathGoroutines = "/debug/pprof/goroutine"
)

// Port serves operators.
type Port struct {
	common.Common
	address string
	server  *http.Server
}

// NewPort returns a port at address. The function ready returns nil if the
// process may be sent work.
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

// Start listens for operators.
func (p *Port) Start() error {
	listener, err := p.Network.Listen(p.address)
	if err != nil {
		return fmt.Errorf("operators' port: %w", err)
	}
	go func() {
		if err := p.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.WithError(err).Error("operators' port failed")
		}
	}()
	return nil
}

// Close stops at once.
func (p *Port) Close() {
	// An error says only that it was closed before.
	_ = p.server.Close()
}
