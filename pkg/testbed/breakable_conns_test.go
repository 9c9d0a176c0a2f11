package testbed_test

import (
	"net"
	"sync"
	"time"

	"quaydock/pkg/clock"
)

// breakableConns tracks the connections of a testbed. The test can break them, and delay what is written on them.
type breakableConns struct {
	mu        sync.Mutex
	conns     map[string][]net.Conn // by address, without those that breakAll has closed
	heldUntil map[string]time.Time  // per address, until when writes of the dialling side are delayed
}

func newBreakableConns() *breakableConns {
	return &breakableConns{conns: make(map[string][]net.Conn), heldUntil: make(map[string]time.Time)}
}

// wrap is for Options.Wrap.
func (b *breakableConns) wrap(address string, conn net.Conn) net.Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[address] = append(b.conns[address], conn)
	return &breakableConn{Conn: conn, all: b, address: address, sem: make(chan struct{}, 1)}
}

// breakAll closes the connections to an address and returns their number.
func (b *breakableConns) breakAll(address string) int {
	b.mu.Lock()
	broken := b.conns[address]
	b.conns[address] = nil
	b.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
	return len(broken)
}

// hold delays everything that the dialling side writes to an address, until length has passed from now on.
func (b *breakableConns) hold(address string, length clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heldUntil[address] = time.Now().Add(length.Duration())
}

// holdTime returns for how long writes to an address are still to be delayed, 0 or less if not at all.
func (b *breakableConns) holdTime(address string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Until(b.heldUntil[address])
}

// breakableConn is the dialling side of a connection.
type breakableConn struct {
	net.Conn
	all     *breakableConns
	address string
	// sem guards the fields below. It is a channel because virtual
	// time does not advance while a goroutine waits for a mutex.
	sem     chan struct{}
	pending []byte // what was written while holding
	holding bool   // writes are delayed, from the first one in the hold time until release
}

// Write sends p, or buffers it while writes are delayed, as a kernel does.
func (c *breakableConn) Write(p []byte) (int, error) {
	delay := c.all.holdTime(c.address)
	c.sem <- struct{}{}
	defer func() { <-c.sem }()
	if delay > 0 && !c.holding {
		c.holding = true
		time.AfterFunc(delay, c.release)
	}
	if c.holding {
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// release sends the buffered bytes.
func (c *breakableConn) release() {
	c.sem <- struct{}{}
	defer func() { <-c.sem }()
	c.holding = false
	// The connection may be closed by now; its users have got an error then.
	_, _ = c.Conn.Write(c.pending)
	c.pending = nil
}
