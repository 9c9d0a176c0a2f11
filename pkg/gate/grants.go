package gate

import (
	"math"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
)

// grant issues a grant for a ticket, which occupies a slot from now on.
func (g *Gate) grant(now clock.Millis, session Session, ticket *control.Ticket) control.Verdict {
	g.sequence++
	r := &grantState{
		grant:    ids.Grant{Agent: g.agent, Sequence: g.sequence},
		request:  ticket.Request,
		attempt:  ticket.Turn,
		session:  session,
		work:     ticket.Work(),
		tier:     ticket.Tier,
		open:     true,
		deadline: now + g.limits.GrantLifetime,
	}
	g.grants[r.grant] = r
	g.open = append(g.open, r)
	g.openCount++
	g.countActive(ticket.Tier)
	return control.Verdict{Request: ticket.Request, Turn: ticket.Turn, Kind: control.Granted, Grant: r.grant}
}

// Use turns a grant into a dispatch. It returns false if the grant may not be
// used: the request was not dispatched by it and never will be, unless it
// already was.
func (g *Gate) Use(now clock.Millis, grant ids.Grant, request ids.Request) bool {
	g.Tick(now)
	r := g.grants[grant]
	if r == nil || !r.open || r.request != request {
		return false
	}
	earlier, again := g.dispatched[request]
	g.check.Verify(!again, invariant.DispatchedOnce, "request %s was dispatched on grant %v before %v", request, earlier, grant)
	if again {
		return false
	}
	r.open = false
	r.running = true
	r.startedAt = now
	r.fate = control.FateDispatched
	g.dispatched[request] = grant
	g.openCount--
	g.runCount++
	g.runWork += r.work
	g.drain.started(now)
	return true
}

// Finish frees the slot of a dispatched grant. reached is false if the request
// was not sent to the target; the grant outcome then says that it was never dispatched.
func (g *Gate) Finish(now clock.Millis, grant ids.Grant, reached bool) {
	r := g.grants[grant]
	if r == nil || !r.running {
		return
	}
	r.running = false
	g.runCount--
	g.activeByTier[r.tier]--
	g.runWork -= r.work
	if reached {
		g.drain.finished(now, r.work, g.runCount == 0)
		g.unit.learn(now-r.startedAt, r.work)
	} else {
		r.fate = control.FateNever
		delete(g.dispatched, r.request)
	}
	g.scheduleForget(now, r)
	g.Tick(now)
}

// scheduleForget has the outcome of a grant that ends now dropped after the retention time.
func (g *Gate) scheduleForget(now clock.Millis, r *grantState) {
	g.fateExpiries = append(g.fateExpiries, fateExpiry{grant: r.grant, at: now + g.limits.FateRetention})
}

// closeUnused closes an unused grant for good: it leaves a tombstone and frees the slot. The grant stays in g.open,
// from which Tick removes it later.
func (g *Gate) closeUnused(now clock.Millis, r *grantState) {
	r.open = false
	r.fate = control.FateNever
	g.openCount--
	g.activeByTier[r.tier]--
	g.scheduleForget(now, r)
}

// Fate returns the outcome of a grant, after closing it if it is unused. It returns control.FateUnknown if the outcome
// is no longer kept or the grant is of another request.
func (g *Gate) Fate(now clock.Millis, grant ids.Grant, request ids.Request) control.Fate {
	r := g.grants[grant]
	if r == nil || r.request != request {
		return control.FateUnknown
	}
	if r.open {
		g.closeUnused(now, r)
		g.Tick(now)
	}
	return r.fate
}

// Withdraw takes back all tickets of a request, and its unused grants.
func (g *Gate) Withdraw(now clock.Millis, session Session, request ids.Request) {
	g.WithdrawUpTo(now, session, request, math.MaxInt)
}

// WithdrawUpTo takes back the tickets of a request up to an attempt number, and unused grants for them. Later attempts
// are kept, since messages of a session may overtake one another, and so are queued tickets of other sessions.
func (g *Gate) WithdrawUpTo(now clock.Millis, session Session, request ids.Request, attempt int) {
	if w := g.queue.byRequest[request]; w != nil && w.session == session && w.ticket.Turn <= attempt {
		g.queue.remove(w)
		return // supersede has closed the grants of earlier attempts
	}
	g.closeUnusedUpTo(now, request, attempt)
	g.Tick(now)
}

// closeUnusedUpTo closes the unused grants of a request for tickets up to an attempt number. They stay in g.open, so
// that the range over it is not disturbed.
func (g *Gate) closeUnusedUpTo(now clock.Millis, request ids.Request, attempt int) {
	for _, r := range g.open {
		if r.open && r.request == request && r.attempt <= attempt {
			g.closeUnused(now, r)
		}
	}
}

// forgetGrant drops the outcome of an ended grant, and with it the record that its request was dispatched on it.
func (g *Gate) forgetGrant(grant ids.Grant) {
	r := g.grants[grant]
	delete(g.grants, grant)
	if g.dispatched[r.request] == grant {
		delete(g.dispatched, r.request)
	}
}
