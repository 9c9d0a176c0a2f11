package network

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// backlog is how many connections may wait to be accepted. Further calls of Dial wait.
const backlog = 1024

// Memory is a network inside one process, for tests. Its connections buffer as
// a kernel's do and work in the virtual time of testing/synctest. It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex                 // guards listeners
	listeners map[string]*memoryListener // by address; a closed one stays until it is replaced
	wrap      WrapFunc                   // may be nil
}

// WrapFunc may replace the dialling side of a new connection to address, to
// observe it or to make it fail.
type WrapFunc func(address string, conn net.Conn) net.Conn

// NewMemory returns a network without listeners. A nil wrap leaves connections as they are.
func NewMemory(wrap WrapFunc) *Memory {
	return &Memory{listeners: make(map[string]*memoryListener), wrap: wrap}
}

// Dial connects to the listener at address. If there is none, the error wraps
// errors.NotFound and syscall.ECONNREFUSED, the error of a kernel for a refused connection.
func (m *Memory) Dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	listener := m.listeners[address]
	m.mu.Unlock()
	if listener == nil {
		return nil, fmt.Errorf("no listener at %s: %w: %w", address, errors.NotFound, syscall.ECONNREFUSED)
	}
	select {
	case <-listener.closed:
		return nil, fmt.Errorf("listener at %s closed: %w: %w", address, errors.NotFound, syscall.ECONNREFUSED)
	default:
	}
	conn, accepted := newPipe(address)
	select {
	case listener.pending <- accepted:
	case <-listener.closed:
		return nil, fmt.Errorf("listener at %s closed: %w: %w", address, errors.NotFound, syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, fmt.Errorf("dialling %s: %w", address, ctx.Err())
	}
	select {
	case <-listener.closed:
		// It was closed at the same moment and may have missed the connection.
		_ = accepted.Close()
	default:
	}
	if m.wrap != nil {
		conn = m.wrap(address, conn)
	}
	return conn, nil
}

// Listen accepts connections at address and replaces any earlier listener there, which gets no further connections.
// It never fails.
func (m *Memory) Listen(address string) (net.Listener, error) {
	listener := &memoryListener{
		address: memoryAddr(address),
		pending: make(chan net.Conn, backlog),
		closed:  make(chan struct{}),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners[address] = listener
	return listener, nil
}

// memoryListener accepts the connections that Memory.Dial makes to an address.
type memoryListener struct {
	address memoryAddr
	pending chan net.Conn // connections not yet accepted
	closed  chan struct{} // closed by Close
	once    sync.Once     // of Close
}

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.pending:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections and closes those not yet accepted.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		for {
			select {
			case conn := <-l.pending:
				_ = conn.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return l.address }
