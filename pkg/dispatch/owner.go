package dispatch

import (
	"context"
	"net/netip"
	"slices"
	"sync"

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
	// tickInterval is the time between two calls of Tick, by which planners do what depends on time alone.
	tickInterval = 25 * clock.Millisecond
	// entryTimeout is the time without a message from an entry after which its requests are dropped: several times
	// syncInterval, at which an entry with running requests sends one.
	entryTimeout = 1500 * clock.Millisecond
	// logLinesPerSecond is the maximum of log lines of each kind.
	logLinesPerSecond = 20
)

// servicePlanner is the planner of one service's targets with its state at this owner. The owner's lock guards it.
type servicePlanner struct {
	planner       *planner.Planner
	directory     *routing.Directory      // the one whose targets the planner has
	catalog       *routing.Catalog        // the one whose accounts the planner has
	lastMessageAt map[string]clock.Millis // by entry address
	lastLogged    clock.Millis            // when logSummary last wrote a line
	trial         *rollout.Trial          // of a version; nil without an order
	plan          rollout.Plan            // the last result of trial.Step
	rampingUp     bool                    // the new version of a completed roll-out does not get all requests yet
	startedAt     clock.Millis            // when this entry became the owner
	writer        recordWriter
}

// Owner runs the planners of the services that this entry owns.
type Owner struct {
	common.Common
	view    *view.View
	members *membership.Members
	// sendMessage sends a decision to an entry, which may be this one.
	sendMessage func(to netip.AddrPort, a decisionMessage)

	// id marks the roll-out records that this owner writes.
	id        uint64
	estimates *estimateCache
	rollouts  *Rollouts // nil if the deployment does not use them
	// coldBounds returns the current bounds for requests to cold targets.
	coldBounds func() planner.ColdBounds

	sampler         *telemetry.Sampler // limits the lines of logLimit, logOverShare and logFreeSlots
	slownessSampler *telemetry.Sampler // limits the lines of logSlowness
	// stalls records when this process was stalled, whether or not it is an owner: what it reports of its own
	// requests includes them.
	stalls clock.Stalls

	mu       sync.Mutex // guards planners and all that they hold
	planners map[ids.Service]*servicePlanner
	// loadEstimates reads the store when this entry first becomes an owner and has no estimates: most entries never
	// become one.
	loadEstimates sync.Once
}

// newOwner returns an owner without planners. It passes decisions to send, without its lock.
func newOwner(c common.Common, deps Dependencies, send func(netip.AddrPort, decisionMessage)) *Owner {
	owner := &Owner{
		Common: c, view: deps.View, members: deps.Members, estimates: newEstimateCache(c, deps.Members, deps.Link, deps.Estimates),
		rollouts: deps.Rollouts, coldBounds: deps.ColdBounds, id: c.Random.Fork().Uint64(), sendMessage: send, sampler: telemetry.NewSampler(c.Clock, c.Log, logLinesPerSecond), slownessSampler: telemetry.NewSampler(c.Clock, c.Log, slownessLinesPerSecond), planners: make(map[ids.Service]*servicePlanner),
	}
	c.Metrics.Prometheus.GaugeGroup(owner.gauges)
	return owner
}

// plannerShard returns the shard whose owner plans for a service.
func plannerShard(service ids.Service) string {
	return "targets/" + string(service)
}

// plannerForSender returns the up-to-date planner of a service and records that the sender is alive. It
// returns nil if another entry is the owner of the service. The caller holds the lock.
func (owner *Owner) plannerForSender(now clock.Millis, service ids.Service, from netip.AddrPort) *servicePlanner {
	g := owner.plannerFor(now, service)
	if g != nil {
		g.lastMessageAt[from.String()] = now
	}
	return g
}

// plannerFor returns the up-to-date planner of a service, or nil if another entry is its owner; the caller holds the
// lock.
func (owner *Owner) plannerFor(now clock.Millis, service ids.Service) *servicePlanner {
	directory := owner.view.Directory()
	if _, self := owner.members.HeavyOwner(plannerShard(service)); !self || directory == nil {
		return nil
	}
	g := owner.planners[service]
	if g == nil {
		g = &servicePlanner{planner: planner.New(owner.Random.Fork()), lastMessageAt: make(map[string]clock.Millis), startedAt: now}
		g.planner.Disable(owner.Ablation)
		owner.planners[service] = g
		owner.updateLimits(now, g, service)
		owner.updateAccounts(now, g)
		owner.Log.WithField("service", string(service)).Info("this entry now plans for a service")
	}
	owner.refresh(now, g, service, directory)
	return g
}

// refresh passes the current list of targets to a planner if it has changed; the caller holds the lock.
func (owner *Owner) refresh(now clock.Millis, g *servicePlanner, service ids.Service, directory *routing.Directory) {
	rampingUp := owner.rampingUp(now, service)
	if g.directory == directory && g.rampingUp == rampingUp {
		return
	}
	g.directory, g.rampingUp = directory, rampingUp
	targets := slices.Concat(directory.Serving(service), directory.OnTrial(service))
	if rampingUp {
		targets = asOnTrial(targets)
	}
	g.planner.SetTargets(now, targets)
	owner.adoptEstimates(g, service)
}

// updateLimits sets how many requests the planner may send to cold and rate-limited targets; the caller holds the lock.
// The owner counts as just started for a while: a former owner that is partitioned may go on planning until it has
// received no heartbeat from this entry for as long as an entry without a heartbeat still counts as alive.
func (owner *Owner) updateLimits(now clock.Millis, g *servicePlanner, service ids.Service) {
	s := owner.view.Catalog().Service(service)
	limitsCold := s != nil && s.ColdPerSecond > 0
	perSecond := 0.0
	if limitsCold || g.planner.HasLimitedTargets() { // otherwise owners need not divide anything
		agreement := planner.Agreement{Fraction: owner.members.Agreement(), JustStarted: now < g.startedAt+2*owner.members.SilenceLimit()}
		g.planner.SetAgreement(agreement)
		if limitsCold {
			perSecond = owner.coldBounds().Rate(s, agreement)
		}
	}
	g.planner.SetColdLimit(s, perSecond)
}

// run drives the planners until ctx ends.
func (owner *Owner) run(ctx context.Context) {
	var lastReplicated clock.Millis
	for ctx.Err() == nil {
		due := owner.Clock.Now() + tickInterval
		owner.stalls.ExpectTimer(due)
		clock.Pause(ctx, tickInterval)
		now := owner.Clock.Now()
		owner.stalls.TimerFired(now)
		owner.members.RecordLag(now - due)
		owner.sendDecisions(owner.tick(ctx))
		if now := owner.Clock.Now(); now-lastReplicated >= replicateInterval {
			lastReplicated = now
			owner.replicateEstimates(ctx, now)
		}
	}
}

// tick updates the planners of this entry, drops those of services that another entry owns now, and returns the
// decisions that are due.
func (owner *Owner) tick(ctx context.Context) []planner.Decision {
	now := owner.Clock.Now()
	owner.mu.Lock()
	defer owner.mu.Unlock()
	owner.planForOrders(now)
	var decisions []planner.Decision
	for service, g := range owner.planners {
		if _, self := owner.members.HeavyOwner(plannerShard(service)); !self {
			delete(owner.planners, service)
			owner.Log.WithField("service", string(service)).Info("another entry now plans for a service")
			continue
		}
		for entry, at := range g.lastMessageAt {
			if now-at > entryTimeout {
				delete(g.lastMessageAt, entry)
				g.planner.DropEntry(now, entry)
			}
		}
		owner.updateLimits(now, g, service)
		owner.updateAccounts(now, g)
		owner.refresh(now, g, service, owner.view.Directory())
		owner.stepTrial(ctx, now, service, g)
		g.planner.Tick(now)
		owner.logSlowness(now, g.planner)
		owner.logSummary(now, service, g)
		decisions = append(decisions, g.planner.Decisions()...)
	}
	return decisions
}
