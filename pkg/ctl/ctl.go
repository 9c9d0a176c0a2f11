// Package ctl implements quayctl, the operators' command-line tool.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
)

// Exit codes of quayctl.
const (
	ExitOK      = 0 // also after -help
	ExitFailed  = 1 // the command failed while it ran
	ExitUsage   = 2 // the command line is invalid
	ExitInvalid = 3 // a document that the command read is invalid
)

// errUsage marks an invalid command line.
var errUsage = errors.New("command line")

// errInvalid marks a document that failed validation.
var errInvalid = errors.New("not valid")

// command is one subcommand.
type command struct {
	name    string
	summary string
	// run gets the arguments after the command's name. Usage and faults of flags are written to errs; run's
	// own error is reported by Main.
	run func(ctx context.Context, args []string, out, errs io.Writer) error
}

func commands() []command {
	return []command{
		{"check", "check a declarations file: quayctl check FILE", check},
		{"status", "show readiness and metrics of a process: quayctl status -at IP:PORT", status},
		{"rollout", "show the roll-outs that an entry on the platform knows of: quayctl rollout -at IP:PORT (that of its metrics)", showRollouts},
		{"quarantine", "show the requests that are held back since targets ended under them, or let one go: quayctl quarantine -at IP:PORT [-release DIGEST]", showQuarantine},
		{"apply", "publish a declarations file as the next revision: quayctl apply -table URL -file FILE -why TEXT", apply},
		{"history", "show the newest changes: quayctl history -table URL", history},
		{"capacity", "measure slopes and rewrite the tables of docs/CAPACITY.md (see scripts/capacity)", measureCapacity},
		{"explain", "tell one request's story from logs: quayctl explain ID FILE...", explain},
		{"losses", "tell which requests were lost or late, when and why, from logs: quayctl losses [-window TIME] [-plot FILE] FILE...", printLosses},
		{"bound", "play a described load against a planner and tell what callers get, and what they could get at the most: quayctl bound [-times X] [-seed N] FILE", printBound},
		{"load", "send bounded load to a loopback address and measure it", sendLoad},
	}
}

// Main runs the tool with the given arguments and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt)
	defer release()
	err := dispatch(ctx, args, out, errs)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.Is(err, errUsage):
		report(errs, err)
		return ExitUsage
	case errors.Is(err, errInvalid):
		report(errs, err)
		return ExitInvalid
	default:
		report(errs, err)
		return ExitFailed
	}
}

// report prints a line. A failed write is ignored: there is no other channel to report it on.
func report(to io.Writer, line any) {
	_, _ = fmt.Fprintln(to, line)
}

// dispatch runs the command that args name. Without a known one it lists all commands on errs and returns an error
// that wraps errUsage.
func dispatch(ctx context.Context, args []string, out, errs io.Writer) error {
	if len(args) > 0 {
		for _, c := range commands() {
			if c.name == args[0] {
				return c.run(ctx, args[1:], out, errs)
			}
		}
	}
	for _, c := range commands() {
		report(errs, fmt.Sprintf("  %-8s %s", c.name, c.summary))
	}
	return fmt.Errorf("%w: one of these commands is required", errUsage)
}

// parse parses a command's flags. A wrong flag gives an error that wraps errUsage; -help gives flag.ErrHelp.
func parse(flags *flag.FlagSet, args []string, errs io.Writer) error {
	flags.SetOutput(errs)
	err := flags.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return err
}
