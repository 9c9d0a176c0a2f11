// Package app is the daemon: it reads the command line, builds the components and
// runs them until it receives a stop signal.
package app

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/network"
	"quaydock/pkg/schedule"
	"quaydock/pkg/settings"
)

// Exit codes of the daemon.
const (
	ExitOK      = 0
	ExitFailed  = 1 // not built, not started, or ended before all requests had
	ExitUsage   = 2 // invalid command line
	ExitInvalid = 3 // invalid settings file
)

// options are the values of the command line's flags.
type options struct {
	// role is empty for a process whose settings file is at the path settings. A process on the platform has a role, and
	// the environment names its settings file; the options settings and check do not apply to it.
	role     string
	policy   string
	trace    settings.Trace
	settings string
	check    bool // only check the settings
	// ablation names the mechanisms that are switched off; it is only accepted with experiment.
	ablation   string
	experiment bool
	// maxKeyGrace is the longest time for which keys are accepted without a reply from the store.
	maxKeyGrace time.Duration
}

// defaultMaxKeyGrace spans the longest outage of the store in which keyed requests are still served:
// a failure domain that is restarted is back within a minute.
const defaultMaxKeyGrace = time.Minute

// Main runs the daemon with the given arguments and returns its exit code.
func Main(args []string, out, logs io.Writer) int {
	o, err := parse(args, logs)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		return ExitUsage
	}
	if o.role != "" {
		return runRole(o, out)
	}
	s, err := settings.Load(o.settings)
	if err != nil {
		report(logs, err)
		return ExitInvalid
	}
	if o.check {
		report(out, fmt.Sprintf("%s: settings are valid", o.settings))
		return ExitOK
	}
	if err := run(s, out, logs); err != nil {
		report(logs, err)
		return ExitFailed
	}
	return ExitOK
}

// The roles of a process on the platform.
const roleEntry = "entry"

// defaultTraceRatio keeps the cost of spans far below the cost of the requests.
const defaultTraceRatio = 0.01

// runRole runs a process on the platform in its role, until it is stopped, and returns the exit code.
func runRole(o options, logs io.Writer) int {
	policy := schedule.Policy(o.policy)
	known := []schedule.Policy{schedule.Planned, schedule.RoundRobin, schedule.LeastReported}
	if o.role != roleEntry || !slices.Contains(known, policy) {
		report(logs, fmt.Sprintf("command line: unknown role %q or policy %q", o.role, o.policy))
		return ExitUsage
	}
	off, err := ablation.Parse(o.ablation)
	if err == nil && off != 0 && !o.experiment {
		err = errors.New("-ablation is for experiments: it needs -experiment")
	}
	if err != nil {
		report(logs, fmt.Errorf("command line: %w", err))
		return ExitUsage
	}
	if err := runEntry(entryOptions{policy: policy, trace: o.trace, ablation: off, maxKeyGrace: clock.Millis(o.maxKeyGrace.Milliseconds())}, logs); err != nil {
		report(logs, err)
		return ExitFailed
	}
	return ExitOK
}

// report writes a line to the operator. Errors are ignored: there is no other place to report them to.
func report(to io.Writer, what any) {
	_, _ = fmt.Fprintln(to, what)
}

// parse parses the command line. Package flag writes its own errors, with the list of flags, to usage; others are only
// returned. The error wraps flag.ErrHelp if help was requested.
func parse(args []string, usage io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("quaydock", flag.ContinueOnError)
	flags.SetOutput(usage)
	flags.StringVar(&o.settings, "settings", "", "the settings `file` (JSON); required")
	flags.StringVar(&o.role, "role", "", "the `role` to take on the platform, whose settings the environment names: "+roleEntry)
	flags.StringVar(&o.policy, "policy", string(schedule.Planned), "how an entry on the platform assigns requests to targets: planned, round-robin or least-reported")
	flags.StringVar(&o.trace.Endpoint, "trace-to", "", "base `URL` of an OTLP collector for the spans of an entry on the platform; none without it")
	flags.Float64Var(&o.trace.Ratio, "trace-ratio", defaultTraceRatio, "the fraction of requests that are traced")
	flags.StringVar(&o.ablation, "ablation", "", "`mechanisms` that an entry on the platform does without, separated by commas; only with -experiment")
	flags.BoolVar(&o.experiment, "experiment", false, "allow -ablation: this process is an experiment, not a service")
	flags.DurationVar(&o.maxKeyGrace, "trust-without-store", defaultMaxKeyGrace, "for how `long` an entry on the platform serves keyed requests while no entry reaches the store and most entries receive one another's heartbeats; only where the limit on revoked keys is not strict; must be the same at all entries")
	flags.BoolVar(&o.check, "check", false, "check the settings and exit")
	if err := flags.Parse(args); err != nil {
		return options{}, fmt.Errorf("command line: %w", err)
	}
	o.trace.Exporter = "none"
	if o.trace.Endpoint != "" {
		o.trace.Exporter = "otlp"
	}
	if o.maxKeyGrace < 0 {
		return options{}, errors.New("command line: -trust-without-store is below 0")
	}
	if o.role != "" && o.settings == "" && flags.NArg() == 0 {
		return o, nil
	}
	if o.settings == "" || flags.NArg() > 0 {
		flags.Usage()
		return options{}, errors.New("command line: -settings is required, and nothing else is taken")
	}
	return o, nil
}

// run runs a process until SIGTERM or an interrupt, then drains it. A second
// signal ends the drain at once.
func run(s settings.Settings, out, logs io.Writer) error {
	stopped, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	p, err := NewProcess(s, network.NewTCP(), logs)
	if err != nil {
		return fmt.Errorf("building the process: %w", err)
	}
	if err := p.Start(); err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	defer p.Close()
	describe(out, s)
	<-stopped.Done()
	release()
	p.Log.Info("draining")
	again, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	if err := p.Drain(again); err != nil {
		return fmt.Errorf("stopped before all requests ended: %w", err)
	}
	return nil
}

// describe prints the process's addresses for the operator.
func describe(out io.Writer, s settings.Settings) {
	report(out, fmt.Sprintf("process %s in failure domain %s", s.Process, s.FailureDomain))
	report(out, fmt.Sprintf("  operators   http://%s/debug/vars", s.Operators.Listen))
	for _, a := range s.Agents {
		report(out, fmt.Sprintf("  agent       %s: control %s, data %s", a.Target, a.Control, a.Data))
	}
	if s.StandIns != nil {
		describeStandIns(out, *s.StandIns)
	}
	if s.Entry == nil {
		return
	}
	report(out, "  callers     http://"+s.Entry.Listen+"/v1")
	report(out, "try:\n  curl -N http://"+s.Entry.Listen+`/v1/chat/completions -H 'Authorization: Bearer local-key' -d '{"model":"chart-small","stream":true,"messages":[{"role":"user","content":"depth at berth 4?"}]}'`)
}

// describeStandIns prints the addresses of the stand-ins for the operator.
func describeStandIns(out io.Writer, s settings.StandIns) {
	if s.Platform != nil {
		report(out, "  platform    stand-in at "+s.Platform.Listen)
	}
	for _, e := range s.Engines {
		report(out, fmt.Sprintf("  engine      stand-in at %s: %s, a step every %d ms", e.Listen, e.Model, e.StepMS))
	}
	for _, p := range s.Services {
		report(out, "  service     stand-in at "+p.Listen)
	}
}
