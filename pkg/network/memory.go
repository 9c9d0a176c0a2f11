package network

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/grpc/test/bufconn"
)

const memoryBufferBytes = 64 << 10

// Memory is a network inside one process, for tests. Its connections buffer as
// a kernel's would and work in the virtual time of testing/synctest.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	wrap      WrapFunc
}

// WrapFunc may replace the dialling side of a new connection to address, to
// watch it or to make it fail.
type WrapFunc func(address string, conn net.Conn) net.Conn

// NewMemory returns a network without listeners. A nil wrap changes nothing.
func NewMemory(wrap WrapFunc) *Memory {
	return &Memory{listeners: make(map[string]*bufconn.Listener), wrap: wrap}
}

// Dial connects to the listener at address. The error is of kind
// errors.NotFound if there is none.
func (m *Memory) Dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	listener := m.listeners[address]
	m.mu.Unlock()
	if listener == nil {
		return nil, fmt.Errorf("no listener at %s: %w", address, errors.NotFound)
	}
	conn, err := listener.DialContext(ctx)
	if err != nil {
		return nil, fmt.Errorf("dialling %s: %w", address, err)
	}
	if m.wrap != nil {
		conn = m.wrap(address, conn)
	}
	return conn, nil
}

// Listen takes connections at address, in place of any earlier listener there.
func (m *Memory) Listen(address string) (net.Listener, error) {
	listener := bufconn.Listen(memoryBufferBytes)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners[address] = listener
	return listener, nil
}
