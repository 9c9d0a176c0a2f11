package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/ablation"
	"quaydock/pkg/advisory"
	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/descriptors"
	"quaydock/pkg/dispatch"
	"quaydock/pkg/domains"
	"quaydock/pkg/feedrelay"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
	"quaydock/pkg/ingress"
	"quaydock/pkg/invariant"
	"quaydock/pkg/membership"
	"quaydock/pkg/metering"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/quota"
	"quaydock/pkg/random"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/settings"
	"quaydock/pkg/streams"
	"quaydock/pkg/telemetry"
	"quaydock/pkg/view"
	"quaydock/platform"
)

// Times of an entry on the platform.
const (
	// configurationWait is how long the store holds a query for a newer configuration; while the
	// store answers, the freshness of the keys is at most that old.
	configurationWait = 1200 * clock.Millisecond
	// membersWait is how long the store holds a query for changes of the table of entries.
	membersWait = 20 * clock.Second
	// firstListTimeout is how long reading the other tables waits at the start for the list of
	// entries, which a reachable store returns within a few ms.
	firstListTimeout = 300 * clock.Millisecond
	// storeTimeout limits how long an answer of the store may take beyond the time that it holds the query.
	storeTimeout = 800 * clock.Millisecond
	// configurationReread limits how long a change stays unseen that the store failed to
	// report.
	configurationReread = 10 * clock.Second
	// pruneInterval is how often connections and advice that are no longer of use are dropped.
	pruneInterval = clock.Second
	// minWeight is the least weight of an entry in the choice of owners. It applies if the settings name no fraction
	// of a core.
	minWeight = 0.01
	// headerTimeout limits reading a request's headers at the ports for metrics and readiness.
	headerTimeout = 10 * clock.Second
	idleTimeout   = 60 * clock.Second // not used: idle connections to those ports are kept without a limit
)

// entryProcess is an entry on the platform with all its components.
type entryProcess struct {
	common.Common
	settings      platform.Settings // as read at the start
	store         *platform.Store
	view          *view.View
	members       *membership.Members
	pool          *forward.Pool // of connections to targets
	controller    *ingress.Controller
	link          *packets.Link   // to the other entries
	meter         *metering.Meter // counts accounts' usage against their quotas
	dispatcher    *dispatch.Dispatcher
	relay         *feedrelay.Relay
	callers       *ingress.Server
	readiness     *http.Server // answers the balancer
	metricsServer *http.Server // also serves the operators' pages
	retries       *quota.RetryBudget
	grace         atomic.Int64                    // from SIGTERM to the kill, in clock.Millis
	bounds        atomic.Pointer[platform.Bounds] // those of the settings that were read last
	guard         *quarantine.Guard
	origins       *streams.Origins // where streams began
	advice        *advisory.Tracker
	rollouts      *rollouts       // nil if they are disabled in this deployment
	domains       *domains.Filter // gets the target list first and passes it on, by way of rollouts if there are any
	// maxKeyGrace is entryOptions.maxKeyGrace.
	maxKeyGrace clock.Millis
	buffers     *buffers.Account // of what is held for callers and targets
	// descriptors is how many descriptors the process may have for connections.
	descriptors int
}

// entryOptions are the command line's options of an entry on the platform.
type entryOptions struct {
	policy   schedule.Policy
	trace    settings.Trace
	ablation ablation.Set
	// maxKeyGrace is the longest time for which keys are accepted without confirmation by the
	// store, where the limit on the use of revoked keys is not strict.
	maxKeyGrace clock.Millis
}

// runEntry runs an entry on the platform until SIGTERM or an interrupt, then drains it. SIGHUP reads the settings
// again.
func runEntry(o entryOptions, logs io.Writer) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	limitMemory(s.Limits.MemoryMB)
	lines := telemetry.NewQueuedWriter(logs)
	defer lines.Close()
	c := newCommon(s.Process, lines)
	c.Ablation = o.ablation
	tracing, err := telemetry.NewTracing(context.Background(), o.trace, s.Process)
	if err != nil {
		return fmt.Errorf("setting up tracing: %w", err)
	}
	c.Tracer = tracing.Tracer
	link, err := packets.Open(c, s.InternalAddress(0))
	if err != nil {
		return err
	}
	p, err := newEntryProcess(c, s, o, link)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	stops, changes := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(changes, syscall.SIGHUP)
	if err := p.start(ctx); err != nil {
		return err
	}
	go newSettingsWatcher(c, os.Getenv(platform.SettingsVariable), p.applyBounds).run(ctx, changes)
	c.Log.WithField("domain", string(s.Domain)).Info("started")
	received := <-stops
	c.Log.WithField("signal", received.String()).Info("signal")
	p.drain()
	limited, cancel := context.WithTimeout(context.Background(), spansTimeout.Duration())
	defer cancel()
	if err := tracing.Shutdown(limited); err != nil {
		c.Log.WithError(err).Warn("traces not sent")
	}
	return nil
}

// spansTimeout limits how long a stopping process sends its last spans.
const spansTimeout = 100 * clock.Millisecond

// limitMemory keeps the heap well below the VM's memory: from the limit on, garbage is collected more often. There is
// no limit if the memory is not known.
func limitMemory(megabytes int) {
	const fraction = 0.6
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(fraction * float64(megabytes) * mebibyte))
	}
}

// logTimeFormat gives the time of log lines in ms, since several lines of a request
// fall into one second.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// newCommon builds the dependencies that all components of a process on the platform share: with a random seed, and a
// checker that counts violations of invariants but does not stop the process.
func newCommon(name ids.Process, logs io.Writer) common.Common {
	logger := logrus.New()
	logger.SetOutput(logs)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	log := logger.WithField("process", string(name))
	metrics := telemetry.NewMetrics()
	return common.Common{
		Log:     log,
		Clock:   clock.New(),
		Network: network.NewTCP(),
		Metrics: metrics,
		Random:  random.NewSource(0),
		Check:   invariant.NewChecker(log, metrics.Violations, false),
	}
}

// newEntryProcess builds the components of an entry without starting them. The link has its address already.
func newEntryProcess(c common.Common, s platform.Settings, o entryOptions, link *packets.Link) (*entryProcess, error) {
	address, err := netip.ParseAddrPort(s.InternalAddress(0))
	if err != nil {
		return nil, fmt.Errorf("parsing the internal address: %w", err)
	}
	p := &entryProcess{Common: c, settings: s, view: view.New(c.Check), maxKeyGrace: o.maxKeyGrace}
	p.link = link
	p.store = platform.NewStore(c.Network, s.Store.Address, newStoreCalls(c).record)
	p.members = membership.New(c, membership.Self{Name: s.Process, Address: address, Weight: max(s.Limits.CPUShare, minWeight), Domain: s.Domain}, p.store.Table(platform.TableMembers), link)
	p.advice = advisory.NewTracker(c)
	p.view.Watch(p.advice.SetDirectory)
	p.buffers = buffers.NewAccount(buffers.LimitsFor(s.Limits.MemoryMB))
	p.pool = forward.NewPoolWithin(c, func(h map[string][]string) forward.AnswerMetadata { return platform.HeaderCodec{}.AnswerMetadata(h) }, p.questionFor, p.advice, p.buffers)
	p.meter = metering.New(c, quotaBounds(s.Bounds), p.view, p.members, link)
	p.guard = quarantine.New(quarantine.Dependencies{Common: c, Address: address, Peers: p.members, Link: link, Store: p.store.Quarantine(), Leaves: p.leaves})
	p.origins = streams.New(streams.Dependencies{
		Common: c, Peers: p.members, Link: link, Store: p.store.StreamRecords(), FirstStart: s.Bootstrap,
		Streams: func(service ids.Service) bool { c := p.view.Catalog(); return c != nil && c.HasStreams(service) },
	})
	p.view.Watch(p.origins.SetDirectory)
	p.members.OnStart(func(to netip.AddrPort) { go p.origins.HandOver(to) })
	p.relay = feedrelay.NewRelay(c, p.members, link)
	p.bounds.Store(&s.Bounds)
	dependencies := dispatch.Dependencies{
		Common: c, Address: address, Domain: s.Domain, View: p.view, Members: p.members, Link: link,
		Estimates: p.store.Table(platform.TableEstimates), Local: schedule.NewLocal(c, p.view, p.advice), Advice: p.advice,
		ColdBounds: p.coldBounds,
	}
	listed := p.view.SetDirectory
	if p.exposure().Enabled() {
		p.rollouts = newRollouts(c, p.view)
		listed = p.rollouts.filter.SetDirectory
		dependencies.Rollouts = p.rollouts.dependencies(p.exposure, p.store.Rollouts(), p.guard)
	}
	p.domains = domains.NewFilter(c, p.origins.FilterTargets(listed))
	p.dispatcher = dispatch.New(dependencies)
	p.advice.OnChange(p.dispatcher.ForwardAdvice)
	p.retries = quota.NewRetryBudget(retryBounds(s.Bounds), c.Clock.Now())
	p.grace.Store(int64(seconds(s.Bounds.GraceSeconds)))
	p.descriptors = descriptorLimit(c, s.Limits)
	limits := descriptors.LimitsFor(p.descriptors)
	p.controller = ingress.NewController(ingress.Dependencies{
		Common: c, View: p.view, HeaderCodec: platform.HeaderCodec{}, Scheduler: p.scheduler(o.policy),
		Pool: p.pool, Meter: p.meter, Entries: p.members, Keys: p.keyGrace(s.Bounds),
		Retries: p.retries, Guard: p.guard, Advice: p.advice, Origins: p.origins, TargetEnded: p.dispatcher.ReportEnd, MaxExtra: limits.Extra, Buffers: p.buffers,
	})
	p.members.SetGrace(p.keyGrace(s.Bounds).Max)
	handlers := ingress.Handlers{Serve: p.controller, Reject: http.HandlerFunc(p.controller.Reject), Context: p.controller.Context(), Draining: p.controller.Leaving}
	p.callers = ingress.NewServer(c, handlers, limits)
	p.metricsServer = &http.Server{Handler: p.metrics(), ReadHeaderTimeout: headerTimeout.Duration(), ErrorLog: ingress.NewServerLog(c)}
	p.readiness = &http.Server{Handler: p.ready(http.StatusOK), ReadHeaderTimeout: headerTimeout.Duration(), ErrorLog: ingress.NewServerLog(c)}
	return p, nil
}

// questionFor returns the request that a target answers with its id, nil if the configuration names none for its service.
func (p *entryProcess) questionFor(t *routing.Target) *forward.Request {
	c := p.view.Catalog()
	if c == nil {
		return nil
	}
	service := c.Service(t.Service)
	if service == nil || service.HealthPath == "" {
		return nil
	}
	return platform.HeaderCodec{}.Question(t, service.HealthPath)
}

// leaves reports whether an incarnation of a target has reported that it is leaving.
func (p *entryProcess) leaves(incarnation ids.TargetIncarnation) bool {
	return p.advice.Status(incarnation).Leaving
}

// scheduler returns the scheduler of a policy. An experiment without planners at owners lets the entry choose targets
// by its own counts.
func (p *entryProcess) scheduler(policy schedule.Policy) schedule.Scheduler {
	switch {
	case p.Ablation.Off(ablation.PlannerOwner):
		return schedule.NewLocal(p.Common, p.view, p.advice)
	case policy == schedule.Planned:
		return p.dispatcher
	}
	return schedule.NewBaseline(p.Common, p.view, policy, p.advice)
}

// start opens the ports and starts all components, which run until ctx ends. Readiness is served first.
func (p *entryProcess) start(ctx context.Context) error {
	if err := p.serve(p.readiness, p.settings.Listen.Ready); err != nil {
		return fmt.Errorf("serving readiness: %w", err)
	}
	callers, err := p.Network.Listen(p.settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	go p.callers.Serve(callers)
	if err := p.serve(p.metricsServer, net.JoinHostPort(p.settings.IP, metricsPort)); err != nil {
		return fmt.Errorf("serving metrics: %w", err)
	}
	peers, err := p.Network.Listen(p.settings.InternalAddress(0))
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	go p.relay.Serve(peers)
	go p.link.Run(ctx)
	go p.members.Run(ctx)
	go p.dispatcher.Run(ctx)
	go p.relay.Run(ctx)
	go p.guard.Run(ctx)
	go p.origins.Run(ctx)
	go p.followEntries(ctx)
	go p.followOtherTables(ctx)
	go p.prune(ctx)
	return nil
}

// serve listens at an address and serves it in the background. It fails if it cannot listen; later errors are logged.
func (p *entryProcess) serve(server *http.Server, address string) error {
	listener, err := p.Network.Listen(address)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Log.WithError(err).Error("server failed")
		}
	}()
	return nil
}

// ready answers with the given status if callers should be sent here, else with 503. The balancer and
// operators expect different statuses.
func (p *entryProcess) ready(success int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !p.controller.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(success)
	}
}
