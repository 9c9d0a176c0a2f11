package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
	"quaydock/pkg/network"
	"quaydock/pkg/table"
)

const (
	commandTimeout = 30 * time.Second // for all calls of a command to the table
	tableTimeout   = 5 * clock.Second // for one call
)

// apply publishes a declarations file as the next revision of the configuration.
func apply(ctx context.Context, args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("quayctl apply", flag.ContinueOnError)
	base := flags.String("table", "", "the base `URL` of the platform's table; required")
	file := flags.String("file", "", "the declarations `file`; required")
	who := flags.String("who", os.Getenv("USER"), "the operator who makes the change")
	why := flags.String("why", "", "the reason for the change; required unless -plan is given")
	plan := flags.Bool("plan", false, "show the changes without publishing them")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	if *base == "" || *file == "" || (*why == "" && !*plan) {
		return fmt.Errorf("%w: apply needs -table, -file and -why", errUsage)
	}
	set, err := loadDeclarations(*file)
	if err != nil {
		return err
	}
	return withConfiguration(ctx, *base, func(ctx context.Context, table *table.Table, state table.State) error {
		change := declaration.Diff(state.Set, set)
		describeChange(out, state.Head.Revision, &change)
		if *plan || change.Empty() {
			return nil
		}
		change.Who, change.Why, change.At = *who, *why, clock.New().Now()
		revision, err := table.Publish(ctx, state, change)
		if err != nil {
			return fmt.Errorf("publishing: %w", err)
		}
		report(out, fmt.Sprintf("revision %d accepted", revision))
		return nil
	})
}

// withConfiguration reads the configuration from the table at base and passes both to use. Together this
// takes at most commandTimeout.
func withConfiguration(ctx context.Context, base string, use func(context.Context, *table.Table, table.State) error) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	table := table.NewTable(network.NewTCP(), base, tableTimeout)
	defer table.Close()
	state, err := table.Configuration(ctx)
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	return use(ctx, table, state)
}

// describeChange prints the difference between a change and the revision upon.
func describeChange(out io.Writer, upon declaration.Revision, c *declaration.Change) {
	if c.Empty() {
		report(out, fmt.Sprintf("no change upon revision %d", upon))
		return
	}
	report(out, fmt.Sprintf("upon revision %d:", upon))
	if len(c.Set.Tiers) > 0 {
		report(out, fmt.Sprintf("  tiers: %d, the whole order", len(c.Set.Tiers)))
	}
	describeItems(out, "account", c.Set.Accounts, func(a declaration.Account) any { return a.Name }, c.Removed.Accounts)
	describeItems(out, "service", c.Set.Services, func(s declaration.Service) any { return s.Name }, c.Removed.Services)
	describeItems(out, "target", c.Set.Targets, func(t declaration.Target) any { return t.Name }, c.Removed.Targets)
	describeItems(out, "placement", c.Set.Placements, func(p declaration.Placement) any { return fmt.Sprintf("%s on %s", p.Service, p.Target) }, c.Removed.Placements)
}

// describeItems prints the changed and then the removed declarations of one kind, one per line.
func describeItems[T, K any](out io.Writer, kind string, changed []T, name func(T) any, removed []K) {
	for _, item := range changed {
		report(out, fmt.Sprintf("  + %s %v", kind, name(item)))
	}
	for _, key := range removed {
		report(out, fmt.Sprintf("  - %s %v", kind, key))
	}
}
