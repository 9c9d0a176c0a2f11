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
	"quaydock/pkg/routing"
)

// Limits before a configuration is known.
const (
	firstHeaderTime  = 5 * clock.Second
	firstIdleTime    = 60 * clock.Second
	firstHeaderBytes = 64 << 10
)

// Handlers are what a Server hands requests to.
type Handlers struct {
	// Serve serves them; TurnAway those on connections beyond callers' share.
	Serve, Reject http.Handler
	// Context is that from which the contexts of all requests are derived.
	Context context.Context
}

// base is the context of a server's requests.
func (h *Handlers) base(net.Listener) context.Context {
	if h.Context == nil {
		return context.Background()
	}
	return h.Context
}

// Server takes callers' connections under limits that may change: connections
// made after a change are under the new ones, earlier ones keep theirs. Callers hold no more
// of them than their share of the descriptors.
type Server struct {
	common.Common
	handlers Handlers
	conns    *callerConns
	log      *serverLog
	accepted chan net.Conn
	turned   chan net.Conn // those whose callers are told to come back
	closed   chan struct{}

	mu       sync.Mutex
	listener net.Listener
	limits   routing.Limits
	current  *queueListener
	servers  []*http.Server
}

// NewServer returns a server that takes nothing yet.
func NewServer(c common.Common, handlers Handlers, shares descriptors.Limits) *Server {
	return &Server{
		Common: c, handlers: handlers, conns: newCallerConns(c, shares), log: newServerLog(c),
		accepted: make(chan net.Conn), turned: make(chan net.Conn), closed: make(chan struct{}),
	}
}

// Connections is how many connections callers hold, and how many more are being turned away.
func (s *Server) Connections() (taken, turned int) {
	return s.conns.counts()
}

// Serve takes connections from a listener until Shutdown.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.SetLimits(routing.Limits{HeaderBytes: firstHeaderBytes, HeaderTime: firstHeaderTime, IdleTime: firstIdleTime})
	s.serveTurned()
	go s.conns.watch(s.closed)
	for {
		c, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.accept(err)
			clock.Pause(context.Background(), acceptPause)
			continue
		}
		s.take(c)
	}
}

// acceptPause is after an accept that failed, as when descriptors are used up.
const acceptPause = 10 * clock.Millisecond

// take hands a new connection to whoever serves it.
func (s *Server) take(c net.Conn) {
	step := s.conns.arrive(c)
	for step == descriptors.StepWait {
		select {
		case <-s.conns.freed:
			step = s.conns.arrive(c)
		case <-s.closed:
			_ = c.Close() // it was not read from
			return
		}
	}
	to := s.accepted
	if step == descriptors.StepTurnAway {
		to = s.turned
	}
	select {
	case to <- c:
	case <-s.closed:
		s.conns.drop(c)
	}
}

// turnTime is how long a caller that is turned away has for its request.
const turnTime = clock.Second

// serveTurned has callers beyond the share told to come back, or served in the place of lower work.
// They are read first: an answer to a request that was not read is lost with the reset of its
// connection.
func (s *Server) serveTurned() {
	server := &http.Server{
		Handler: s.handlers.Reject, MaxHeaderBytes: firstHeaderBytes, ReadTimeout: turnTime.Duration(), WriteTimeout: turnTime.Duration(),
		BaseContext: s.handlers.base, ConnContext: withConn, ConnState: s.conns.note, ErrorLog: s.log.standard(),
	}
	server.SetKeepAlivesEnabled(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run(server, &queueListener{server: s, from: s.turned, stopped: make(chan struct{})})
}

// run runs a server until the limits change or all is shut down; the lock is held.
func (s *Server) run(server *http.Server, from *queueListener) {
	s.servers = append(s.servers, server)
	go func() {
		// It ends when its listener does.
		_ = server.Serve(from)
	}()
}

// SetLimits changes the limits for connections to come.
func (s *Server) SetLimits(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.BodyBytes = 0 // it is checked at each request
	if l == s.limits {
		return
	}
	s.limits = l
	if s.current != nil {
		s.current.stop()
	}
	s.current = &queueListener{server: s, from: s.accepted, stopped: make(chan struct{})}
	server := &http.Server{
		Handler: s.handlers.Serve, MaxHeaderBytes: l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTime.Duration(), IdleTimeout: l.IdleTime.Duration(),
		BaseContext: s.handlers.base, ConnContext: withConn, ConnState: s.conns.note, ErrorLog: s.log.standard(),
	}
	s.run(server, s.current)
}

// Shutdown takes no more connections, closes those that rest, and waits for the
// requests under way.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	servers := s.servers
	if s.listener != nil {
		_ = s.listener.Close() // it was closed before, or is now
	}
	close(s.closed)
	s.mu.Unlock()
	failed := make([]error, len(servers))
	var all sync.WaitGroup
	for i, server := range servers {
		all.Go(func() { failed[i] = server.Shutdown(ctx) })
	}
	all.Wait()
	if err := errors.Join(failed...); err != nil {
		return fmt.Errorf("callers' connections: %w", err)
	}
	return nil
}

// queueListener hands accepted connections to one http.Server.
type queueListener struct {
	server  *Server
	from    <-chan net.Conn
	stopped chan struct{}
	once    sync.Once
}

// Accept returns the next connection.
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

// Close leaves further connections to another listener.
func (l *queueListener) Close() error {
	l.stop()
	return nil
}

func (l *queueListener) stop() {
	l.once.Do(func() { close(l.stopped) })
}

// Addr returns the address of the listener behind.
func (l *queueListener) Addr() net.Addr {
	return l.server.listener.Addr()
}
