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
	ctx         context.Context
	dialTimeout clock.Millis
	reports     clock.Millis // see session

	mu       sync.RWMutex
	sessions map[ids.Target]*pooled
	done     sync.WaitGroup
}

type pooled struct {
	session *session
	stop    context.CancelFunc
}

func newSessionPool(ctx context.Context, c common.Common, dialTimeout clock.Millis) *sessionPool {
	return &sessionPool{Common: c, ctx: ctx, dialTimeout: dialTimeout, sessions: make(map[ids.Target]*pooled)}
}

// apply starts sessions for new targets and has those of targets that are no
// longer declared or have moved end with their last answer.
func (p *sessionPool) apply(book *declaration.Index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, kept := range p.sessions {
		t := book.Target(name)
		if t == nil || t.AgentControl != kept.session.controlAt || t.AgentData != kept.session.dataAt {
			kept.session.retire(kept.stop)
			delete(p.sessions, name)
		}
	}
	targets := book.Targets()
	for i := range targets {
		if p.sessions[targets[i].Name] == nil {
			p.start(&targets[i])
		}
	}
}

func (p *sessionPool) start(t *declaration.Target) {
	ctx, stop := context.WithCancel(p.ctx)
	s := newSession(p.Common, t.Name, t.AgentControl, t.AgentData, p.dialTimeout)
	s.reports = p.reports
	p.sessions[t.Name] = &pooled{session: s, stop: stop}
	p.done.Go(func() { s.run(ctx) })
}

// serving lists the sessions of the targets that serve a service.
func (p *sessionPool) serving(book *declaration.Index, service ids.Service) []*session {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var list []*session
	for _, t := range book.Serving(service) {
		if kept := p.sessions[t.Name]; kept != nil {
			list = append(list, kept.session)
		}
	}
	return list
}

// wait returns when all sessions have ended; the pool's context ends them.
func (p *sessionPool) wait() {
	p.done.Wait()
}
