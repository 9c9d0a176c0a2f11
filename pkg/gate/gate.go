package gate

import (
	"math"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
)

// NoFloor is the shed floor of an agent that takes every tier.
const NoFloor = ids.TierRank(math.MaxInt32)

// Limits bound what a gate holds.
type Limits struct {
	// Slots is how many requests the target runs at once.
	Slots int
	// QueueTime bounds the queue: work that the target drains in this time.
	QueueTime clock.Millis
	// QueueMin is the work that may always wait, before a rate is measured.
	QueueMin ids.Tokens
	// GrantLife is the time in which a grant must be used.
	GrantLife clock.Millis
	// FloorHold is how long lower tiers stay refused after a tier was refused.
	FloorHold clock.Millis
	// Remember is how long the fate of a grant is kept after its end.
	Remember clock.Millis
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

	sequence   uint64
	grants     map[ids.Grant]*grantRecord
	open       []*grantRecord // oldest first; closed ones are skipped
	forget     []forgetting   // oldest first
	dispatched map[ids.Request]ids.Grant
	openCount  int
	inside     []int // by tier: grants that are out or running
	runCount   int
	runWork    ids.Tokens

	floor      ids.TierRank
	floorUntil clock.Millis
	drain      drainMeter
	unit       unitMeter
	notices    []Notice
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
		floor:      NoFloor,
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
	g.notify(w.session, control.Verdict{Request: w.ticket.Request, Kind: control.Declined, Reason: reason})
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
	if reason := g.refusal(now, &ticket); reason != control.NoReason {
		return control.Verdict{Request: ticket.Request, Kind: control.Declined, Reason: reason}
	}
	if g.queue.Len() == 0 && g.free() > 0 {
		return g.grant(now, session, &ticket)
	}
	g.queue.push(session, ticket, now+ticket.Remaining)
	g.evict(ticket.Tier)
	g.pump(now)
	return control.Verdict{Request: ticket.Request, Kind: control.Queued}
}

func (g *Gate) refusal(now clock.Millis, ticket *control.Ticket) control.RefuseReason {
	switch {
	case g.leaving:
		return control.Leaving
	case !g.services[ticket.Service]:
		return control.NotPlaced
	case ticket.Remaining <= 0:
		return control.Late
	case g.queue.Has(ticket.Request):
		return control.Replaced
	case g.floorAt(now).Higher(ticket.Tier):
		return control.Full
	}
	if g.unit.least(ticket.Work()) >= ticket.Remaining {
		return control.Late
	}
	if (g.full(ticket) || g.hopeless(ticket)) && !g.servesBelow(ticket.Tier) {
		g.raiseFloor(now, ticket.Tier)
		return control.Full
	}
	return control.NoReason
}

// full reports whether work of the ticket's tier and above fills the queue.
func (g *Gate) full(ticket *control.Ticket) bool {
	return g.queue.Len() > 0 && g.queue.WorkAtOrAbove(ticket.Tier)+ticket.Work() > g.queueLimit()
}

// hopeless reports whether the work that goes before the ticket takes longer
// than its deadline allows, even if nothing of a higher tier arrives any more.
func (g *Gate) hopeless(ticket *control.Ticket) bool {
	if g.drain.perSecond <= 0 || g.queue.Len() == 0 {
		return false
	}
	before := float64(g.queue.WorkAtOrAbove(ticket.Tier)) / g.drain.perSecond
	left := ticket.Remaining - g.unit.least(ticket.Work())
	return before*float64(clock.Second) > float64(left)
}

// servesBelow reports whether work below tier waits, is granted or runs. While
// it does, no ticket of tier is refused, even beyond the bound of the queue:
// what runs is not cut to make room, but it is not served in the place of a
// higher tier either.
func (g *Gate) servesBelow(tier ids.TierRank) bool {
	for i, n := range g.inside {
		if n > 0 && tier.Higher(ids.TierRank(i)) {
			return true
		}
	}
	lowest, waits := g.queue.lowestTier()
	return waits && tier.Higher(lowest)
}

func (g *Gate) enter(tier ids.TierRank) {
	for len(g.inside) <= int(tier) {
		g.inside = append(g.inside, 0)
	}
	g.inside[tier]++
}

// raiseFloor keeps lower tiers out for a while after a tier was refused, so
// that what was refused does not see lower work served in its place.
func (g *Gate) raiseFloor(now clock.Millis, tier ids.TierRank) {
	if tier.Higher(g.floorAt(now)) {
		g.floor = tier
	}
	g.floorUntil = now + g.limits.FloorHold
	for w := g.queue.lowest(); w != nil && tier.Higher(w.ticket.Tier); w = g.queue.lowest() {
		g.handBack(w, control.Full)
	}
}

func (g *Gate) floorAt(now clock.Millis) ids.TierRank {
	if now >= g.floorUntil {
		return NoFloor
	}
	return g.floor
}

func (g *Gate) queueLimit() ids.Tokens {
	measured := g.drain.perSecond * float64(g.limits.QueueTime) / float64(clock.Second)
	return max(g.limits.QueueMin, ids.Tokens(measured))
}

// evict hands back lower tiers until the queue is within its bound.
func (g *Gate) evict(tier ids.TierRank) {
	for g.queue.Work() > g.queueLimit() {
		w := g.queue.lowest()
		if w == nil || !tier.Higher(w.ticket.Tier) {
			return
		}
		g.handBack(w, control.Full)
	}
}

func (g *Gate) free() int {
	return g.limits.Slots - g.runCount - g.openCount
}

// pump grants while there is room.
func (g *Gate) pump(now clock.Millis) {
	for !g.leaving && g.free() > 0 {
		highest, waits := g.queue.highest()
		if !waits {
			return
		}
		w := g.queue.pop()
		g.check.That(w.ticket.Tier == highest, invariant.TierOrder,
			"granted tier %d while tier %d waits", w.ticket.Tier, highest)
		if now+g.unit.least(w.ticket.Work()) >= w.deadline {
			g.notify(w.session, control.Verdict{Request: w.ticket.Request, Kind: control.Declined, Reason: control.Late})
			continue
		}
		g.notify(w.session, g.grant(now, w.session, &w.ticket))
	}
}

func (g *Gate) grant(now clock.Millis, session Session, ticket *control.Ticket) control.Verdict {
	g.sequence++
	r := &grantRecord{
		grant:    ids.Grant{Agent: g.agent, Sequence: g.sequence},
		request:  ticket.Request,
		session:  session,
		work:     ticket.Work(),
		tier:     ticket.Tier,
		open:     true,
		deadline: now + g.limits.GrantLife,
	}
	g.grants[r.grant] = r
	g.open = append(g.open, r)
	g.openCount++
	g.enter(ticket.Tier)
	return control.Verdict{Request: ticket.Request, Kind: control.Granted, Grant: r.grant}
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
	g.forget = append(g.forget, forgetting{grant: r.grant, at: now + g.limits.Remember})
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

// Withdraw takes back the ticket of a request, or its unused grant.
func (g *Gate) Withdraw(now clock.Millis, session Session, request ids.Request) {
	if w := g.queue.byID[request]; w != nil && w.session == session {
		g.queue.remove(w)
		return
	}
	for _, r := range g.open {
		if r.open && r.request == request {
			g.bury(now, r)
		}
	}
	g.Tick(now)
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

func (g *Gate) forgetGrant(grant ids.Grant) {
	r := g.grants[grant]
	delete(g.grants, grant)
	if g.dispatched[r.request] == grant {
		delete(g.dispatched, r.request)
	}
}

// NextExpiry returns when the oldest unused grant expires, and whether there
// is one.
func (g *Gate) NextExpiry() (clock.Millis, bool) {
	for _, r := range g.open {
		if r.open {
			return r.deadline, true
		}
	}
	return 0, false
}

// Load describes the gate for replies.
func (g *Gate) Load(now clock.Millis) control.Load {
	return control.Load{
		Agent:          g.agent,
		Slots:          g.limits.Slots,
		Free:           max(0, g.free()-g.queue.Len()),
		Queued:         g.queue.workByTier(),
		Running:        g.runWork,
		Floor:          g.floorAt(now),
		DrainPerSecond: ids.Tokens(g.drain.perSecond),
		UnitMicros:     int64(g.unit.micros),
		Leaving:        g.leaving,
	}
}
