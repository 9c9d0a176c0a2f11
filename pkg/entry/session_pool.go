package entry

import (
	"context"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
)

// sessionPool keeps one session for each declared target.
type sessionPool struct {
	common.Common
	ctx            context.Context // ends all sessions
	dialTimeout    clock.Millis
	reportInterval clock.Millis // see session

	mu       sync.RWMutex
	sessions map[ids.Target]*pooledSession // of declared targets; retired sessions are not in it
	done     sync.WaitGroup                // counts running sessions, also retired ones
}

// pooledSession is a running session and the function that stops it.
type pooledSession struct {
	session *session
	stop    context.CancelFunc
}

func newSessionPool(ctx context.Context, c common.Common, dialTimeout clock.Millis) *sessionPool {
	return &sessionPool{Common: c, ctx: ctx, dialTimeout: dialTimeout, sessions: make(map[ids.Target]*pooledSession)}
}

// apply starts sessions for new targets. Sessions of targets that are no longer declared or whose addresses have
// changed end with their last answer.
func (p *sessionPool) apply(index *declaration.Index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pooled := range p.sessions {
		t := index.Target(name)
		if t == nil || t.AgentControl != pooled.session.controlAt || t.AgentData != pooled.session.dataAt {
			pooled.session.retire(pooled.stop)
			delete(p.sessions, name)
		}
	}
	targets := index.Targets()
	for i := range targets {
		if p.sessions[targets[i].Name] == nil {
			p.startSession(&targets[i])
		}
	}
}

// startSession starts the session with a target's agent. The lock must be held.
func (p *sessionPool) startSession(t *declaration.Target) {
	ctx, stop := context.WithCancel(p.ctx)
	s := newSession(p.Common, t.Name, t.AgentControl, t.AgentData, p.dialTimeout)
	s.reportInterval = p.reportInterval
	p.sessions[t.Name] = &pooledSession{session: s, stop: stop}
	p.done.Go(func() { s.run(ctx) })
}

// serving lists the sessions of the targets that serve a service.
func (p *sessionPool) serving(index *declaration.Index, service ids.Service) []*session {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var list []*session
	for _, t := range index.Serving(service) {
		if pooled := p.sessions[t.Name]; pooled != nil {
			list = append(list, pooled.session)
		}
	}
	return list
}

// stopped reports whether the sessions have been told to end. A grant that arrives from then on must not be used.
func (p *sessionPool) stopped() bool {
	return p.ctx.Err() != nil
}

// wait returns when all sessions have ended. They end with the pool's context.
func (p *sessionPool) wait() {
	p.done.Wait()
}
