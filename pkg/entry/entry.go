// Package entry is the daemon's part on an entry VM: it takes callers'
// requests, places tickets with agents, binds each request to one grant and
// relays the answer.
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
	"quaydock/pkg/refusal"
	"quaydock/pkg/settings"
	"quaydock/pkg/table"
)

// Entry serves callers.
type Entry struct {
	common.Common
	settings   settings.Entry
	current    atomic.Pointer[declaration.Index]
	use        *accountUse
	pool       *sessionPool
	dispatcher *dispatcher
	server     *http.Server
	listener   net.Listener
	stop       context.CancelFunc
	leaving    atomic.Bool
}

// New returns an entry that has not started. It keeps claims in table.
func New(c common.Common, name ids.Process, s settings.Entry, table *table.Table) *Entry {
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{Common: c, settings: s, use: newAccountUse(), stop: stop}
	e.pool = newSessionPool(ctx, c, s.DialTimeoutMS)
	if _, late := policyOf(s).(balance.LateBinding); !late {
		e.pool.reports = s.ReportLagMS
	}
	e.dispatcher = &dispatcher{
		Common: c,
		ticketing: &ticketing{
			Common: c,
			pool:   e.pool,
			book:   e.book,
			choose: balance.NewChooser(policyOf(s), s.TicketsPerRequest, s.ReportLagMS),
			asked:  s.TicketsPerRequest,
		},
		claimer:        claim.NewClaimer(c, name, table),
		exchange:       newExchange(c, s.DialTimeoutMS),
		outcomeTimeout: s.OutcomeTimeoutMS,
	}
	e.server = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: s.Limits.HeaderTimeoutMS.Duration(),
		IdleTimeout:       s.Limits.IdleTimeoutMS.Duration(),
		MaxHeaderBytes:    s.Limits.HeaderBytes,
	}
	return e
}

// policyOf returns the policy that the settings name; their check knows it.
func policyOf(s settings.Entry) balance.Policy {
	policy, err := balance.ParsePolicy(s.Policy)
	if err != nil {
		return balance.LateBinding{}
	}
	return policy
}

func (e *Entry) book() *declaration.Index {
	return e.current.Load()
}

// Apply takes a new configuration into force.
func (e *Entry) Apply(book *declaration.Index) {
	e.pool.apply(book)
	e.current.Store(book)
}

// Start listens for callers.
func (e *Entry) Start() error {
	listener, err := e.Network.Listen(e.settings.Listen)
	if err != nil {
		return fmt.Errorf("callers' port: %w", err)
	}
	e.listener = netutil.LimitListener(listener, e.settings.Limits.Connections)
	go e.listen()
	return nil
}

func (e *Entry) listen() {
	err := e.server.Serve(e.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		e.Log.WithError(err).Error("callers' port failed")
	}
}

// Ready returns nil if the balancer may send callers here, else why not.
func (e *Entry) Ready() *refusal.Refusal {
	switch {
	case e.book() == nil:
		return refusal.Starting()
	case e.leaving.Load():
		return refusal.NoTarget(minRetryAfter)
	default:
		return nil
	}
}

// Drain stops the entry without cutting a request: it is not ready at once,
// still takes requests while the balancer notices, then waits for the last
// answer to end or for ctx.
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

// Close stops at once.
func (e *Entry) Close() {
	// An error says only that it was closed before.
	_ = e.server.Close()
	e.stop()
	e.pool.wait()
	e.dispatcher.exchange.close()
}
