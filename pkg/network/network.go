// Package network makes connections between processes: by TCP in production, and
// in memory for tests in virtual time.
package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network dials and accepts connections. Addresses are IP address and port.
type Network interface {
	// Dial connects to address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at address.
	Listen(address string) (net.Listener, error)
}

// TCP is the VM's network. On connections that it has dialled it detects a peer that is gone
// without closing the connection, as behind a network partition, by keep-alive probes and by
// unacknowledged bytes.
type TCP struct {
	dialer   net.Dialer
	listener net.ListenConfig
}

// The probes detect a peer that does not answer within about 2.5 s; userTimeout does so while
// sent bytes are unacknowledged, when the kernel sends no probes. It also ends the connection of a live peer that takes
// no bytes for that long; see HoldWhileUnread.
const (
	probeAfter  = time.Second
	probeEvery  = 500 * time.Millisecond
	probeCount  = 3
	userTimeout = 2500 * time.Millisecond
)

// NewTCP returns the VM's network.
func NewTCP() *TCP {
	probes := net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount}
	return &TCP{
		dialer:   net.Dialer{KeepAliveConfig: probes, Control: setUserTimeout},
		listener: net.ListenConfig{},
	}
}

// setUserTimeout makes the kernel close a connection whose sent bytes stay unacknowledged for userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(descriptor uintptr) {
		setErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// Dial connects to address by TCP.
func (t *TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", address)
}

// Listen accepts TCP connections at address.
func (t *TCP) Listen(address string) (net.Listener, error) {
	return t.listener.Listen(context.Background(), "tcp", address)
}
