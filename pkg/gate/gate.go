package gate

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
)

// Limits are the limits of a gate's queue and grants.
type Limits struct {
	// Slots is how many requests the target runs at once.
	Slots int
	// QueueTime limits the queue to the work that the target drains in this time.
	QueueTime clock.Millis
	// QueueMin is the work that may always wait, also before a drain rate is measured.
	QueueMin ids.Tokens
	// GrantLifetime is the time within which a grant must be used.
	GrantLifetime clock.Millis
	// FloorHold is how long lower tiers are refused after a tier was refused.
	FloorHold clock.Millis
	// FateRetention is how long a grant outcome is kept after the grant's end.
	FateRetention clock.Millis
}

// Notice is the later verdict on a ticket that Place queued, for the session that placed it.
type Notice struct {
	Session Session
	Verdict control.Verdict
}

// grantState is the state of one grant.
type grantState struct {
	grant     ids.Grant
	request   ids.Request
	attempt   int // attempt number of the ticket
	session   Session
	work      ids.Tokens // of the ticket
	tier      ids.TierRank
	fate      control.Fate // FateUnknown while open
	open      bool         // may still be used
	running   bool         // dispatched, and Finish has not been called
	deadline  clock.Millis // for using the grant while it is open
	startedAt clock.Millis // when the request was dispatched
}

// Gate admits requests to one target; every dispatch goes through it. It is not safe for concurrent use: its
// agent guards it with a lock.
type Gate struct {
	agent    ids.Incarnation // of the gate's agent; part of each grant
	limits   Limits
	check    *invariant.Checker
	queue    *Queue
	services map[ids.Service]bool // that the target runs; tickets for others are declined
	leaving  bool                 // no ticket is accepted any more
	// backoffUntil is the end of the back-off that the target asked for.
	backoffUntil clock.Millis

	sequence     uint64                    // number of the newest grant
	grants       map[ids.Grant]*grantState // open, running, or ended with an outcome that is still kept
	open         []*grantState             // oldest first; closed ones are skipped
	fateExpiries []fateExpiry              // oldest first
	dispatched   map[ids.Request]ids.Grant // until the outcome of the grant is dropped
	openCount    int                       // how many grants are open
	activeByTier []int                     // by tier: grants that are open or running
	runCount     int                       // how many requests run
	runWork      ids.Tokens                // their work

	floorUntil []clock.Millis // by tier: until when lower tiers are refused
	drain      drainMeter
	unit       unitMeter
	notices    []Notice // since the last call of TakeNotices
}

// fateExpiry is the time at which the outcome of an ended grant is dropped.
type fateExpiry struct {
	grant ids.Grant
	at    clock.Millis
}

// New returns a gate without tickets. It grants none before SetServices has been called.
func New(agent ids.Incarnation, limits Limits, check *invariant.Checker) *Gate {
	return &Gate{
		agent:      agent,
		limits:     limits,
		check:      check,
		queue:      NewQueue(),
		services:   make(map[ids.Service]bool),
		grants:     make(map[ids.Grant]*grantState),
		dispatched: make(map[ids.Request]ids.Grant),
	}
}

// SetServices sets the services that the target runs from now on, and its number of slots.
// Tickets for other services are declined.
func (g *Gate) SetServices(services []ids.Service, slots int) {
	g.limits.Slots = slots
	g.services = make(map[ids.Service]bool, len(services))
	for _, s := range services {
		g.services[s] = true
	}
	for _, w := range g.queue.all() { // a copy
		if !g.services[w.ticket.Service] {
			g.declineQueued(w, control.NotPlaced)
		}
	}
}

// StopAdmission stops all new work. Queued tickets are declined; open grants stay valid until they expire.
func (g *Gate) StopAdmission() {
	g.leaving = true
	for _, w := range g.queue.all() { // a copy
		g.declineQueued(w, control.Leaving)
	}
}

// Idle reports whether nothing runs and no grant is open.
func (g *Gate) Idle() bool {
	return g.runCount == 0 && g.openCount == 0
}

// declineQueued removes a ticket from the queue and has its session notified.
func (g *Gate) declineQueued(w *queuedTicket, reason control.RefuseReason) {
	g.queue.remove(w)
	g.notify(w.session, control.Verdict{Request: w.ticket.Request, Turn: w.ticket.Turn, Kind: control.Declined, Reason: reason})
}

// notify stores a verdict for the next call of TakeNotices.
func (g *Gate) notify(session Session, verdict control.Verdict) {
	g.notices = append(g.notices, Notice{Session: session, Verdict: verdict})
}

// TakeNotices returns and clears the verdicts that have become known since the last call.
func (g *Gate) TakeNotices() []Notice {
	taken := g.notices
	g.notices = nil
	return taken
}

// Place decides on a ticket: it is declined, granted if a slot is free and no other ticket waits, or else queued. A
// queued ticket's later verdict is among those that TakeNotices returns, possibly at once.
func (g *Gate) Place(now clock.Millis, session Session, ticket control.Ticket) control.Verdict {
	g.supersede(now, &ticket)
	if reason := g.refusal(now, &ticket); reason != control.NoReason {
		return control.Verdict{Request: ticket.Request, Turn: ticket.Turn, Kind: control.Declined, Reason: reason}
	}
	if g.queue.Len() == 0 && g.free(now) > 0 {
		return g.grant(now, session, &ticket)
	}
	g.queue.push(session, ticket, now+ticket.Remaining)
	g.evict(now, ticket.Tier)
	g.grantQueued(now)
	return control.Verdict{Request: ticket.Request, Turn: ticket.Turn, Kind: control.Queued}
}

// supersede drops what an earlier ticket of the same request has left. Its entry has given that ticket up, though the
// withdrawal may still be under way, or lost with a session whose end has not been noticed yet.
func (g *Gate) supersede(now clock.Millis, ticket *control.Ticket) {
	if w := g.queue.byRequest[ticket.Request]; w != nil && w.ticket.Turn < ticket.Turn {
		g.queue.remove(w)
	}
	if ticket.Turn > 1 {
		g.closeUnusedUpTo(now, ticket.Request, ticket.Turn-1)
	}
}

// BackOff stops new dispatches to the target for a time that the target asked for. Open grants stay valid.
func (g *Gate) BackOff(now, left clock.Millis) {
	g.backoffUntil = max(g.backoffUntil, now+left)
}

// backoffLeft is how much longer the target wants no requests.
func (g *Gate) backoffLeft(now clock.Millis) clock.Millis {
	return max(0, g.backoffUntil-now)
}

// free is how many more requests could be granted now: 0 during a back-off, and below 0 if the slots were reduced to
// fewer than are in use.
func (g *Gate) free(now clock.Millis) int {
	if g.backoffLeft(now) > 0 {
		return 0
	}
	return g.limits.Slots - g.runCount - g.openCount
}

// grantQueued grants queued tickets while slots are free. It declines those that cannot be answered in time any more.
func (g *Gate) grantQueued(now clock.Millis) {
	for !g.leaving && g.free(now) > 0 {
		highest, waits := g.queue.highest()
		if !waits {
			return
		}
		w := g.queue.pop()
		g.check.Verify(w.ticket.Tier == highest, invariant.TierOrder,
			"granted tier %d while tier %d waits", w.ticket.Tier, highest)
		if now+g.unit.minRunTime(w.ticket.Work()) >= w.deadline {
			g.notify(w.session, control.Verdict{Request: w.ticket.Request, Turn: w.ticket.Turn, Kind: control.Declined, Reason: control.Late})
			continue
		}
		g.notify(w.session, g.grant(now, w.session, &w.ticket))
	}
}

// DropSession drops the tickets of a session that has ended. Its grants stay
// valid until they expire, since the entry may be using them.
func (g *Gate) DropSession(session Session) {
	for _, w := range g.queue.all() { // a copy
		if w.session == session {
			g.queue.remove(w)
		}
	}
}

// Tick closes expired grants, drops old grant outcomes, and grants queued tickets while slots are free.
func (g *Gate) Tick(now clock.Millis) {
	for len(g.open) > 0 && (!g.open[0].open || now >= g.open[0].deadline) {
		if g.open[0].open {
			g.closeUnused(now, g.open[0])
		}
		g.open[0] = nil
		g.open = g.open[1:]
	}
	for len(g.fateExpiries) > 0 && now >= g.fateExpiries[0].at {
		g.forgetGrant(g.fateExpiries[0].grant)
		g.fateExpiries = g.fateExpiries[1:]
	}
	g.grantQueued(now)
}

// NextTick returns the next time at which Tick has something to do without another call, and whether there is one: when
// the oldest open grant expires, or when a back-off ends for which tickets wait.
func (g *Gate) NextTick(now clock.Millis) (clock.Millis, bool) {
	next, waits := g.backoffUntil, g.backoffLeft(now) > 0 && g.queue.Len() > 0
	for _, r := range g.open {
		if !r.open {
			continue
		}
		if !waits || r.deadline < next {
			next = r.deadline
		}
		return next, true
	}
	return next, waits
}

// Load describes the gate for replies to entries.
func (g *Gate) Load(now clock.Millis) control.Load {
	return control.Load{
		Agent:          g.agent,
		Slots:          g.limits.Slots,
		Free:           max(0, g.free(now)-g.queue.Len()),
		Rest:           g.backoffLeft(now),
		Queued:         g.queue.workByTier(),
		Running:        g.runWork,
		Floor:          g.floorAt(now),
		DrainPerSecond: ids.Tokens(g.drain.perSecond),
		UnitMicros:     int64(g.unit.micros),
		Leaving:        g.leaving,
	}
}
