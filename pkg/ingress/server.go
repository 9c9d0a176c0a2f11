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
	"quaydock/pkg/routing"
)

// Limits before a configuration is known.
const (
	firstHeaderTime  = 5 * clock.Second
	firstIdleTime    = 60 * clock.Second
	firstHeaderBytes = 64 << 10
)

// Server takes callers' connections under limits that may change: connections
// made after a change are under the new ones, earlier ones keep theirs.
type Server struct {
	common.Common
	handler  http.Handler
	accepted chan net.Conn
	closed   chan struct{}

	mu       sync.Mutex
	listener net.Listener
	limits   routing.Limits
	current  *queueListener
	servers  []*http.Server
}

// NewServer returns a server that takes nothing yet.
func NewServer(c common.Common, handler http.Handler) *Server {
	return &Server{Common: c, handler: handler, accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Serve takes connections from a listener until Shutdown.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.SetLimits(routing.Limits{HeaderBytes: firstHeaderBytes, HeaderTime: firstHeaderTime, IdleTime: firstIdleTime})
	for {
		c, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.Log.WithError(err).Warn("connection not accepted")
			clock.Pause(context.Background(), acceptPause)
			continue
		}
		select {
		case s.accepted <- c:
		case <-s.closed:
			_ = c.Close() // it was not read from
		}
	}
}

// acceptPause is after an accept that failed, as when descriptors are used up.
const acceptPause = 10 * clock.Millisecond

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
	s.current = &queueListener{server: s, stopped: make(chan struct{})}
	server := &http.Server{
		Handler: s.handler, MaxHeaderBytes: l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTime.Duration(), IdleTimeout: l.IdleTime.Duration(),
		ConnContext: withConn,
	}
	s.servers = append(s.servers, server)
	go func(from net.Listener) {
		// It ends when the limits change or the server is shut down.
		_ = server.Serve(from)
	}(s.current)
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
	case c := <-l.server.accepted:
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
