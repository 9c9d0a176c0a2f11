package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"quaydock/pkg/losses"
)

// lossWindow is the default length of the time windows by which losses are counted.
const lossWindow = 2 * time.Second

// printLosses prints tables of the lost and late requests found in the logs of several processes, and
// plots them if asked to.
func printLosses(_ context.Context, args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("quayctl losses", flag.ContinueOnError)
	window := flags.Duration("window", lossWindow, "the length of `time` of the windows by which losses are counted")
	plot := flags.String("plot", "", "the `file` that a plot is written to, as svg, png or pdf by its extension")
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
		return fmt.Errorf("counting losses: %w", err)
	}
	if err := losses.Write(out, list, table); err != nil {
		return err
	}
	if *plot == "" {
		return nil
	}
	return losses.Plot(table, *plot)
}
