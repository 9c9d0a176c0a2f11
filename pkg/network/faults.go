package network

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"quaydock/pkg/clock"
)

//go:generate stringer -type=Direction,Effect -output=faults_string.go

// Direction is which way a message goes on a connection.
type Direction int

// The directions.
const (
	// Request: from the side that dialled.
	Request Direction = iota
	// Reply: to the side that dialled.
	Reply
)

// Effect is what a fault does to a message.
type Effect int

// The effects.
const (
	// CutBefore breaks the connection; the message does not arrive.
	CutBefore Effect = iota
	// CutAfter breaks the connection once the message has arrived.
	CutAfter
	// Delay holds the message back, and all behind it on the connection.
	Delay
)

// Fault strikes one message. A message is one write or read of a connection;
// they are counted over all connections to an address.
type Fault struct {
	Address   string
	Direction Direction
	// Message is the number of the message that is struck, from 0.
	Message int
	Effect  Effect
	// Length is how long Delay holds the message back.
	Length clock.Millis
}

// Faults makes the connections of a Memory network fail, for tests. Its Wrap
// goes to NewMemory.
type Faults struct {
	mu     sync.Mutex
	faults []Fault
	counts map[lane]int
	struck int
}

type lane struct {
	address   string
	direction Direction
}

var errCut = errors.ConstError("connection cut by a fault")

// NewFaults returns a set of faults.
func NewFaults(faults ...Fault) *Faults {
	return &Faults{faults: faults, counts: make(map[lane]int)}
}

// Strike adds a fault.
func (f *Faults) Strike(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fault)
}

// Struck returns how many faults have struck.
func (f *Faults) Struck() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.struck
}

// Heal drops the faults that have not struck yet.
func (f *Faults) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = nil
}

// Wrap makes conn subject to the faults of its address.
func (f *Faults) Wrap(address string, conn net.Conn) net.Conn {
	return &faultyConn{Conn: conn, faults: f, address: address, turn: make(chan struct{}, 1), closed: make(chan struct{})}
}

// next counts a message and returns the fault that strikes it, if any.
func (f *Faults) next(address string, direction Direction) *Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := lane{address, direction}
	number := f.counts[l]
	f.counts[l]++
	for i := range f.faults {
		fault := &f.faults[i]
		if fault.Address == address && fault.Direction == direction && fault.Message == number {
			f.struck++
			return fault
		}
	}
	return nil
}

type faultyConn struct {
	net.Conn
	faults  *Faults
	address string
	// turn is held by who uses what follows. It is a channel, since virtual
	// time stands still while a goroutine waits for a mutex.
	turn    chan struct{}
	held    []byte
	holding bool
	once    sync.Once
	closed  chan struct{}
}

// Write sends a message, or has it struck.
func (c *faultyConn) Write(p []byte) (int, error) {
	fault := c.faults.next(c.address, Request)
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	if c.holding {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if fault == nil {
		return c.Conn.Write(p)
	}
	switch fault.Effect {
	case CutBefore:
		return 0, c.cut()
	case CutAfter:
		n, err := c.Conn.Write(p)
		if err != nil {
			return n, err
		}
		return n, c.cut()
	default:
		// As in a kernel's buffers, the writer goes on.
		c.holding = true
		c.held = append(c.held, p...)
		time.AfterFunc(fault.Length.Duration(), c.release)
		return len(p), nil
	}
}

// release sends what was held back.
func (c *faultyConn) release() {
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	c.holding = false
	// The connection may be closed by now; its users have been told.
	_, _ = c.Conn.Write(c.held)
	c.held = nil
}

// Read takes a message, or has it struck.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	fault := c.faults.next(c.address, Reply)
	if fault == nil {
		return n, nil
	}
	switch fault.Effect {
	case CutBefore:
		return 0, c.cut()
	case CutAfter:
		_ = c.cut()
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

// Close ends the connection, and with it a message that is held back.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *faultyConn) cut() error {
	_ = c.Close()
	return errCut
}
