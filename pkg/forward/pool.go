// Package forward carries a request to a target and its answer back, in one
// hop. It tells apart what surely did not run from what may have run, and it
// trusts no byte of a target further than the answer's own framing and id.
package forward

import (
	"context"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Pool keeps connections to targets.
type Pool struct {
	common.Common
	marks func(header map[string][]string) Marks

	mu   sync.Mutex
	idle map[ids.Target][]*connection
}

// NewPool returns a pool without connections. The function marks reads the head
// of an answer.
func NewPool(c common.Common, marks func(header map[string][]string) Marks) *Pool {
	return &Pool{Common: c, marks: marks, idle: make(map[ids.Target][]*connection)}
}

// take returns an idle connection to a target, or nil.
func (p *Pool) take(t ids.Target) *connection {
	now := p.Clock.Now()
	for {
		c := p.pop(t)
		if c == nil {
			return nil
		}
		if now < c.goodUntil && c.quiet() {
			c.reused = true
			return c
		}
		discard(c)
	}
}

func (p *Pool) pop(t ids.Target) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[t] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, t *routing.Target) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	c, err := p.Network.Dial(ctx, t.Address)
	if err != nil {
		return nil, err
	}
	p.Metrics.Links.Add("target_connections", 1)
	return newConnection(c), nil
}

// rest keeps a connection for the next request.
func (p *Pool) rest(t ids.Target, c *connection, keep clock.Millis) {
	c.goodUntil = p.Clock.Now() + keep
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[t] = append(p.idle[t], c)
}

// discard closes a connection that is not used again, whatever closing says.
func discard(c *connection) {
	_ = c.Close()
}

// Prune closes the idle connections that are too old or whose targets are
// gone.
func (p *Pool) Prune(known *routing.Directory) {
	now := p.Clock.Now()
	var old []*connection
	p.mu.Lock()
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.goodUntil && known.Target(t) != nil {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		clear(list[len(kept):])
		p.idle[t] = kept
		if len(kept) == 0 {
			delete(p.idle, t)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		discard(c)
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[ids.Target][]*connection)
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			discard(c)
		}
	}
}
