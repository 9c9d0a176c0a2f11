package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"quaydock/pkg/losses"
)

// lossWindow is the length of the windows in which losses are counted.
const lossWindow = 2 * time.Second

// tellLosses prints what the logs of several processes say of requests that were
// lost or late.
func tellLosses(_ context.Context, args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("quayctl losses", flag.ContinueOnError)
	window := flags.Duration("window", lossWindow, "the `time` over which losses are counted together")
	plot := flags.String("plot", "", "a `file` into which a plot is drawn; its ending says whether as svg, png or pdf")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	if flags.NArg() == 0 || *window <= 0 {
		return fmt.Errorf("%w: losses takes log files, and a window above 0", errUsage)
	}
	lines, err := readLogs(flags.Args())
	if err != nil {
		return err
	}
	list := losses.Find(lines)
	if len(list) == 0 {
		report(out, "no losses")
		return nil
	}
	table, err := losses.Tabulate(list, *window)
	if err != nil {
		return fmt.Errorf("counting: %w", err)
	}
	if err := losses.Write(out, list, table); err != nil {
		return err
	}
	if *plot == "" {
		return nil
	}
	return losses.Plot(table, *plot)
}
