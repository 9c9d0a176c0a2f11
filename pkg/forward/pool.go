// Package forward carries a request to a target and its answer back, in one
// hop. It tells apart what surely did not run from what may have run, and it
// trusts no byte of a target further than the answer's own framing and id.
package forward

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Pool keeps connections to targets.
type Pool struct {
	common.Common
	marks  func(header map[string][]string) AnswerMetadata
	advice *advisory.Tracker

	mu   sync.Mutex
	idle map[ids.TargetIncarnation][]*connection
	busy map[ids.TargetIncarnation]map[*exchange]struct{}
	// targets is the newest list, nil before the first.
	targets *routing.Directory
}

// ErrReplaced says that the target has started again under its id: the exchange belongs to its
// former life.
var ErrReplaced = errors.New("the target has started again")

// NewPool returns a pool without connections. The function marks reads the head
// of an answer; what that says of its target goes into the book.
func NewPool(c common.Common, marks func(header map[string][]string) AnswerMetadata, advice *advisory.Tracker) *Pool {
	return &Pool{Common: c, marks: marks, advice: advice, idle: make(map[ids.TargetIncarnation][]*connection), busy: make(map[ids.TargetIncarnation]map[*exchange]struct{})}
}

// enter notes an exchange, so that it is broken off once its target has started again. It
// reports false if that has happened already.
func (p *Pool) enter(life ids.TargetIncarnation, e *exchange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replaced(life) {
		return false
	}
	if p.busy[life] == nil {
		p.busy[life] = make(map[*exchange]struct{})
	}
	p.busy[life][e] = struct{}{}
	return true
}

// leave takes back an exchange that enter has noted.
func (p *Pool) leave(life ids.TargetIncarnation, e *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy[life], e)
	if len(p.busy[life]) == 0 {
		delete(p.busy, life)
	}
}

// replaced reports whether a life is over; the lock is held.
func (p *Pool) replaced(life ids.TargetIncarnation) bool {
	return p.targets != nil && p.targets.Replaced(life)
}

// drained reports whether a target's failure domain is drained by the newest list.
func (p *Pool) drained(id ids.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targets == nil {
		return false
	}
	t := p.targets.Target(id)
	return t != nil && t.Drained
}

// Follow takes the newest list of targets: nothing more is sent to a former life of one. The list must come here
// before anything is placed by it.
func (p *Pool) SetDirectory(targets *routing.Directory) {
	var old []*connection
	p.mu.Lock()
	p.targets = targets
	for life, list := range p.idle {
		if p.replaced(life) {
			old = append(old, list...)
			delete(p.idle, life)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		discard(c)
	}
}

// BreakOff breaks off what was sent to a former life of a target: a VM that was cut off and came back resets no
// connection, so that callers would wait for answers that nobody works on. It is called once requests are placed by the list:
// what may be repeated is to find the new life.
func (p *Pool) AbortReplaced(*routing.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for life, exchanges := range p.busy {
		if !p.replaced(life) {
			continue
		}
		p.Metrics.Links.Add("exchanges_of_former_lives", int64(len(exchanges)))
		for e := range exchanges {
			e.cancel(ErrReplaced)
		}
	}
}

// take returns an idle connection to a target, or nil.
func (p *Pool) take(life ids.TargetIncarnation) *connection {
	now := p.Clock.Now()
	for {
		c := p.pop(life)
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

func (p *Pool) pop(life ids.TargetIncarnation) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[life]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[life] = list[:len(list)-1]
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

// Ended reports whether the process of a target has surely ended: another one is listed under its
// id, or its VM refuses connections. One that can't be asked in a short time counts as running.
func (p *Pool) Ended(ctx context.Context, t *routing.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout.Duration())
	defer cancel()
	return p.Probe(ctx, t) == Refused
}

// Reach is what asking a target for a connection shows.
type Reachability int

//go:generate stringer -type=Reachability -output=reach_string.go

// What it may show.
const (
	// Reachable: its VM takes connections. Where it can't be told, as when the question ends or this end lacks descriptors,
	// memory or ports, that counts as this.
	Reachable Reachability = iota
	// Refused: its process has ended: the VM refuses connections, or another life of the target is listed.
	Refused
	// Unreachable: nobody answers, which may be this end's fault.
	Unreachable
)

// Reach asks a target for a connection.
func (p *Pool) Probe(ctx context.Context, t *routing.Target) Reachability {
	p.mu.Lock()
	replaced := p.replaced(t.Incarnation())
	p.mu.Unlock()
	if replaced {
		return Refused
	}
	dialing, cancel := context.WithTimeout(ctx, answersTimeout.Duration())
	defer cancel()
	c, err := p.Network.Dial(dialing, t.Address)
	switch {
	case err == nil:
		_ = c.Close()
		return Reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case ctx.Err() == nil && isUnanswered(err):
		return Unreachable
	default:
		return Reachable
	}
}

// isUnanswered reports whether a connection failed by the silence of the other end, or for want of a way there.
func isUnanswered(err error) bool {
	var failed net.Error
	timedOut := errors.As(err, &failed) && failed.Timeout()
	return timedOut || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// rest keeps a connection for the next request to the same life of its target.
func (p *Pool) rest(life ids.TargetIncarnation, c *connection, keep clock.Millis) {
	c.goodUntil = p.Clock.Now() + keep
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replaced(life) {
		discard(c)
		return
	}
	p.idle[life] = append(p.idle[life], c)
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
	for life, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.goodUntil && known.Target(life.Target) != nil {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		clear(list[len(kept):])
		p.idle[life] = kept
		if len(kept) == 0 {
			delete(p.idle, life)
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
	p.idle = make(map[ids.TargetIncarnation][]*connection)
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			discard(c)
		}
	}
}
