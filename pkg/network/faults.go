package network

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"quaydock/pkg/clock"
)

//go:generate stringer -type=Direction,Effect -output=faults_string.go

// Direction is the direction of a message on a connection.
type Direction int

// The directions of messages.
const (
	// Request: sent by the side that dialled.
	Request Direction = iota
	// Reply: sent to the side that dialled.
	Reply
)

// Effect is what a fault does to a message.
type Effect int

// The effects of faults.
const (
	// BreakBefore breaks the connection; the message does not arrive.
	BreakBefore Effect = iota
	// BreakAfter breaks the connection once the message has arrived.
	BreakAfter
	// Delay delays the message, and all that follow it on the connection.
	Delay
)

// Fault affects one message. A message is one write or read of a connection;
// messages are counted over all connections to an address.
type Fault struct {
	Address   string
	Direction Direction
	// Message is the number of the affected message, from 0.
	Message int
	Effect  Effect
	// Length is the time by which Delay delays the message; the other effects ignore it.
	Length clock.Millis
}

// Faults makes the connections of a Memory network fail, for tests. Pass its Wrap
// to NewMemory. It is safe for concurrent use.
type Faults struct {
	mu        sync.Mutex
	faults    []Fault
	counts    map[messageKey]int // messages so far, which is the number of the next one
	triggered int                // messages that a fault was found for, whether or not it had an effect
}

// messageKey identifies the messages that are counted together.
type messageKey struct {
	address   string
	direction Direction
}

var errBroken = errors.ConstError("connection broken by an injected fault")

// NewFaults returns a set of faults.
func NewFaults(faults ...Fault) *Faults {
	return &Faults{faults: faults, counts: make(map[messageKey]int)}
}

// Add adds a fault. Its message number counts from the first message since NewFaults, not from now on.
func (f *Faults) Add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fault)
}

// Triggered returns how many messages had a fault. It includes faults without effect, of messages that wait behind
// a delayed one.
func (f *Faults) Triggered() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.triggered
}

// Clear removes all faults.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = nil
}

// Wrap makes conn subject to the faults of its address.
func (f *Faults) Wrap(address string, conn net.Conn) net.Conn {
	return &faultyConn{Conn: conn, faults: f, address: address, sem: make(chan struct{}, 1), closed: make(chan struct{})}
}

// nextFault counts a message and returns the fault that affects it, or nil.
func (f *Faults) nextFault(address string, direction Direction) *Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := messageKey{address, direction}
	number := f.counts[key]
	f.counts[key]++
	for i := range f.faults {
		fault := &f.faults[i]
		if fault.Address == address && fault.Direction == direction && fault.Message == number {
			f.triggered++
			return fault
		}
	}
	return nil
}

// faultyConn is the dialling side of a connection that is subject to faults.
type faultyConn struct {
	net.Conn
	faults  *Faults
	address string // that was dialled, whose faults apply
	// sem guards pending and holding. It is a channel because virtual
	// time does not advance while a goroutine waits for a mutex.
	sem     chan struct{}
	pending []byte        // what was written while holding
	holding bool          // a write is being delayed, and so are all that follow it
	once    sync.Once     // closes closed
	closed  chan struct{} // closed by Close
}

// Write sends a message, or applies the fault for it. While an earlier message is delayed, faults of later
// ones have no effect.
func (c *faultyConn) Write(p []byte) (int, error) {
	fault := c.faults.nextFault(c.address, Request)
	c.sem <- struct{}{}
	defer func() { <-c.sem }()
	if c.holding {
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	if fault == nil {
		return c.Conn.Write(p)
	}
	switch fault.Effect {
	case BreakBefore:
		return 0, c.breakOff()
	case BreakAfter:
		n, err := c.Conn.Write(p)
		if err != nil {
			return n, err
		}
		return n, c.breakOff()
	default:
		// The writer goes on, as with a kernel's buffers.
		c.holding = true
		c.pending = append(c.pending, p...)
		time.AfterFunc(fault.Length.Duration(), c.release)
		return len(p), nil
	}
}

// release sends the delayed messages.
func (c *faultyConn) release() {
	c.sem <- struct{}{}
	defer func() { <-c.sem }()
	c.holding = false
	// The connection may be closed by now; its users have got an error then.
	_, _ = c.Conn.Write(c.pending)
	c.pending = nil
}

// Read receives a message, or applies the fault for it.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	fault := c.faults.nextFault(c.address, Reply)
	if fault == nil {
		return n, nil
	}
	switch fault.Effect {
	case BreakBefore:
		return 0, c.breakOff()
	case BreakAfter:
		_ = c.breakOff()
		return n, nil
	default:
		select {
		case <-time.After(fault.Length.Duration()):
			return n, nil
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Close closes the connection and discards a delayed message.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// breakOff closes the connection and returns errBroken.
func (c *faultyConn) breakOff() error {
	_ = c.Close()
	return errBroken
}
