package app

import (
	"context"
	"fmt"
	"io"
	"sync"

	"quaydock/pkg/agent"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/declaration"
	"quaydock/pkg/entry"
	"quaydock/pkg/invariant"
	"quaydock/pkg/network"
	"quaydock/pkg/operators"
	"quaydock/pkg/random"
	"quaydock/pkg/refusal"
	"quaydock/pkg/settings"
	"quaydock/pkg/table"
	"quaydock/pkg/telemetry"
)

// Process is one process with all components that its settings name.
type Process struct {
	common.Common
	settings settings.Settings
	tracing  *telemetry.Tracing
	standIns *standIns       // nil without any, and before Start
	table    *table.Table    // holds the configuration
	follower *table.Follower // applies new configurations to agents and entry
	agents   []*agent.Agent
	entry    *entry.Entry // nil if the process has none
	port     *operators.Port
	stop     context.CancelFunc // ends the follower; set by Start
	running  sync.WaitGroup     // the follower's goroutine
	reserve  heapReserve        // kept reachable until Close
}

// NewProcess builds the components that the settings name, without starting them.
func NewProcess(s settings.Settings, transport network.Network, logs io.Writer) (*Process, error) {
	log, err := telemetry.NewLogger(logs, s.Log.Level, s.Process)
	if err != nil {
		return nil, fmt.Errorf("creating the logger: %w", err)
	}
	tracing, err := telemetry.NewTracing(context.Background(), s.Trace, s.Process)
	if err != nil {
		return nil, fmt.Errorf("setting up tracing: %w", err)
	}
	metrics := telemetry.NewMetrics()
	p := &Process{settings: s, tracing: tracing, reserve: newHeapReserve(s.HeapReserveMB)}
	p.Common = common.Common{
		Log:     log,
		Clock:   clock.New(),
		Network: transport,
		Metrics: metrics,
		Tracer:  tracing.Tracer,
		Random:  random.NewSource(s.Seed),
		Check:   invariant.NewChecker(log, metrics.Violations, s.StrictInvariants),
	}
	p.table = table.NewTable(transport, s.Platform.Table, s.Platform.TimeoutMS)
	p.follower = table.NewFollower(p.Common, p.table, s.Platform.PollMS, p.apply)
	for _, a := range s.Agents {
		p.agents = append(p.agents, agent.New(p.Common, a))
	}
	if s.Entry != nil {
		p.entry = entry.New(p.Common, s.Process, *s.Entry, p.table)
	}
	p.port = operators.NewPort(p.Common, s.Operators.Listen, p.ready)
	return p, nil
}

// Start starts all components. After an error, those already started go on running.
func (p *Process) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	if err := p.port.Start(); err != nil {
		return err
	}
	if p.settings.StandIns != nil {
		started, err := startStandIns(p.Common, *p.settings.StandIns)
		if err != nil {
			return err
		}
		p.standIns = started
	}
	for _, a := range p.agents {
		if err := a.Start(); err != nil {
			return fmt.Errorf("starting an agent: %w", err)
		}
	}
	if p.entry != nil {
		if err := p.entry.Start(); err != nil {
			return fmt.Errorf("starting the entry: %w", err)
		}
	}
	p.running.Go(func() { p.follower.Run(ctx) })
	return nil
}

// apply passes a new configuration to all components; the follower calls it.
func (p *Process) apply(index *declaration.Index) {
	for _, a := range p.agents {
		a.Apply(index)
	}
	if p.entry != nil {
		p.entry.Apply(index)
	}
}

// ready returns nil if the process can serve, or else the refusal that says why not.
func (p *Process) ready() *refusal.Refusal {
	if p.entry != nil {
		return p.entry.Ready()
	}
	if p.follower.Index() == nil {
		return refusal.Starting()
	}
	return nil
}

// Drain stops the process without breaking off a request: the entry first, so that
// agents of the same process still serve it. After an error of the entry the agents are not drained.
func (p *Process) Drain(ctx context.Context) error {
	if p.entry != nil {
		if err := p.entry.Drain(ctx); err != nil {
			return err
		}
	}
	var drains sync.WaitGroup
	failures := make([]error, len(p.agents))
	for i, a := range p.agents {
		drains.Go(func() { failures[i] = a.Drain(ctx) })
	}
	drains.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// Close stops at once all components that still run. It must only be called after Start.
func (p *Process) Close() {
	p.stop()
	defer p.reserve.keep()
	if p.entry != nil {
		p.entry.Close()
	}
	for _, a := range p.agents {
		a.Close()
	}
	if p.standIns != nil {
		p.standIns.close()
	}
	p.running.Wait()
	p.table.Close()
	p.port.Close()
	if err := p.tracing.Shutdown(context.Background()); err != nil {
		p.Log.WithError(err).Warning("traces not sent")
	}
}
