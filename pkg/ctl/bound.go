package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"quaydock/pkg/loadmodel"
)

// printBound simulates a described load against a planner and prints, by kind of request, the outcomes
// and an upper bound of what any scheduler could earn.
func printBound(_ context.Context, args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("quayctl bound", flag.ContinueOnError)
	times := flags.Float64("times", 1, "multiply the request rates of the file by so many `times`")
	seed := flags.Uint64("seed", 0, "the `seed` of the random draws, instead of the one in the file")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	if flags.NArg() != 1 || *times <= 0 {
		return fmt.Errorf("%w: bound takes the description of a load, and times above 0", errUsage)
	}
	file, err := os.Open(flags.Arg(0))
	if err != nil {
		return fmt.Errorf("reading the load: %w", err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
	load, err := loadmodel.Read(file)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalid, err)
	}
	for i := range load.Kinds {
		load.Kinds[i].PerSecond *= *times
	}
	if *seed != 0 {
		load.Seed = *seed
	}
	return writeBound(out, loadmodel.Simulate(load, loadmodel.Observer{}), loadmodel.UpperBound(load))
}

// writeBound prints the results of the simulation and of the upper bound by kind, and their sums.
func writeBound(out io.Writer, simulated, bound loadmodel.Result) error {
	err := printTable(out, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "kind\tasked\tin time\tlate\trefused\trefused again\tlost\tearned\tbound\tnet\t")
		upperBounds := append(bound.Outcomes, bound.Total())
		for i, o := range append(simulated.Outcomes, simulated.Total()) {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t\n", o.Kind, o.Callers,
				percent(o.InTime, o.Callers), percent(o.Late, o.Callers), percent(o.Refused, o.Callers), percent(o.RefusedAgain, o.Callers), percent(o.Lost, o.Callers),
				o.EarnedFraction(), upperBounds[i].EarnedFraction(), o.NetFraction())
		}
	})
	if err != nil {
		return err
	}
	report(out, "earned, bound, net: parts of what all in time would have been worth; net is less what it costs callers to wait or come back for nothing")
	return nil
}

// percent formats n as a percentage of a total, 0.0% if both are 0.
func percent(n, of int) string {
	const hundred = 100
	return fmt.Sprintf("%.1f%%", hundred*float64(n)/float64(max(1, of)))
}
