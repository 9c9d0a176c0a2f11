package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"quaydock/pkg/operators"
	"quaydock/pkg/rollout"
)

// showRollouts prints the state, the evidence and what is still missing of each roll-out that an entry
// knows of.
func showRollouts(ctx context.Context, args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("quayctl rollout", flag.ContinueOnError)
	at := flags.String("at", "127.0.0.1:9464", "the `address` of an entry's metrics")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	reports, err := fetchList[rollout.Report](ctx, *at, operators.PathRollouts)
	if err != nil {
		return fmt.Errorf("reading the roll-outs: %w", err)
	}
	if len(reports) == 0 {
		report(out, "no roll-out is known")
	}
	for i := range reports {
		if err := writeRollout(out, &reports[i]); err != nil {
			return err
		}
	}
	return nil
}

// writeRollout prints one report. Only the entry that evaluates a roll-out knows what is still missing.
func writeRollout(out io.Writer, r *rollout.Report) error {
	report(out, fmt.Sprintf("%s to %s: %s", r.Service, r.Version, r.State))
	return printTable(out, func(w io.Writer) {
		line := func(name, format string, values ...any) {
			_, _ = fmt.Fprintf(w, "  %s\t%s\n", name, fmt.Sprintf(format, values...))
		}
		if r.Why != "" {
			line("because", "%s", r.Why)
		}
		if r.EndsIn != 0 {
			line("time left", "%.1f s", r.EndsIn.Duration().Seconds())
		}
		line("answers", "%d, %d bad; %d targets, %d suspect", r.Evidence.Requests, r.Evidence.Bad, r.Evidence.Targets, r.Evidence.WorseTargets)
		for _, route := range r.Evidence.Routes {
			line("route "+string(route.Route), "%d answers, %d bad; old version %d, %d bad", route.Requests, route.Bad, route.Old, route.OldBad)
		}
		if r.Evaluates {
			line("judged here", "%.1f%% of requests go to it", 100*r.Fraction)
			line("speaks against it", "%s", orNothing(r.Suspicion))
			line("still missing", "%s", orNothing(strings.Join(r.Missing, "; ")))
		} else {
			line("judged", "at another entry, which knows what is still missing")
		}
		line("this entry", "%d requests since the order, %d to the new version; news %.1f s old", r.Reached, r.Sent, r.FeedAge.Duration().Seconds())
		if len(r.Barred) > 0 {
			line("barred", "%v", r.Barred)
		}
	})
}

func orNothing(text string) string {
	if text == "" {
		return "nothing"
	}
	return text
}
