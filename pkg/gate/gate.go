package gate

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
)

// Limits bound what a gate holds.
type Limits struct {
	// Slots is how many requests the target runs at once.
	Slots int
	// QueueTime bounds the queue: work that the target drains in this time.
	QueueTime clock.Millis
	// QueueMin is the work that may always wait, before a rate is measured.
	QueueMin ids.Tokens
	// GrantLife is the time in which a grant must be used.
	GrantLifetime clock.Millis
	// FloorHold is how long lower tiers stay refused after a tier was refused.
	FloorHold clock.Millis
	// Remember is how long the fate of a grant is kept after its end.
	FateRetention clock.Millis
}

// Notice is a later verdict for the session that placed the ticket.
type Notice struct {
	Session Session
	Verdict control.Verdict
}

// grantRecord is what the gate knows of one grant.
type grantRecord struct {
	grant    ids.Grant
	request  ids.Request
	turn     int // of the ticket
	session  Session
	work     ids.Tokens
	tier     ids.TierRank
	fate     control.Fate
	open     bool // may still be used
	running  bool
	deadline clock.Millis // of the grant while open
	begun    clock.Millis // of the dispatch
}

// Gate is the one way to a target. It is not safe for concurrent use; its
// agent guards it with a lock.
type Gate struct {
	agent    ids.Incarnation
	limits   Limits
	check    *invariant.Checker
	queue    *Queue
	services map[ids.Service]bool
	leaving  bool
	// restsUntil is until when the target wants no requests, by its own word.
	restsUntil clock.Millis

	sequence   uint64
	grants     map[ids.Grant]*grantRecord
	open       []*grantRecord // oldest first; closed ones are skipped
	forget     []forgetting   // oldest first
	dispatched map[ids.Request]ids.Grant
	openCount  int
	inside     []int // by tier: grants that are out or running
	runCount   int
	runWork    ids.Tokens

	shedUntil []clock.Millis // by tier: until when lower ones stay out
	drain     drainMeter
	unit      unitMeter
	notices   []Notice
}

type forgetting struct {
	grant ids.Grant
	at    clock.Millis
}

// New returns a gate without tickets.
func New(agent ids.Incarnation, limits Limits, check *invariant.Checker) *Gate {
	return &Gate{
		agent:      agent,
		limits:     limits,
		check:      check,
		queue:      NewQueue(),
		services:   make(map[ids.Service]bool),
		grants:     make(map[ids.Grant]*grantRecord),
		dispatched: make(map[ids.Request]ids.Grant),
	}
}

// SetServices says what the target serves from now on, and in how many slots.
// Tickets for other services are handed back.
func (g *Gate) SetServices(services []ids.Service, slots int) {
	g.limits.Slots = slots
	g.services = make(map[ids.Service]bool, len(services))
	for _, s := range services {
		g.services[s] = true
	}
	for _, w := range g.queue.all() {
		if !g.services[w.ticket.Service] {
			g.handBack(w, control.NotPlaced)
		}
	}
}

// Leave stops all new work. Tickets are handed back; grants that are out stay
// good until they expire.
func (g *Gate) Leave() {
	g.leaving = true
	for _, w := range g.queue.all() {
		g.handBack(w, control.Leaving)
	}
}

// Idle reports whether nothing runs and no grant is out.
func (g *Gate) Idle() bool {
	return g.runCount == 0 && g.openCount == 0
}

func (g *Gate) handBack(w *waiting, reason control.RefuseReason) {
	g.queue.remove(w)
	g.notify(w.session, control.Verdict{Request: w.ticket.Request, Turn: w.ticket.Turn, Kind: control.Declined, Reason: reason})
}

func (g *Gate) notify(session Session, verdict control.Verdict) {
	g.notices = append(g.notices, Notice{Session: session, Verdict: verdict})
}

// Notices takes the verdicts that have become known since the last call.
func (g *Gate) Notices() []Notice {
	taken := g.notices
	g.notices = nil
	return taken
}

// Place decides on a ticket.
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
	g.pump(now)
	return control.Verdict{Request: ticket.Request, Turn: ticket.Turn, Kind: control.Queued}
}

// supersede drops what an earlier ticket of the same request has left: its entry has given it up, though its word may still be
// on the way, or lost with a session whose end isn't noticed yet.
func (g *Gate) supersede(now clock.Millis, ticket *control.Ticket) {
	if w := g.queue.byID[ticket.Request]; w != nil && w.ticket.Turn < ticket.Turn {
		g.queue.remove(w)
	}
	if ticket.Turn > 1 {
		g.buryUpTo(now, ticket.Request, ticket.Turn-1)
	}
}

// Rest keeps the target from new dispatches for a while, as it has asked for that. Grants that are out stay good.
func (g *Gate) BackOff(now, left clock.Millis) {
	g.restsUntil = max(g.restsUntil, now+left)
}

// rest is how much longer the target wants no requests.
func (g *Gate) rest(now clock.Millis) clock.Millis {
	return max(0, g.restsUntil-now)
}

// free is how many more requests could be granted now.
func (g *Gate) free(now clock.Millis) int {
	if g.rest(now) > 0 {
		return 0
	}
	return g.limits.Slots - g.runCount - g.openCount
}

// pump grants while there is room.
func (g *Gate) pump(now clock.Millis) {
	for !g.leaving && g.free(now) > 0 {
		highest, waits := g.queue.highest()
		if !waits {
			return
		}
		w := g.queue.pop()
		g.check.That(w.ticket.Tier == highest, invariant.TierOrder,
			"granted tier %d while tier %d waits", w.ticket.Tier, highest)
		if now+g.unit.least(w.ticket.Work()) >= w.deadline {
			g.notify(w.session, control.Verdict{Request: w.ticket.Request, Turn: w.ticket.Turn, Kind: control.Declined, Reason: control.Late})
			continue
		}
		g.notify(w.session, g.grant(now, w.session, &w.ticket))
	}
}

// DropSession forgets the tickets of a session that has ended. Its grants stay
// good until they expire, since the entry may be using them.
func (g *Gate) DropSession(session Session) {
	for _, w := range g.queue.all() {
		if w.session == session {
			g.queue.remove(w)
		}
	}
}

// Tick closes grants that have expired, forgets old fates, and grants what
// room there is.
func (g *Gate) Tick(now clock.Millis) {
	for len(g.open) > 0 && (!g.open[0].open || now >= g.open[0].deadline) {
		if g.open[0].open {
			g.bury(now, g.open[0])
		}
		g.open[0] = nil
		g.open = g.open[1:]
	}
	for len(g.forget) > 0 && now >= g.forget[0].at {
		g.forgetGrant(g.forget[0].grant)
		g.forget = g.forget[1:]
	}
	g.pump(now)
}

// NextTick returns when only time changes something next, and whether it does: the oldest unused grant expires, or
// a rest is over for which tickets wait.
func (g *Gate) NextTick(now clock.Millis) (clock.Millis, bool) {
	next, waits := g.restsUntil, g.rest(now) > 0 && g.queue.Len() > 0
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

// Load describes the gate for replies.
func (g *Gate) Load(now clock.Millis) control.Load {
	return control.Load{
		Agent:          g.agent,
		Slots:          g.limits.Slots,
		Free:           max(0, g.free(now)-g.queue.Len()),
		Rest:           g.rest(now),
		Queued:         g.queue.workByTier(),
		Running:        g.runWork,
		Floor:          g.floorAt(now),
		DrainPerSecond: ids.Tokens(g.drain.perSecond),
		UnitMicros:     int64(g.unit.micros),
		Leaving:        g.leaving,
	}
}
