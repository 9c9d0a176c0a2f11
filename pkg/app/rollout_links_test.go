package app

import (
	"bytes"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"quaydock/pkg/network"
	"quaydock/pkg/packets"
)

// linkDelays computes the delays of messages between the parts of a rolloutBed, so that a seed determines a play.
// Goroutines that are awake at the same instant of virtual time run in any order. With these delays no message arrives
// at the instant at which it was sent, and hardly two arrive at the same one, so that only one part is awake at a time.
// A delay is a function of seed, link, time and contents, and not of the delays before it.
type linkDelays struct {
	seed  uint64
	began time.Time
}

const (
	minDelay   = 100 * time.Microsecond
	delayRange = 50 * time.Microsecond // delays are less than minDelay plus this
)

// delay returns the delay of a message. It does not depend on the order of the message's bytes, as lists in it may be
// in any order.
func (s *linkDelays) delay(link string, message []byte) time.Duration {
	name := fnv.New64a()
	_, _ = name.Write([]byte(link))
	random := rand.New(rand.NewPCG(s.seed^name.Sum64(), uint64(time.Since(s.began))+contentHash(message)))
	return minDelay + time.Duration(random.Int64N(int64(delayRange)))
}

// contentHash hashes the bytes of a message, with the same result for any order of them.
func contentHash(message []byte) uint64 {
	var sum uint64
	for _, b := range message {
		sum += mixBits(uint64(b) + 1)
	}
	return mixBits(sum)
}

// mixBits maps neighbouring numbers to numbers that differ in many bits.
func mixBits(n uint64) uint64 {
	n *= 0x9e3779b97f4a7c15
	return n ^ n>>29
}

// delayedSocket delivers each datagram after its link delay.
type delayedSocket struct {
	packets.Socket
	delays *linkDelays
	at     netip.AddrPort // its own address
}

func (s delayedSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	body := append([]byte(nil), b...)
	time.AfterFunc(s.delays.delay(s.at.String()+" to "+to.String(), body), func() { _, _ = s.Socket.WriteToUDPAddrPort(body, to) })
	return len(b), nil
}

// delayedNetwork is a process's network that delivers what is written to a stream after a link delay.
type delayedNetwork struct {
	network.Network
	delays *linkDelays
	name   string
	// ignoreContents says that delays do not depend on contents: gob numbers types in the order in which the process first
	// encounters them, so that the same message may have other bytes in a second play.
	ignoreContents bool
}

// Dial connects to an address, on a connection whose writes are delayed.
func (n delayedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &delayedConn{Conn: conn, delays: n.delays, link: n.name + " to " + address, ignoreContents: n.ignoreContents}, nil
}

// Listen listens at an address, for connections whose writes are delayed.
func (n delayedNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return delayedListener{Listener: l, delays: n.delays, ignoreContents: n.ignoreContents}, nil
}

// delayedListener accepts connections whose writes are delayed.
type delayedListener struct {
	net.Listener
	delays         *linkDelays
	ignoreContents bool
}

// Accept returns the next connection.
func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{Conn: conn, delays: l.delays, link: "from " + l.Addr().String(), ignoreContents: l.ignoreContents}, nil
}

// delayedConn delivers what is written at one instant together, whatever the number of writes.
type delayedConn struct {
	net.Conn
	delays         *linkDelays
	link           string // its two ends, of which the delays are a function
	ignoreContents bool   // see delayedNetwork

	mu      sync.Mutex
	written []byte // not delivered yet
}

// Write queues p for delivery after the link's delay.
func (c *delayedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.written) == 0 {
		var firstLine []byte
		if !c.ignoreContents {
			firstLine, _, _ = bytes.Cut(p, []byte("\n")) // the rest may hold packed lists, whose order varies
		}
		time.AfterFunc(c.delays.delay(c.link, firstLine), c.deliver)
	}
	c.written = append(c.written, p...)
	return len(p), nil
}

// deliver writes all that was written since the last delivery.
func (c *delayedConn) deliver() {
	c.mu.Lock()
	written := c.written
	c.written = nil
	c.mu.Unlock()
	_, _ = c.Conn.Write(written) // an error means that the peer no longer reads
}

// Close closes the connection after pending writes have been delivered.
func (c *delayedConn) Close() error {
	time.AfterFunc(minDelay+delayRange, func() { _ = c.Conn.Close() })
	return nil
}
