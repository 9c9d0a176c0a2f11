// Package agent is the daemon's part on a target VM: the one way to its
// target. It decides which ticket gets the next room, turns a grant into a
// dispatch once, and keeps each answer until its entry has it.
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

// Agent stands beside one target.
type Agent struct {
	common.Common
	settings    settings.Agent
	incarnation ids.Incarnation
	target      *targetClient
	server      *http.Server
	ctx         context.Context
	stop        context.CancelFunc
	running     sync.WaitGroup

	mu       sync.Mutex
	gate     *gate.Gate
	sessions map[gate.Session]*controlSession
	conns    map[gate.Session]net.Conn
	nextID   gate.Session
	works    map[ids.Grant]*work
	finished []keptWork // oldest first
	dropping bool       // a timer for the oldest is set
	keptSize int64
	revision declaration.Revision
	timer    *time.Timer
	timerAt  clock.Millis // when it goes off
	listener net.Listener
	closed   bool // no further session is opened
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
		works:       make(map[ids.Grant]*work),
	}
	a.target = newTargetClient(c, a.rest)
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

const headerTimeout = 10 * clock.Second

// Apply takes a new configuration into force.
func (a *Agent) Apply(book *declaration.Index) {
	declared := book.Target(a.settings.Target)
	var services []ids.Service
	slots := 0
	if declared != nil {
		a.target.set(*declared)
		slots = declared.Slots
		for _, p := range book.Placements(declared.Name) {
			services = append(services, p.Service)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision = book.Revision
	a.gate.SetServices(services, slots)
	a.gate.Tick(a.Clock.Now())
	a.settle()
}

// Start listens for entries.
func (a *Agent) Start() error {
	messages, err := a.Network.Listen(a.settings.Control)
	if err != nil {
		return fmt.Errorf("control port: %w", err)
	}
	streams, err := a.Network.Listen(a.settings.Data)
	if err != nil {
		return fmt.Errorf("data port: %w", err)
	}
	a.listener = messages
	a.running.Go(func() { a.acceptSessions(messages) })
	a.running.Go(func() { a.acceptStreams(streams) })
	return nil
}

func (a *Agent) acceptStreams(streams net.Listener) {
	err := a.server.Serve(streams)
	if !errors.Is(err, http.ErrServerClosed) {
		a.Log.WithError(err).Error("data port failed")
	}
}

func (a *Agent) acceptSessions(messages net.Listener) {
	for {
		conn, err := messages.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				a.Log.WithError(err).Error("control port failed")
			}
			return
		}
		a.running.Go(func() { a.serveSession(conn) })
	}
}

// serveSession serves one connection from an entry until it ends. Each has an
// RPC server of its own, so that a message's session is known.
func (a *Agent) serveSession(conn net.Conn) {
	ctx, stop := context.WithCancel(a.ctx)
	defer stop()
	s := a.openSession(ctx, conn)
	server := rpc.NewServer()
	if err := server.RegisterName(control.ServiceName, s); err != nil {
		a.Log.WithError(err).Error("messages not registered")
		return
	}
	server.ServeConn(network.LimitWrites(conn, control.WriteLimit))
	a.closeSession(s)
}

func (a *Agent) openSession(ctx context.Context, conn net.Conn) *controlSession {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextID++
	s := newControlSession(ctx, a, a.nextID)
	a.sessions[s.id] = s
	a.conns[s.id] = conn
	if a.closed {
		_ = conn.Close()
	}
	return s
}

func (a *Agent) closeSession(s *controlSession) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s.id)
	delete(a.conns, s.id)
	a.gate.DropSession(s.id)
}

// settle hands out the gate's notices and sets the timer for what time changes next; the lock is held.
func (a *Agent) settle() {
	for _, n := range a.gate.Notices() {
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

func (a *Agent) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = nil
	a.gate.Tick(a.Clock.Now())
	a.settle()
}

// rest keeps the target from new requests for a while, as it has asked for that.
func (a *Agent) rest(left clock.Millis) {
	a.Log.WithField("rest_ms", int64(left)).Info("the target asks for rest")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.BackOff(a.Clock.Now(), left)
	a.settle()
}

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
	a.settle()
	return verdicts, a.loadLocked(now)
}

// tracePlace shows a sampled ticket's decision as a span.
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

func (a *Agent) load() control.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked(a.Clock.Now())
}

func (a *Agent) loadLocked(now clock.Millis) control.Load {
	load := a.gate.Load(now)
	load.Revision = a.revision
	return load
}

func (a *Agent) outcome(args *control.OutcomeArgs) control.Fate {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	fate := a.gate.Fate(now, args.Grant, args.Request)
	a.settle()
	w := a.works[args.Grant]
	if w == nil || w.request != args.Request {
		return fate
	}
	w.leftAt = now // who asks still needs the answer
	if fate == control.FateUnknown {
		return control.FateDispatched // it is kept for longer than the gate remembers
	}
	return fate
}

func (a *Agent) cancel(args *control.OutcomeArgs) {
	a.mu.Lock()
	w := a.works[args.Grant]
	a.gate.Fate(a.Clock.Now(), args.Grant, args.Request) // closes an unused grant
	a.settle()
	a.mu.Unlock()
	if w != nil && w.request == args.Request {
		w.abort()
	}
}

// Drain stops the agent without cutting a request: no new work at once, then
// it waits for what was dispatched and read, or for ctx. An answer whose entry has lost
// its way is waited for as long as it is kept.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.gate.Leave()
	a.settle()
	a.mu.Unlock()
	defer a.Close()
	for !a.idle() {
		if ctx.Err() != nil {
			return fmt.Errorf("draining the target: %w", ctx.Err())
		}
		clock.Pause(ctx, drainLook)
	}
	if err := a.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("draining streams: %w", err)
	}
	return nil
}

const drainLook = 20 * clock.Millisecond

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Tick(a.Clock.Now())
	return a.gate.Idle() && !a.owes()
}

// Close stops at once. Links to entries go first: the end of running work makes
// room, and a grant for it would come from an agent that is no more.
func (a *Agent) Close() {
	// Errors say only that something was closed before.
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
