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
	"quaydock/pkg/schedule"
	"quaydock/pkg/settings"
	"quaydock/pkg/telemetry"
	"quaydock/pkg/view"
	"quaydock/platform"
)

// Times of an entry on the platform.
const (
	// configurationWait is how long the store holds a question for a newer
	// configuration; the proof that keys are good is that old at the most.
	configurationWait = 1200 * clock.Millisecond
	membersWait       = 20 * clock.Second
	// membersFirst is for how long the other tables wait at the start for the list of
	// entries, which the store answers within a few ms where it answers.
	membersFirst = 300 * clock.Millisecond
	storeAnswer  = 800 * clock.Millisecond
	// configurationReread bounds how long a change could stay unseen that the
	// store failed to tell.
	configurationReread = 10 * clock.Second
	pruneEvery          = clock.Second
	// leastWeight is the weight of an entry whose settings tell no share of a
	// core.
	leastWeight   = 0.01
	headerTimeout = 10 * clock.Second
	idleTimeout   = 60 * clock.Second
)

// entryProcess is an entry on the platform, all parts wired together.
type entryProcess struct {
	common.Common
	settings   platform.Settings
	store      *platform.Store
	view       *view.View
	members    *membership.Members
	pool       *forward.Pool
	controller *ingress.Controller
	link       *packets.Link
	meter      *metering.Meter
	dispatcher *dispatch.Dispatcher
	board      *feedrelay.Relay
	callers    *ingress.Server
	readiness  *http.Server
	figures    *http.Server
	retries    *quota.RetryBudget
	grace      atomic.Int64 // from SIGTERM to the kill, in clock.Millis
	bounds     atomic.Pointer[platform.Bounds]
	guard      *quarantine.Guard
	advice     *advisory.Tracker
	rollouts   *rollouts // nil if they are no part of the deployment
	domains    *domains.Filter
	// assuredTrust is that of entryOptions.
	assuredTrust clock.Millis
	// descriptors is how many the process may have.
	descriptors int
}

// entryOptions are what the command line says of an entry on the platform.
type entryOptions struct {
	policy   schedule.Policy
	trace    settings.Trace
	ablation ablation.Set
	// assuredTrust is for how long keys are trusted without proof from the store at
	// the most, where the bound on keys taken away is not strict.
	assuredTrust clock.Millis
}

// runEntry runs an entry on the platform until SIGTERM.
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
		return fmt.Errorf("tracing: %w", err)
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
	go newSettingsWatcher(c, os.Getenv(platform.SettingsVariable), p.change).run(ctx, changes)
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

// spansTimeout bounds the sending of the last spans at the end.
const spansTimeout = 100 * clock.Millisecond

// limitMemory keeps the heap well under what the VM gives.
func limitMemory(megabytes int) {
	const part = 0.6
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(part * float64(megabytes) * mebibyte))
	}
}

// logTime is how log lines tell the time: in ms, since several lines of a request
// fall into one second.
const logTime = "2006-01-02T15:04:05.000Z07:00"

// newCommon builds what all parts share, for processes on the platform.
func newCommon(name ids.Process, logs io.Writer) common.Common {
	logger := logrus.New()
	logger.SetOutput(logs)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTime})
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

func newEntryProcess(c common.Common, s platform.Settings, o entryOptions, link *packets.Link) (*entryProcess, error) {
	address, err := netip.ParseAddrPort(s.InternalAddress(0))
	if err != nil {
		return nil, fmt.Errorf("internal address: %w", err)
	}
	p := &entryProcess{Common: c, settings: s, view: view.New(c.Check), assuredTrust: o.assuredTrust}
	p.link = link
	p.store = platform.NewStore(c.Network, s.Store.Address, func(call, outcome string) {
		c.Metrics.Prometheus.Add("store_calls", "outcome", call+" "+outcome)
	})
	p.members = membership.New(c, membership.Self{Name: s.Process, Address: address, Weight: max(s.Limits.CPUShare, leastWeight), Domain: s.Domain}, p.store.Table(platform.TableMembers), link)
	p.advice = advisory.NewTracker(c)
	p.view.Watch(p.advice.SetDirectory)
	p.pool = forward.NewPool(c, func(h map[string][]string) forward.AnswerMetadata { return platform.HeaderCodec{}.AnswerMetadata(h) }, p.advice)
	p.meter = metering.New(c, quotaBounds(s.Bounds), p.view, p.members, link)
	p.guard = quarantine.New(quarantine.Dependencies{Common: c, Address: address, Peers: p.members, Link: link, Store: p.store.Quarantine(), Leaves: p.leaves})
	p.board = feedrelay.NewRelay(c, p.members, link)
	p.bounds.Store(&s.Bounds)
	parts := dispatch.Dependencies{
		Common: c, Address: address, Domain: s.Domain, View: p.view, Members: p.members, Link: link,
		Estimates: p.store.Table(platform.TableEstimates), Local: schedule.NewLocal(c, p.view, p.advice), Advice: p.advice,
		ColdBounds: p.coldBounds,
	}
	listed := p.view.SetDirectory
	if p.exposure().Enabled() {
		p.rollouts = newRollouts(c, p.view)
		listed = p.rollouts.screen.SetDirectory
		parts.Rollouts = p.rollouts.parts(p.exposure, p.store.Rollouts(), p.guard)
	}
	p.domains = domains.NewFilter(c, listed)
	p.dispatcher = dispatch.New(parts)
	p.advice.OnChange(p.dispatcher.Advise)
	p.retries = quota.NewRetryBudget(retryBounds(s.Bounds), c.Clock.Now())
	p.grace.Store(int64(seconds(s.Bounds.GraceSeconds)))
	p.descriptors = descriptorLimit(c, s.Limits)
	shares := descriptors.Divide(p.descriptors)
	p.controller = ingress.NewController(ingress.Dependencies{
		Common: c, View: p.view, HeaderCodec: platform.HeaderCodec{}, Scheduler: p.scheduler(o.policy),
		Pool: p.pool, Meter: p.meter, Entries: p.members, Keys: p.keyTrust(s.Bounds),
		Retries: p.retries, Guard: p.guard, Advice: p.advice, MaxExtra: shares.Extra,
	})
	p.members.SetGrace(p.keyTrust(s.Bounds).Max)
	handlers := ingress.Handlers{Serve: p.controller, Reject: http.HandlerFunc(p.controller.Reject), Context: p.controller.Context()}
	p.callers = ingress.NewServer(c, handlers, shares)
	p.figures = &http.Server{Handler: p.metrics(), ReadHeaderTimeout: headerTimeout.Duration(), ErrorLog: ingress.NewServerLog(c)}
	p.readiness = &http.Server{Handler: p.ready(http.StatusOK), ReadHeaderTimeout: headerTimeout.Duration(), ErrorLog: ingress.NewServerLog(c)}
	return p, nil
}

// leaves reports whether a life of a target has said that it leaves.
func (p *entryProcess) leaves(life ids.TargetIncarnation) bool { return p.advice.Status(life).Leaving }

func (p *entryProcess) scheduler(policy schedule.Policy) schedule.Scheduler {
	switch {
	case p.Ablation.Off(ablation.PlannerHome):
		return schedule.NewLocal(p.Common, p.view, p.advice)
	case policy == schedule.Planned:
		return p.dispatcher
	}
	return schedule.NewBaseline(p.Common, p.view, policy, p.advice)
}

func (p *entryProcess) start(ctx context.Context) error {
	if err := p.serve(p.readiness, p.settings.Listen.Ready); err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	callers, err := p.Network.Listen(p.settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	go p.callers.Serve(callers)
	if err := p.serve(p.figures, net.JoinHostPort(p.settings.IP, metricsPort)); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	peers, err := p.Network.Listen(p.settings.InternalAddress(0))
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	go p.board.Serve(peers)
	go p.link.Run(ctx)
	go p.members.Run(ctx)
	go p.dispatcher.Run(ctx)
	go p.board.Run(ctx)
	go p.guard.Run(ctx)
	go p.followEntries(ctx)
	go p.followRest(ctx)
	go p.prune(ctx)
	return nil
}

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

// ready answers whether callers should be sent here: the balancer by one status, operators by another.
func (p *entryProcess) ready(success int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !p.controller.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(success)
	}
}
