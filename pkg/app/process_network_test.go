package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"quaydock/pkg/network"
)

// processNetwork is the network of one process: all its connections and listeners are closed when the
// process ends.
type processNetwork struct {
	network.Network

	mu    sync.Mutex
	open  []interface{ Close() error } // all that was opened so far, also what is closed again
	ended bool
	// unreachable, if set, reports whether the process cannot connect to an address.
	unreachable func(address string) bool
	dialled     map[net.Conn]string // with their addresses
}

// errProcessEnded is returned for connections and listeners that are opened after the end.
var errProcessEnded = errors.New("the process has ended")

// newProcessNetwork returns the network of a process that runs.
func newProcessNetwork(n network.Network) *processNetwork {
	return &processNetwork{Network: n, dialled: make(map[net.Conn]string)}
}

// Dial connects to an address.
func (p *processNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	unreachable := p.unreachable != nil && p.unreachable(address)
	p.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, fmt.Errorf("dialling %s: %w", address, ctx.Err())
	}
	c, err := p.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialled[c] = address
	p.mu.Unlock()
	return c, p.track(c)
}

// cutOff closes the connections to the addresses for which unreachable holds, and lets none be made from now on; nil ends
// that.
func (p *processNetwork) cutOff(unreachable func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable = unreachable
	for c, address := range p.dialled {
		if unreachable != nil && unreachable(address) {
			_ = c.Close()
			delete(p.dialled, c)
		}
	}
}

// Listen listens at an address.
func (p *processNetwork) Listen(address string) (net.Listener, error) {
	l, err := p.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	own := &processListener{l, p}
	return own, p.track(l)
}

// track registers what the process has opened, or closes it if the process has ended.
func (p *processNetwork) track(c interface{ Close() error }) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		_ = c.Close()
		return errProcessEnded
	}
	p.open = append(p.open, c)
	return nil
}

// end closes all connections and listeners.
func (p *processNetwork) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, c := range p.open {
		_ = c.Close()
	}
}

// processListener registers the connections that it accepts with the process's network.
type processListener struct {
	net.Listener
	process *processNetwork
}

// Accept returns the next connection.
func (l *processListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, l.process.track(c)
}
