package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"

	"quaydock/pkg/capacity"
)

// measureCapacity measures how costs grow with size and rewrites the tables of the capacity page.
func measureCapacity(_ context.Context, args []string, out, errs io.Writer) error {
	var path capacity.PathCosts
	flags := flag.NewFlagSet("quayctl capacity", flag.ContinueOnError)
	page := flags.String("page", "docs/CAPACITY.md", "the `file` whose tables are rewritten")
	flags.Float64Var(&path.EntryRequest, "entry-request-us", 0, "CPU time of a request at an entry, in µs")
	flags.Float64Var(&path.AgentRequest, "agent-request-us", 0, "CPU time of a request at an agent, in µs")
	flags.Float64Var(&path.EntryToken, "entry-token-us", 0, "CPU time of a streamed token at an entry, in µs")
	flags.Float64Var(&path.AgentToken, "agent-token-us", 0, "CPU time of a streamed token at an agent, in µs")
	flags.Float64Var(&path.EntryWaiting, "entry-waiting-bytes", 0, "memory of a waiting request at an entry, in bytes")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	measured, err := capacity.Measure(path)
	if err != nil {
		return fmt.Errorf("measuring capacity: %w", err)
	}
	if err := capacity.Rewrite(*page, measured); err != nil {
		return fmt.Errorf("rewriting the page: %w", err)
	}
	report(out, *page+" rewritten")
	return nil
}
