// Package entry runs on an entry VM: it accepts callers' requests, places tickets with agents, binds each request
// to one grant and relays the answer.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"golang.org/x/net/netutil"

	"quaydock/pkg/balance"
	"quaydock/pkg/claim"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/refusal"
	"quaydock/pkg/settings"
	"quaydock/pkg/table"
)

// Entry serves callers over HTTP and dispatches their requests to agents.
type Entry struct {
	common.Common
	settings   settings.Entry
	current    atomic.Pointer[declaration.Index] // the configuration in force; nil before the first
	use        *accountUse                       // limits and idempotency keys of client accounts at this entry
	pool       *sessionPool
	dispatcher *dispatcher
	server     *http.Server
	listener   net.Listener       // for callers; set by Start
	stop       context.CancelFunc // ends the sessions with agents
	leaving    atomic.Bool        // set by Drain; Ready then tells the load balancer to send no more callers
}

// New returns an entry that has not started. It stores idempotency claims in table.
func New(c common.Common, name ids.Process, s settings.Entry, table *table.Table) *Entry {
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{Common: c, settings: s, use: newAccountUse(), stop: stop}
	e.pool = newSessionPool(ctx, c, s.DialTimeoutMS)
	if _, late := policyOf(s).(balance.LateBinding); !late {
		e.pool.reportInterval = s.ReportLagMS
	}
	e.dispatcher = &dispatcher{
		Common: c,
		ticketing: &ticketing{
			Common:            c,
			pool:              e.pool,
			index:             e.index,
			chooser:           balance.NewChooser(policyOf(s), s.TicketsPerRequest, s.ReportLagMS),
			ticketsPerRequest: s.TicketsPerRequest,
		},
		claimer:        claim.NewClaimer(c, name, table),
		exchange:       newExchange(c, s.DialTimeoutMS),
		outcomeTimeout: s.OutcomeTimeoutMS,
	}
	e.server = &http.Server{
		Handler:           network.ResetOnAbort(e.handler()),
		ConnContext:       network.WithConn,
		ReadHeaderTimeout: s.Limits.HeaderTimeoutMS.Duration(),
		IdleTimeout:       s.Limits.IdleTimeoutMS.Duration(),
		MaxHeaderBytes:    s.Limits.HeaderBytes,
	}
	return e
}

// policyOf returns the policy that the settings name. The settings' check has accepted the name, so the fallback
// is not reached.
func policyOf(s settings.Entry) balance.Policy {
	policy, err := balance.ParsePolicy(s.Policy)
	if err != nil {
		return balance.LateBinding{}
	}
	return policy
}

// index returns the configuration in force, or nil before the first call of Apply.
func (e *Entry) index() *declaration.Index {
	return e.current.Load()
}

// Apply puts a new configuration into force. The sessions are updated first, so that a request that reads the new
// configuration finds a session for each of its targets.
func (e *Entry) Apply(index *declaration.Index) {
	e.pool.apply(index)
	e.current.Store(index)
}

// Start begins to accept callers' connections, no more than the limit in the settings at a time.
func (e *Entry) Start() error {
	listener, err := e.Network.Listen(e.settings.Listen)
	if err != nil {
		return fmt.Errorf("listening on the callers' port: %w", err)
	}
	e.listener = netutil.LimitListener(listener, e.settings.Limits.Connections)
	go e.serveListener()
	return nil
}

// serveListener serves callers until the entry is drained or closed.
func (e *Entry) serveListener() {
	err := e.server.Serve(e.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		e.Log.WithError(err).Error("serving the callers' port failed")
	}
}

// Ready returns nil if the load balancer may send callers to this entry, else the refusal that says why not.
func (e *Entry) Ready() *refusal.Refusal {
	switch {
	case e.index() == nil:
		return refusal.Starting()
	case e.leaving.Load():
		return refusal.NoTarget(minRetryAfter)
	default:
		return nil
	}
}

// Drain stops the entry without breaking off a request. It reports not ready at once, accepts requests for the
// settle time while the load balancer notices, then waits until the last answer has ended or ctx is done. After an
// error it has broken off what still ran.
func (e *Entry) Drain(ctx context.Context) error {
	e.leaving.Store(true)
	clock.Pause(ctx, e.settings.SettleMS)
	err := e.server.Shutdown(ctx)
	e.Close()
	if err != nil {
		return fmt.Errorf("draining callers: %w", err)
	}
	return nil
}

// Close stops the entry at once and breaks off running requests.
func (e *Entry) Close() {
	// First, as the requests that are broken off free slots, which must not go to those that still wait here.
	e.stop()
	// An error only means that it was closed before.
	_ = e.server.Close()
	e.pool.wait()
	e.dispatcher.exchange.close()
}
