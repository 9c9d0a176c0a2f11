package dispatch

import (
	"context"
	"net/netip"
	"slices"
	gosync "sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/planner"
	"quaydock/pkg/rollout"
	"quaydock/pkg/routing"
	"quaydock/pkg/telemetry"
	"quaydock/pkg/view"
)

const (
	// tickEvery is how often planners look after what only time changes.
	tickEvery = 25 * clock.Millisecond
	// silentAfter is after what silence an entry's requests are forgotten.
	silentAfter = 1500 * clock.Millisecond
	// linesASecond bounds the log lines of each kind.
	linesASecond = 20
)

// hosted is the planner of one group of targets.
type hosted struct {
	planner   *planner.Planner
	directory *routing.Directory
	heard     map[string]clock.Millis // entries
	reported  clock.Millis
	trial     *rollout.Trial // of a version, if there is an order
	planned   rollout.Plan   // what it last wanted
	closed    bool           // a version has taken over, but does not get all requests yet
	beganAt   clock.Millis
	writer    recordWriter
}

// Home runs the planners that this entry is in charge of.
type Owner struct {
	common.Common
	view    *view.View
	members *membership.Members
	// send hands an answer to an entry, this one included.
	send func(to netip.AddrPort, a answer)

	// id tells what this home writes from what others do.
	id       uint64
	memory   *memory
	rollouts *Rollouts // nil if they are no part of the deployment
	// coldBounds are those in force.
	coldBounds func() planner.ColdBounds

	sampler *telemetry.Sampler
	// stalls are those of this process, whoever is the home.
	stalls clock.Stalls

	mu     gosync.Mutex
	groups map[ids.Service]*hosted
	// readNotes has the store read when the first group begins: most entries never are
	// the home of one.
	readNotes gosync.Once
}

func newHome(c common.Common, parts Dependencies, send func(netip.AddrPort, answer)) *Owner {
	return &Owner{
		Common: c, view: parts.View, members: parts.Members, memory: newMemory(c, parts.Members, parts.Link, parts.Estimates),
		rollouts: parts.Rollouts, coldBounds: parts.ColdBounds, id: c.Random.Fork().Uint64(), send: send, sampler: telemetry.NewSampler(c.Clock, c.Log, linesASecond), groups: make(map[ids.Service]*hosted),
	}
}

func matter(service ids.Service) string {
	return "targets/" + string(service)
}

// group returns the planner of a service, brought up to date, or nil if
// another entry is in charge of it. The lock is held.
func (h *Owner) group(now clock.Millis, service ids.Service, from netip.AddrPort) *hosted {
	g := h.planning(now, service)
	if g != nil {
		g.heard[from.String()] = now
	}
	return g
}

// planning is group without a message of an entry; the lock is held.
func (h *Owner) planning(now clock.Millis, service ids.Service) *hosted {
	directory := h.view.Directory()
	if _, self := h.members.HeavyOwner(matter(service)); !self || directory == nil {
		return nil
	}
	g := h.groups[service]
	if g == nil {
		g = &hosted{planner: planner.New(h.Random.Fork()), heard: make(map[string]clock.Millis), beganAt: now}
		g.planner.Disable(h.Ablation)
		h.groups[service] = g
		h.bound(now, g, service)
		h.Log.WithField("service", string(service)).Info("planning for a service")
	}
	h.refresh(now, g, service, directory)
	return g
}

// refresh brings a planner up to the list of targets; the lock is held.
func (h *Owner) refresh(now clock.Millis, g *hosted, service ids.Service, directory *routing.Directory) {
	closed := h.closed(now, service)
	if g.directory == directory && g.closed == closed {
		return
	}
	g.directory, g.closed = directory, closed
	targets := slices.Concat(directory.Serving(service), directory.OnTrial(service))
	if closed {
		targets = onTrial(targets)
	}
	g.planner.SetTargets(now, targets)
	h.adopt(g, service)
}

// bound says what cold and limited targets of a service may get from here; the lock is held. An entry that was cut off may go
// on as the home until it has missed this one for as long as it takes anybody for alive.
func (h *Owner) bound(now clock.Millis, g *hosted, service ids.Service) {
	s := h.view.Catalog().Service(service)
	bearsFewCold := s != nil && s.ColdPerSecond > 0
	perSecond := 0.0
	if bearsFewCold || g.planner.Limited() { // else nothing is given out by parts
		backing := planner.Agreement{Fraction: h.members.Agreement(), JustStarted: now < g.beganAt+2*h.members.SilenceLimit()}
		g.planner.SetAgreement(backing)
		if bearsFewCold {
			perSecond = h.coldBounds().Rate(s, backing)
		}
	}
	g.planner.SetColdLimit(s, perSecond)
}

// run looks after the planners until ctx ends.
func (h *Owner) run(ctx context.Context) {
	var told clock.Millis
	for ctx.Err() == nil {
		due := h.Clock.Now() + tickEvery
		h.stalls.Expect(due)
		clock.Pause(ctx, tickEvery)
		now := h.Clock.Now()
		h.stalls.Fired(now)
		h.members.RecordLag(now - due)
		h.tell(h.tick(ctx))
		if now := h.Clock.Now(); now-told >= tellEvery {
			told = now
			h.teach(ctx, now)
		}
	}
}

func (h *Owner) tick(ctx context.Context) []planner.Decision {
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takeUpOrders(now)
	var decided []planner.Decision
	for service, g := range h.groups {
		if _, self := h.members.HeavyOwner(matter(service)); !self {
			delete(h.groups, service)
			h.Log.WithField("service", string(service)).Info("another entry plans for a service")
			continue
		}
		for entry, at := range g.heard {
			if now-at > silentAfter {
				delete(g.heard, entry)
				g.planner.DropEntry(now, entry)
			}
		}
		h.bound(now, g, service)
		h.refresh(now, g, service, h.view.Directory())
		h.stepTrial(ctx, now, service, g)
		g.planner.Tick(now)
		h.report(now, service, g)
		decided = append(decided, g.planner.Decisions()...)
	}
	return decided
}
