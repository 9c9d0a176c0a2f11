// Package network is how processes reach one another: TCP in production, and
// an in-memory network for tests in virtual time.
package network

import (
	"context"
	"net"
)

// Network makes and takes connections. Addresses are IP number and port.
type Network interface {
	// Dial connects to address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen takes connections at address.
	Listen(address string) (net.Listener, error)
}

// TCP is the network of the machine.
type TCP struct {
	dialer net.Dialer
}

// NewTCP returns the network of the machine.
func NewTCP() *TCP {
	return &TCP{}
}

// Dial connects to address by TCP.
func (t *TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", address)
}

// Listen takes TCP connections at address.
func (t *TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
