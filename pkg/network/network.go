// Package network is how processes reach one another: TCP in production, and
// an in-memory network for tests in virtual time.
package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Network makes and takes connections. Addresses are IP number and port.
type Network interface {
	// Dial connects to address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen takes connections at address.
	Listen(address string) (net.Listener, error)
}

// TCP is the network of the machine. A peer it has dialled that has gone
// without a word, as behind a cut, is found out by keep-alive probes and by
// unacknowledged bytes.
type TCP struct {
	dialer   net.Dialer
	listener net.ListenConfig
}

// The probes find out a silent peer in about 2.5 s; userTimeout does so for
// bytes that are under way.
const (
	probeAfter  = time.Second
	probeEvery  = 500 * time.Millisecond
	probeCount  = 3
	userTimeout = 2500 * time.Millisecond
	// optionUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
	optionUserTimeout = 18
)

// NewTCP returns the network of the machine.
func NewTCP() *TCP {
	probes := net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount}
	return &TCP{
		dialer:   net.Dialer{KeepAliveConfig: probes, Control: setUserTimeout},
		listener: net.ListenConfig{},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, optionUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Dial connects to address by TCP.
func (t *TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", address)
}

// Listen takes TCP connections at address.
func (t *TCP) Listen(address string) (net.Listener, error) {
	return t.listener.Listen(context.Background(), "tcp", address)
}
