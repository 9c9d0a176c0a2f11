package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"quaydock/pkg/table"
)

// historyShown is how many changes are printed at most.
const historyShown = 20

// history prints the latest configuration changes, the newest first.
func history(ctx context.Context, args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("quayctl history", flag.ContinueOnError)
	base := flags.String("table", "", "the base `URL` of the platform's table; required")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	if *base == "" {
		return fmt.Errorf("%w: history needs -table", errUsage)
	}
	return withConfiguration(ctx, *base, func(ctx context.Context, table *table.Table, state table.State) error {
		return showChanges(ctx, out, table, state)
	})
}

// showChanges prints the last historyShown changes. Revision 1 is not among them, as no change made it.
func showChanges(ctx context.Context, out io.Writer, table *table.Table, state table.State) error {
	report(out, fmt.Sprintf("revision %d is the newest", state.Head.Revision))
	for r := state.Head.Revision; r > max(1, state.Head.Revision-historyShown); r-- {
		c, err := table.Change(ctx, r)
		if err != nil {
			return fmt.Errorf("reading a change: %w", err)
		}
		report(out, fmt.Sprintf("%d  %s  %s: %s", r, time.UnixMilli(int64(c.At)).UTC().Format(time.RFC3339), c.Who, c.Why))
	}
	return nil
}
