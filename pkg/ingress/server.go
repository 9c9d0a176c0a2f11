package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/descriptors"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// Limits that apply until a configuration is known. initialHeaderBytes also applies to rejected requests.
const (
	initialHeaderTime  = 5 * clock.Second
	initialIdleTime    = 60 * clock.Second
	initialHeaderBytes = 64 << 10
)

// Handlers are the handlers of a Server's requests.
type Handlers struct {
	// Serve handles requests; Reject handles those on connections beyond the callers' limit.
	Serve, Reject http.Handler
	// Context is the parent of all requests' contexts; nil stands for context.Background().
	Context context.Context
	// Draining reports whether the process is draining, for the log; nil stands for no.
	Draining func() bool
}

// baseContext is the BaseContext function of the http.Servers.
func (h *Handlers) baseContext(net.Listener) context.Context {
	if h.Context == nil {
		return context.Background()
	}
	return h.Context
}

// Server accepts callers' connections under limits that may change: connections accepted after a change are under
// the new limits, earlier ones keep theirs. Callers hold no more connections than their limit of descriptors.
type Server struct {
	common.Common
	handlers Handlers
	conns    *callerConns
	log      *serverLog
	// unanswered logs requests whose connections are closed before an answer.
	unanswered *unansweredLog
	accepted   chan net.Conn // connections within the limit, for the http.Server with the present limits
	rejected   chan net.Conn // connections beyond the limit
	ended      chan struct{} // closed when Serve has ended
	closed     chan struct{} // closed at the end of Shutdown

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	stopping bool           // Shutdown was called
	limits   routing.Limits // those of SetLimits, with BodyBytes 0
	current  *queueListener // feeds the http.Server with the present limits
}

// NewServer returns a server that does not accept connections yet.
func NewServer(c common.Common, handlers Handlers, limits descriptors.Limits) *Server {
	if handlers.Draining == nil {
		handlers.Draining = func() bool { return false }
	}
	return &Server{
		Common: c, handlers: handlers, conns: newCallerConns(c, limits), log: newServerLog(c), unanswered: newUnansweredLog(c, handlers.Draining),
		accepted: make(chan net.Conn), rejected: make(chan net.Conn), ended: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Connections returns how many connections callers hold, and how many more are being rejected.
func (s *Server) Connections() (taken, rejecting int) {
	return s.conns.counts()
}

// Serve accepts connections from a listener until Shutdown. It may be called only once.
func (s *Server) Serve(listener net.Listener) {
	defer close(s.ended)
	s.mu.Lock()
	s.listener = listener
	if s.stopping {
		_ = listener.Close() // Accept returns that it is closed
	}
	s.mu.Unlock()
	s.SetLimits(routing.Limits{HeaderBytes: initialHeaderBytes, HeaderTime: initialHeaderTime, IdleTime: initialIdleTime})
	s.serveRejected()
	go s.conns.watchShortage(s.closed)
	for {
		c, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.acceptFailed(err)
			clock.Pause(context.Background(), acceptRetryDelay)
			continue
		}
		s.handleConn(newCallerConn(c, s.unanswered))
	}
}

// acceptRetryDelay is the delay after an accept that failed, for example for lack of descriptors.
const acceptRetryDelay = 10 * clock.Millisecond

// handleConn hands a new connection to the http.Server that serves or rejects it. It blocks while the limit of rejected
// connections is reached too, so that further callers wait in the listener's backlog.
func (s *Server) handleConn(c *bufferedConn) {
	step := s.conns.admit(c)
	for step == descriptors.StepWait {
		select {
		case <-s.conns.freed:
			step = s.conns.admit(c)
		case <-s.closed:
			_ = c.Close() // nothing was read from it
			return
		}
	}
	to := s.accepted
	if step == descriptors.StepTurnAway {
		to = s.rejected
	}
	select {
	case to <- c:
	case <-s.closed:
		s.conns.drop(c)
	}
}

// rejectTimeout limits reading the request of a rejected caller, and writing its answer.
const rejectTimeout = clock.Second

// serveRejected starts the server for callers beyond the limit, who are told to come back, or served if they are
// of a higher tier than a request in progress. Their requests are read first: closing a connection with an
// unread request resets it, which would lose the answer.
func (s *Server) serveRejected() {
	server := &http.Server{
		Handler: callersHandler(s.handlers.Reject), MaxHeaderBytes: initialHeaderBytes, ReadTimeout: rejectTimeout.Duration(), WriteTimeout: rejectTimeout.Duration(),
		BaseContext: s.handlers.baseContext, ConnContext: network.WithConn, ConnState: s.conns.setState, ErrorLog: s.log.standard(),
	}
	server.SetKeepAlivesEnabled(false)
	run(server, &queueListener{server: s, from: s.rejected, stopped: make(chan struct{})})
}

// callersHandler returns the handler of an http.Server, with what the connection has to know when next panics.
func callersHandler(next http.Handler) http.Handler {
	return network.ResetOnAbort(markAborted(next))
}

// run starts an http.Server, which takes connections until its listener is stopped and serves them to their end.
func run(server *http.Server, from *queueListener) {
	go func() {
		// Its error says only that the listener was closed.
		_ = server.Serve(from)
	}()
}

// SetLimits changes the limits of future connections, which go to a new http.Server; the previous one takes no more.
func (s *Server) SetLimits(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.BodyBytes = 0 // checked with each request
	if l == s.limits {
		return
	}
	s.limits = l
	if s.current != nil {
		s.current.stop()
	}
	s.current = &queueListener{server: s, from: s.accepted, stopped: make(chan struct{})}
	server := &http.Server{
		Handler: callersHandler(s.handlers.Serve), MaxHeaderBytes: l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTime.Duration(), IdleTimeout: l.IdleTime.Duration(),
		BaseContext: s.handlers.baseContext, ConnContext: network.WithConn, ConnState: s.conns.setState, ErrorLog: s.log.standard(),
	}
	run(server, s.current)
}

// endInterval is the time between two checks whether connections are left to end.
const endInterval = 10 * clock.Millisecond

// Shutdown stops accepting connections, and waits until those that were accepted have ended: requests that have begun
// to arrive are served, and connections without one are closed. It may be called only once.
//
// It does without http.Server.Shutdown, which gives up requests that it has read: it closes their connections without an
// answer.
func (s *Server) Shutdown(ctx context.Context) error {
	defer close(s.closed)
	s.stopAccepting()
	for {
		accepting := s.accepting() // before the count, which lacks a connection that was accepted just now
		if open := s.conns.endWaits(); open == 0 && !accepting {
			return nil
		}
		if clock.Pause(ctx, endInterval); ctx.Err() != nil {
			s.conns.logUnanswered()
			return fmt.Errorf("waiting for the end of callers' connections: %w", ctx.Err())
		}
	}
}

// EndReads ends the wait for bodies that are still arriving. It is called after Controller.End, which can't end a read, so
// that their requests get their final answers too.
func (s *Server) EndReads() {
	s.conns.endReads()
}

// stopAccepting closes the listener.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.listener != nil {
		_ = s.listener.Close() // an error means that it is closed already
	}
}

// accepting reports whether a connection may still be accepted, or is on its way from the listener to an http.Server.
func (s *Server) accepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return false
	}
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// queueListener is the net.Listener of one http.Server, fed with accepted connections.
type queueListener struct {
	server  *Server
	from    <-chan net.Conn // the server's accepted or rejected
	stopped chan struct{}   // closed by stop
	once    sync.Once       // closes stopped
}

// Accept returns the next connection. Once stopped it returns net.ErrClosed even if a connection is ready: its
// successor takes that one.
func (l *queueListener) Accept() (net.Conn, error) {
	select {
	case <-l.stopped:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.from:
		return c, nil
	case <-l.stopped:
		return nil, net.ErrClosed
	case <-l.server.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the listener; further connections go to its successor.
func (l *queueListener) Close() error {
	l.stop()
	return nil
}

// stop ends Accept with net.ErrClosed. It may be called more than once.
func (l *queueListener) stop() {
	l.once.Do(func() { close(l.stopped) })
}

// Addr returns the address of the underlying listener.
func (l *queueListener) Addr() net.Addr {
	return l.server.listener.Addr()
}
