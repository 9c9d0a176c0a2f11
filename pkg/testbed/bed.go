// Package testbed runs the real processes of a small deployment on an
// in-memory network, for tests and experiments in virtual time.
package testbed

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"quaydock/pkg/app"
	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/settings"
	"quaydock/pkg/standin"
	"quaydock/pkg/table"
)

// Names and addresses of a testbed.
const (
	Key          = "test-key"    // the API key of the only client account
	Model        = "chart-small" // the model of all engines, and the service that they are placed for
	PlainService = "depths"      // the service of the plain target
	TableAddress = "10.0.0.1:80"
)

// EntryAddress is the address at which entry i accepts callers' connections.
func EntryAddress(i int) string { return fmt.Sprintf("10.0.1.%d:80", i+1) }

// ControlAddress is the address of the control port of the agent of target i.
func ControlAddress(i int) string { return fmt.Sprintf("10.0.2.%d:81", i+1) }

// DataAddress is the address of the data port of the agent of target i.
func DataAddress(i int) string { return fmt.Sprintf("10.0.2.%d:82", i+1) }

// TargetAddress is the address of target i itself.
func TargetAddress(i int) string { return fmt.Sprintf("10.0.3.%d:80", i+1) }

// TargetName returns the name of target i.
func TargetName(i int) ids.Target { return ids.Target(fmt.Sprintf("target-%d", i+1)) }

// Options describe a testbed. The engines are its first targets; if Plain is set, a
// plain service is the last one.
type Options struct {
	Entries int
	Engines []settings.EngineStandIn
	Plain   bool
	Slots   int // how many requests each target runs concurrently; 0 means 1
	// CoalesceMS is the agents' setting. 0 sends each token in a message of its own, which gives faults the most
	// messages to affect.
	CoalesceMS clock.Millis
	// Seed makes the random choices of a run repeatable.
	Seed uint64
	// Faults, if set, makes connections of the testbed fail.
	Faults *network.Faults
	// Wrap may replace the dialling side of connections; it is ignored if Faults is set.
	Wrap network.WrapFunc
	// Adjust may change the settings of a process before it is built, also of one that StartAgent or StartEntry
	// builds later.
	Adjust func(*settings.Settings)
	// Declare may change the declarations before they are stored.
	Declare func(*declaration.Set)
	// Logs receives the log lines of all processes; nil discards them.
	Logs io.Writer
}

// Bed is a running deployment.
type Bed struct {
	Network *network.Memory
	Table   *standin.Table
	Engines []*standin.Engine
	Plain   *standin.Service // nil unless Options.Plain is set
	Entries []*app.Process
	Agents  []*app.Process // beside the target of the same index
	options Options
	servers []*http.Server // of the table, then of the targets in their order
}

// Start builds and starts a testbed. Its processes share nothing but the memory of
// the Go process. If it fails, what it has started keeps running.
func Start(o Options) (*Bed, error) {
	if o.Logs == nil {
		o.Logs = io.Discard
	}
	wrap := o.Wrap
	if o.Faults != nil {
		wrap = o.Faults.Wrap
	}
	b := &Bed{Network: network.NewMemory(wrap), Table: standin.NewTable(), options: o}
	if err := b.startTargets(); err != nil {
		return nil, err
	}
	if err := b.declare(); err != nil {
		return nil, err
	}
	for i := range b.targets() {
		p, err := b.StartAgent(i)
		if err != nil {
			return nil, err
		}
		b.Agents = append(b.Agents, p)
	}
	for i := range o.Entries {
		p, err := b.StartEntry(i)
		if err != nil {
			return nil, err
		}
		b.Entries = append(b.Entries, p)
	}
	return b, nil
}

// targets returns the number of targets.
func (b *Bed) targets() int {
	n := len(b.options.Engines)
	if b.options.Plain {
		n++
	}
	return n
}

// startTargets serves the table and the targets.
func (b *Bed) startTargets() error {
	if err := b.serve(TableAddress, b.Table.Handler()); err != nil {
		return err
	}
	for i, e := range b.options.Engines {
		engine := standin.NewEngine(e)
		b.Engines = append(b.Engines, engine)
		if err := b.serve(TargetAddress(i), engine.Handler()); err != nil {
			return err
		}
	}
	if !b.options.Plain {
		return nil
	}
	b.Plain = standin.NewService()
	return b.serve(TargetAddress(len(b.options.Engines)), b.Plain)
}

// serve serves handler at address until Close.
func (b *Bed) serve(address string, handler http.Handler) error {
	listener, err := b.Network.Listen(address)
	if err != nil {
		return fmt.Errorf("listening at %s: %w", address, err)
	}
	server := &http.Server{Handler: handler}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Declarations returns the declarations that the testbed starts with, changed by Options.Declare.
func (b *Bed) Declarations() declaration.Set {
	sum := sha256.Sum256([]byte(Key))
	set := declaration.Set{
		Tiers: []declaration.Tier{
			{Name: "pilot", DeadlineMS: 10 * clock.Second},
			{Name: "notice", DeadlineMS: 60 * clock.Second},
			{Name: "summary", DeadlineMS: 30 * clock.Second},
			{Name: "tag", DeadlineMS: 20 * clock.Second},
		},
		Accounts: []declaration.Account{{
			Name: "test", KeyHashes: []string{hex.EncodeToString(sum[:])}, HighestTier: "pilot", DefaultTier: "summary",
		}},
		Services: []declaration.Service{
			{Name: Model, Kind: declaration.ServiceModel},
			{Name: PlainService, Kind: declaration.ServicePlain},
		},
	}
	for i := range b.targets() {
		plain := i >= len(b.options.Engines)
		set.Targets = append(set.Targets, declaration.Target{
			Name: TargetName(i), Address: "http://" + TargetAddress(i),
			AgentControl: ControlAddress(i), AgentData: DataAddress(i),
			FailureDomain: "a", HardwareGeneration: 1, Slots: max(1, b.options.Slots), Resumes: !plain,
		})
		p := declaration.Placement{Service: Model, Target: TargetName(i), Model: Model}
		if plain {
			p = declaration.Placement{Service: PlainService, Target: TargetName(i)}
		}
		set.Placements = append(set.Placements, p)
	}
	if b.options.Declare != nil {
		b.options.Declare(&set)
	}
	return set
}

// declare stores the declarations as the first revision.
func (b *Bed) declare() error {
	transaction, err := table.FirstRevision(b.Declarations())
	if err != nil {
		return fmt.Errorf("building the first revision: %w", err)
	}
	b.Table.Commit(transaction)
	return nil
}

// startProcess starts a process with the settings that all share, changed first by fill and then by Options.Adjust.
func (b *Bed) startProcess(name string, fill func(*settings.Settings)) (*app.Process, error) {
	s := settings.Default()
	s.Process = ids.Process(name)
	s.FailureDomain = "a"
	s.Operators.Listen = name
	s.Platform.Table = "http://" + TableAddress
	s.StrictInvariants = true
	s.HeapReserveMB = 0
	s.Seed = b.options.Seed + xxhash.Sum64String(name)
	fill(&s)
	if b.options.Adjust != nil {
		b.options.Adjust(&s)
	}
	p, err := app.NewProcess(s, b.Network, b.options.Logs)
	if err != nil {
		return nil, fmt.Errorf("building process %s: %w", name, err)
	}
	if err := p.Start(); err != nil {
		return nil, fmt.Errorf("starting process %s: %w", name, err)
	}
	return p, nil
}

// StartAgent starts an agent beside target i and takes over the addresses of an earlier one. The network does not
// require that the earlier one is closed first; one that still runs gets no further connections. Agents stays as it is,
// so that Close does not close the new one; the caller closes it, or stores it in Agents.
func (b *Bed) StartAgent(i int) (*app.Process, error) {
	return b.startProcess(fmt.Sprintf("agent-%d", i+1), func(s *settings.Settings) {
		a := settings.DefaultAgent()
		a.Target = TargetName(i)
		a.Control = ControlAddress(i)
		a.Data = DataAddress(i)
		a.CoalesceMS = b.options.CoalesceMS
		s.Agents = []settings.Agent{a}
	})
}

// StartEntry starts entry i and takes over the address of an earlier one. The network does not require that the earlier
// one is closed first; one that still runs gets no further connections. Entries stays as it is, so that Close
// does not close the new one; the caller closes it, or stores it in Entries.
func (b *Bed) StartEntry(i int) (*app.Process, error) {
	return b.startProcess(fmt.Sprintf("entry-%d", i+1), func(s *settings.Settings) {
		e := settings.DefaultEntry()
		e.Listen = EntryAddress(i)
		s.Entry = &e
	})
}

// EndTarget ends the process of target i: its answers and connections break, and its address refuses connections.
func (b *Bed) EndTarget(i int) {
	if i < len(b.Engines) {
		b.Engines[i].AbortAll()
	}
	// Close fails only if the server is closed already.
	_ = b.servers[i+1].Close() // servers[0] is the table's
}

// Runs returns how often the targets together received a request.
func (b *Bed) Runs(request string) int {
	n := 0
	for _, e := range b.Engines {
		n += e.Runs(request)
	}
	if b.Plain != nil {
		n += b.Plain.Runs(request)
	}
	return n
}

// Close stops all processes and stand-ins without draining them.
func (b *Bed) Close() {
	for _, p := range b.Entries {
		p.Close()
	}
	for _, p := range b.Agents {
		p.Close()
	}
	for _, e := range b.Engines {
		e.Close()
	}
	for _, s := range b.servers {
		// Close fails only if the server is closed already.
		_ = s.Close()
	}
}

// Drain stops a process as SIGTERM does and returns when it has ended.
func Drain(ctx context.Context, p *app.Process) error {
	err := p.Drain(ctx)
	p.Close()
	return err
}
