// Package agent runs on a target VM and is the only way to its target. It decides which ticket gets the next free
// slot, turns a grant into one dispatch, and keeps each answer until its entry has received it.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/control"
	"quaydock/pkg/declaration"
	"quaydock/pkg/gate"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/settings"
	"quaydock/pkg/telemetry"
)

// Agent serves the entries of one target.
type Agent struct {
	common.Common
	settings    settings.Agent
	incarnation ids.Incarnation // of this agent
	target      *targetClient
	server      *http.Server       // of the data port
	ctx         context.Context    // ends when the agent is closed
	stop        context.CancelFunc // ends ctx, which aborts all executions
	running     sync.WaitGroup     // counts executions, and the goroutines that serve entries

	mu            sync.Mutex
	gate          *gate.Gate
	sessions      map[gate.Session]*controlSession
	conns         map[gate.Session]net.Conn // the control connection of each session
	lastSession   gate.Session              // the newest session
	executions    map[ids.Grant]*execution  // running, or finished and still kept
	finished      []keptAnswer              // in the order in which they were kept
	dropScheduled bool                      // a timer for the first of finished is set
	keptSize      int64                     // sum of the sizes in finished, in bytes
	revision      declaration.Revision      // of the configuration in force
	timer         *time.Timer               // calls expire; nil if it is not set
	timerAt       clock.Millis              // when timer fires
	listener      net.Listener              // of the control port; set by Start, without the lock
	closed        bool                      // connections that are accepted later are closed at once
}

// New returns an agent that has not started.
func New(c common.Common, s settings.Agent) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	incarnation := ids.NewIncarnation(int64(c.Clock.Now()))
	c.Log = c.Log.WithField("target", string(s.Target))
	a := &Agent{
		Common:      c,
		settings:    s,
		incarnation: incarnation,
		ctx:         ctx,
		stop:        stop,
		sessions:    make(map[gate.Session]*controlSession),
		conns:       make(map[gate.Session]net.Conn),
		executions:  make(map[ids.Grant]*execution),
	}
	a.target = newTargetClient(c, a.backOff)
	a.gate = gate.New(incarnation, gate.Limits{
		QueueTime:     s.QueueTimeMS,
		QueueMin:      s.QueueMinTokens,
		GrantLifetime: s.GrantLifetimeMS,
		FloorHold:     s.FloorHoldMS,
		FateRetention: s.RememberMS,
	}, c.Check)
	a.server = &http.Server{Handler: a.handler(), ReadHeaderTimeout: headerTimeout.Duration()}
	return a
}

// headerTimeout limits the time that an entry takes to send the header of a stream.
const headerTimeout = 10 * clock.Second

// Apply puts a new configuration into force. While the target is not declared, all tickets are declined.
func (a *Agent) Apply(index *declaration.Index) {
	declared := index.Target(a.settings.Target)
	var services []ids.Service
	slots := 0
	if declared != nil {
		a.target.set(*declared)
		slots = declared.Slots
		for _, p := range index.Placements(declared.Name) {
			services = append(services, p.Service)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision = index.Revision
	a.gate.SetServices(services, slots)
	a.gate.Tick(a.Clock.Now())
	a.deliverNotices()
}

// Start begins to accept entries' connections on the control and data ports.
func (a *Agent) Start() error {
	controlListener, err := a.Network.Listen(a.settings.Control)
	if err != nil {
		return fmt.Errorf("listening on the control port: %w", err)
	}
	dataListener, err := a.Network.Listen(a.settings.Data)
	if err != nil {
		return fmt.Errorf("listening on the data port: %w", err)
	}
	a.listener = controlListener
	a.running.Go(func() { a.acceptSessions(controlListener) })
	a.running.Go(func() { a.acceptStreams(dataListener) })
	return nil
}

// acceptStreams serves the data port until the agent is closed.
func (a *Agent) acceptStreams(dataListener net.Listener) {
	err := a.server.Serve(dataListener)
	if !errors.Is(err, http.ErrServerClosed) {
		a.Log.WithError(err).Error("serving the data port failed")
	}
}

// acceptSessions serves the control port until the agent is closed.
func (a *Agent) acceptSessions(controlListener net.Listener) {
	for {
		conn, err := controlListener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				a.Log.WithError(err).Error("accepting on the control port failed")
			}
			return
		}
		a.running.Go(func() { a.serveSession(conn) })
	}
}

// serveSession serves one connection from an entry until it ends. Each connection has an RPC server of its own, so
// that the session of a message is known.
func (a *Agent) serveSession(conn net.Conn) {
	ctx, stop := context.WithCancel(a.ctx)
	defer stop()
	s := a.openSession(ctx, conn)
	server := rpc.NewServer()
	if err := server.RegisterName(control.ServiceName, s); err != nil {
		a.Log.WithError(err).Error("registering the RPC service failed")
		return
	}
	server.ServeConn(network.LimitWrites(conn, control.WriteTimeout))
	a.closeSession(s)
}

// openSession registers a session for a new connection. After Close it closes the connection.
func (a *Agent) openSession(ctx context.Context, conn net.Conn) *controlSession {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSession++
	s := newControlSession(ctx, a, a.lastSession)
	a.sessions[s.id] = s
	a.conns[s.id] = conn
	if a.closed {
		_ = conn.Close()
	}
	return s
}

// closeSession removes a session and its queued tickets. Its grants stay valid.
func (a *Agent) closeSession(s *controlSession) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s.id)
	delete(a.conns, s.id)
	a.gate.DropSession(s.id)
}

// deliverNotices passes the gate's notices to their sessions, except those that have ended, and sets the timer for the
// gate's next Tick. The lock must be held.
func (a *Agent) deliverNotices() {
	for _, n := range a.gate.TakeNotices() {
		if s := a.sessions[n.Session]; s != nil {
			s.notify(n.Verdict)
		}
	}
	now := a.Clock.Now()
	at, waits := a.gate.NextTick(now)
	if !waits || a.timer != nil && a.timerAt <= at {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	wait := max(at-now, clock.Millisecond)
	a.timer, a.timerAt = time.AfterFunc(wait.Duration(), a.expire), at
}

// expire runs when the timer fires: it closes expired grants and grants tickets for which time has made room.
func (a *Agent) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = nil
	a.gate.Tick(a.Clock.Now())
	a.deliverNotices()
}

// backOff stops grants for a time, because the target has asked for a back-off.
func (a *Agent) backOff(remaining clock.Millis) {
	a.Log.WithField("rest_ms", int64(remaining)).Info("target asked for a back-off")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.BackOff(a.Clock.Now(), remaining)
	a.deliverNotices()
}

// place withdraws tickets and then decides on new ones; it returns one verdict for each of these, in order.
func (a *Agent) place(session gate.Session, args *control.PlaceArgs) ([]control.Verdict, control.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	for i, r := range args.Withdrawn {
		if i < len(args.WithdrawnTurns) {
			a.gate.WithdrawUpTo(now, session, r, args.WithdrawnTurns[i])
		} else {
			a.gate.Withdraw(now, session, r)
		}
	}
	verdicts := make([]control.Verdict, 0, len(args.Tickets))
	for _, t := range args.Tickets {
		v := a.gate.Place(now, session, t)
		a.tracePlace(&t, v)
		verdicts = append(verdicts, v)
	}
	a.deliverNotices()
	return verdicts, a.loadLocked(now)
}

// tracePlace records the decision on a sampled ticket as a span.
func (a *Agent) tracePlace(t *control.Ticket, v control.Verdict) {
	if t.TraceParent == "" {
		return
	}
	_, span := a.Tracer.Start(telemetry.WithTraceParent(context.Background(), t.TraceParent), "agent.place")
	span.SetAttributes(
		attribute.String("quaydock.target", string(a.settings.Target)),
		attribute.String("quaydock.verdict", v.Kind.String()),
	)
	span.End()
}

// load returns the load for replies to entries.
func (a *Agent) load() control.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked(a.Clock.Now())
}

// loadLocked returns the load for replies to entries. The lock must be held.
func (a *Agent) loadLocked(now clock.Millis) control.Load {
	load := a.gate.Load(now)
	load.Revision = a.revision
	return load
}

// outcome returns the outcome of a grant, after closing it if it was unused. It also has the answer kept for longer.
func (a *Agent) outcome(args *control.OutcomeArgs) control.Fate {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	fate := a.gate.Fate(now, args.Grant, args.Request)
	a.deliverNotices()
	e := a.executions[args.Grant]
	if e == nil || e.request != args.Request {
		return fate
	}
	e.neededAt = now // whoever asks still needs the answer
	if fate == control.FateUnknown {
		return control.FateDispatched // answers are kept for longer than the gate remembers grants
	}
	return fate
}

// cancel aborts the execution of a grant. A grant that is still unused is closed, so that it never has one.
func (a *Agent) cancel(args *control.OutcomeArgs) {
	a.mu.Lock()
	e := a.executions[args.Grant]
	a.gate.Fate(a.Clock.Now(), args.Grant, args.Request) // closes an unused grant
	a.deliverNotices()
	a.mu.Unlock()
	if e != nil && e.request == args.Request {
		e.abort()
	}
}

// Drain stops the agent without breaking off a request: it takes no new work, then waits until what was dispatched
// has ended and been read, or until ctx is done. An answer whose entry has lost its connection is waited for as
// long as it is kept.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.gate.StopAdmission()
	a.deliverNotices()
	a.mu.Unlock()
	defer a.Close()
	for !a.idle() {
		if ctx.Err() != nil {
			return fmt.Errorf("waiting for running requests and unread answers: %w", ctx.Err())
		}
		clock.Pause(ctx, drainPollInterval)
	}
	if err := a.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("closing answer streams: %w", err)
	}
	return nil
}

// drainPollInterval is how often Drain checks whether the agent is idle.
const drainPollInterval = 20 * clock.Millisecond

// idle reports whether no request runs, no grant may still be used, and no entry has yet to receive an answer.
func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Tick(a.Clock.Now())
	return a.gate.Idle() && !a.hasUndelivered()
}

// Close stops the agent at once. Connections to entries are closed first: the end of running work frees slots, and
// a grant for one would come from an agent that has stopped.
func (a *Agent) Close() {
	// Errors only mean that something was closed before.
	_ = a.server.Close()
	if a.listener != nil {
		_ = a.listener.Close()
	}
	a.mu.Lock()
	a.closed = true
	for _, conn := range a.conns {
		_ = conn.Close()
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.mu.Unlock()
	a.stop()
	a.running.Wait()
	a.target.close()
}
