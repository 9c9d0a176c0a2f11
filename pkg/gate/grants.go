package gate

import (
	"math"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
)

func (g *Gate) grant(now clock.Millis, session Session, ticket *control.Ticket) control.Verdict {
	g.sequence++
	r := &grantRecord{
		grant:    ids.Grant{Agent: g.agent, Sequence: g.sequence},
		request:  ticket.Request,
		turn:     ticket.Turn,
		session:  session,
		work:     ticket.Work(),
		tier:     ticket.Tier,
		open:     true,
		deadline: now + g.limits.GrantLifetime,
	}
	g.grants[r.grant] = r
	g.open = append(g.open, r)
	g.openCount++
	g.enter(ticket.Tier)
	return control.Verdict{Request: ticket.Request, Turn: ticket.Turn, Kind: control.Granted, Grant: r.grant}
}

// Use turns a grant into a dispatch. It reports false if the grant may not be
// used: the request was not dispatched by it and never will be, unless it
// already was.
func (g *Gate) Use(now clock.Millis, grant ids.Grant, request ids.Request) bool {
	g.Tick(now)
	r := g.grants[grant]
	if r == nil || !r.open || r.request != request {
		return false
	}
	earlier, again := g.dispatched[request]
	g.check.That(!again, invariant.DispatchedOnce, "request %s was dispatched on grant %v before %v", request, earlier, grant)
	if again {
		return false
	}
	r.open = false
	r.running = true
	r.begun = now
	r.fate = control.FateDispatched
	g.dispatched[request] = grant
	g.openCount--
	g.runCount++
	g.runWork += r.work
	g.drain.started(now)
	return true
}

// Finish frees the room of a dispatched grant. Reached is false if the request
// was not sent to the target after all; the record then says so.
func (g *Gate) Finish(now clock.Millis, grant ids.Grant, reached bool) {
	r := g.grants[grant]
	if r == nil || !r.running {
		return
	}
	r.running = false
	g.runCount--
	g.inside[r.tier]--
	g.runWork -= r.work
	if reached {
		g.drain.finished(now, r.work, g.runCount == 0)
		g.unit.learn(now-r.begun, r.work)
	} else {
		r.fate = control.FateNever
		delete(g.dispatched, r.request)
	}
	g.retire(now, r)
	g.Tick(now)
}

func (g *Gate) retire(now clock.Millis, r *grantRecord) {
	g.forget = append(g.forget, forgetting{grant: r.grant, at: now + g.limits.FateRetention})
}

// bury closes an unused grant for good.
func (g *Gate) bury(now clock.Millis, r *grantRecord) {
	r.open = false
	r.fate = control.FateNever
	g.openCount--
	g.inside[r.tier]--
	g.retire(now, r)
}

// Fate says what became of a grant, after closing it if it was unused.
func (g *Gate) Fate(now clock.Millis, grant ids.Grant, request ids.Request) control.Fate {
	r := g.grants[grant]
	if r == nil || r.request != request {
		return control.FateUnknown
	}
	if r.open {
		g.bury(now, r)
		g.Tick(now)
	}
	return r.fate
}

// Withdraw takes back all tickets of a request, and its unused grants.
func (g *Gate) Withdraw(now clock.Millis, session Session, request ids.Request) {
	g.WithdrawUpTo(now, session, request, math.MaxInt)
}

// WithdrawTurn takes back the tickets of a request up to a turn, and unused grants for them. It spares what was placed since:
// messages of a session may pass one another.
func (g *Gate) WithdrawUpTo(now clock.Millis, session Session, request ids.Request, turn int) {
	if w := g.queue.byID[request]; w != nil && w.session == session && w.ticket.Turn <= turn {
		g.queue.remove(w)
		return
	}
	g.buryUpTo(now, request, turn)
	g.Tick(now)
}

// buryUpTo closes the unused grants of a request for tickets up to a turn.
func (g *Gate) buryUpTo(now clock.Millis, request ids.Request, turn int) {
	for _, r := range g.open {
		if r.open && r.request == request && r.turn <= turn {
			g.bury(now, r)
		}
	}
}

func (g *Gate) forgetGrant(grant ids.Grant) {
	r := g.grants[grant]
	delete(g.grants, grant)
	if g.dispatched[r.request] == grant {
		delete(g.dispatched, r.request)
	}
}
