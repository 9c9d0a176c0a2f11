// Package forward sends a request to a target and receives its answer, in one hop. It distinguishes requests that
// certainly did not run from those that may have run, and relies on no byte of a target beyond the answer's own
// framing and request id.
package forward

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"

	"quaydock/pkg/advisory"
	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
	"quaydock/pkg/telemetry"
)

// Pool keeps connections to targets, and tracks the exchanges on them.
type Pool struct {
	common.Common
	readMetadata func(header map[string][]string) AnswerMetadata
	questionFor  func(*routing.Target) *Request
	advice       *advisory.Tracker // nil if the advice of targets is ignored
	account      *buffers.Account  // of what is held of answers that can't be passed on yet
	sampler      *telemetry.Sampler

	mu   sync.Mutex
	idle map[ids.TargetIncarnation][]*connection          // the last used one at the end
	busy map[ids.TargetIncarnation]map[*exchange]struct{} // exchanges that have not ended
	// questions are those that wait to be sent, by target. There is a nil one while the target is being asked.
	questions map[ids.TargetIncarnation]*question
	// targets is the newest target list, nil before the first.
	targets *routing.Directory
}

// ErrReplaced means that the target has started again: the exchange belongs to its former incarnation.
var ErrReplaced = errors.New("the target has started again")

// NewPool is NewPoolWithin with an account of its own, for a VM whose memory is not known.
func NewPool(c common.Common, readMetadata func(header map[string][]string) AnswerMetadata, questionFor func(*routing.Target) *Request, advice *advisory.Tracker) *Pool {
	return NewPoolWithin(c, readMetadata, questionFor, advice, buffers.NewAccount(buffers.LimitsFor(0)))
}

// NewPoolWithin returns a pool without connections. The function readMetadata reads the head of an answer; what it
// contains about the target is passed to the advice tracker. The function questionFor returns the request that any process
// at a target's address answers with its id, whatever it is asked to run, or nil if there is none. What is held of answers
// is counted in the account.
func NewPoolWithin(c common.Common, readMetadata func(header map[string][]string) AnswerMetadata, questionFor func(*routing.Target) *Request, advice *advisory.Tracker, account *buffers.Account) *Pool {
	return &Pool{
		Common: c, readMetadata: readMetadata, questionFor: questionFor, advice: advice, account: account,
		sampler: telemetry.NewSampler(c.Clock, c.Log, logLinesPerSecond),
		idle:    make(map[ids.TargetIncarnation][]*connection), busy: make(map[ids.TargetIncarnation]map[*exchange]struct{}),
		questions: make(map[ids.TargetIncarnation]*question),
	}
}

// logLinesPerSecond limits the log lines of each kind.
const logLinesPerSecond = 20

// register adds an exchange, so that it is aborted once its target has started again. It returns false if that has
// happened already.
func (p *Pool) register(incarnation ids.TargetIncarnation, e *exchange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replaced(incarnation) {
		return false
	}
	if p.busy[incarnation] == nil {
		p.busy[incarnation] = make(map[*exchange]struct{})
	}
	p.busy[incarnation][e] = struct{}{}
	return true
}

// unregister removes an exchange that register has added.
func (p *Pool) unregister(incarnation ids.TargetIncarnation, e *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy[incarnation], e)
	if len(p.busy[incarnation]) == 0 {
		delete(p.busy, incarnation)
	}
}

// replaced reports whether an incarnation has ended. The lock must be held.
func (p *Pool) replaced(incarnation ids.TargetIncarnation) bool {
	return p.targets != nil && p.targets.Replaced(incarnation)
}

// isReplaced is replaced without the lock.
func (p *Pool) isReplaced(t *routing.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replaced(t.Incarnation())
}

// drained reports whether a target's failure domain is drained by the newest target list.
func (p *Pool) drained(id ids.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targets == nil {
		return false
	}
	t := p.targets.Target(id)
	return t != nil && t.Drained
}

// SetDirectory puts the newest target list into force: nothing more is sent to a former incarnation of a target.
// The list must be set here before requests are assigned by it.
func (p *Pool) SetDirectory(targets *routing.Directory) {
	var old []*connection
	p.mu.Lock()
	p.targets = targets
	for incarnation, list := range p.idle {
		if p.replaced(incarnation) {
			old = append(old, list...)
			delete(p.idle, incarnation)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		discard(c)
	}
}

// AbortReplaced aborts the exchanges with former incarnations of targets: a VM that returns after a partition
// resets no connection, so callers would wait for answers that nobody works on. It must be called after requests
// are assigned by the new list, so that requests which may be repeated find the new incarnation. The argument, which
// observers of the target list get, is ignored: the list that SetDirectory has stored counts.
func (p *Pool) AbortReplaced(*routing.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, exchanges := range p.busy {
		if !p.replaced(incarnation) {
			continue
		}
		p.Metrics.Links.Add("exchanges_of_former_lives", int64(len(exchanges)))
		for e := range exchanges {
			e.cancel(ErrReplaced)
		}
	}
}

// takeIdle returns a usable idle connection to a target for an exchange with a request id, or nil. The latest exchange on it
// had another id, so that a second answer to that is not taken for the answer to this one.
func (p *Pool) takeIdle(incarnation ids.TargetIncarnation, request string) *connection {
	now := p.Clock.Now()
	for {
		c := p.pop(incarnation, request)
		if c == nil {
			return nil
		}
		if now < c.reuseUntil && c.usable() {
			c.reused = true
			return c
		}
		discard(c)
	}
}

// pop removes and returns the idle connection to a target that was used last, but not for the given request, or returns nil.
func (p *Pool) pop(incarnation ids.TargetIncarnation, request string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[incarnation]
	for i, c := range slices.Backward(list) {
		if c.latest != request {
			p.idle[incarnation] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// dial makes a connection to a target within dialTimeout.
func (p *Pool) dial(ctx context.Context, t *routing.Target) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	c, err := p.Network.Dial(ctx, t.Address)
	if err != nil {
		return nil, err
	}
	p.Metrics.Links.Add("target_connections", 1)
	network.LimitReceiveBuffer(c)
	return newConnection(c), nil
}

// Ended reports whether the process of a target has certainly ended: another one is listed under its id, or its VM
// refuses connections. A target that does not answer within endedTimeout counts as running.
func (p *Pool) Ended(ctx context.Context, t *routing.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout.Duration())
	defer cancel()
	return p.Probe(ctx, t) == Refused
}

// Reachability is the result of a connection attempt to a target.
type Reachability int

//go:generate stringer -type=Reachability -output=reach_string.go

// The results.
const (
	// Reachable: the VM accepts connections. This is also the result if it cannot be determined, as when ctx ends
	// or this end lacks descriptors, memory or ports.
	Reachable Reachability = iota
	// Refused: the process has ended. The VM refuses connections, or another incarnation of the target is listed.
	Refused
	// Unreachable: the VM does not answer, which may be a fault at this end.
	Unreachable
)

// Probe makes a connection to a target and closes it. It takes no longer than reachTimeout.
func (p *Pool) Probe(ctx context.Context, t *routing.Target) Reachability {
	if p.isReplaced(t) {
		return Refused
	}
	dialCtx, cancel := context.WithTimeout(ctx, reachTimeout.Duration())
	defer cancel()
	c, err := p.Network.Dial(dialCtx, t.Address)
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

// isUnanswered reports whether a connection failed because the other end did not answer, or because there is no
// route to it.
func isUnanswered(err error) bool {
	var failed net.Error
	timedOut := errors.As(err, &failed) && failed.Timeout()
	return timedOut || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// keepIdle keeps a connection for the next request to the same incarnation of its target.
func (p *Pool) keepIdle(incarnation ids.TargetIncarnation, c *connection, keep clock.Millis) {
	c.reuseUntil = p.Clock.Now() + keep
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replaced(incarnation) {
		discard(c)
		return
	}
	p.idle[incarnation] = append(p.idle[incarnation], c)
}

// discard closes a connection that is not used again and ignores errors.
func discard(c *connection) {
	_ = c.Close()
}

// Prune closes the idle connections that are too old or whose targets are not listed in known.
func (p *Pool) Prune(known *routing.Directory) {
	now := p.Clock.Now()
	var old []*connection
	p.mu.Lock()
	for incarnation, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.reuseUntil && known.Target(incarnation.Target) != nil {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		clear(list[len(kept):])
		p.idle[incarnation] = kept
		if len(kept) == 0 {
			delete(p.idle, incarnation)
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
