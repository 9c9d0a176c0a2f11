package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/fairshare"
	"quaydock/pkg/operators"
	"quaydock/pkg/slowdown"
)

// showSlowed prints the targets that are slowed by their own reports in the services that an entry plans for. Only
// entries on the platform report them.
func showSlowed(ctx context.Context, at string, out io.Writer) error {
	services, _, err := fetchFromEntry[[]slowdown.ServiceReport](ctx, at, operators.PathSlowed)
	if err != nil {
		return fmt.Errorf("reading the slowed targets: %w", err)
	}
	var slowed []slowdown.ServiceReport
	var others []string
	for _, s := range services {
		if s.Slowed > 0 {
			slowed = append(slowed, s)
		} else {
			others = append(others, string(s.Service))
		}
	}
	if err := printSlowed(slowed, out); err != nil {
		return err
	}
	if len(others) > 0 {
		report(out, fmt.Sprintf("no target of %s is slowed by its own reports", strings.Join(others, ", ")))
	}
	return nil
}

// printSlowed prints the slowed targets of services that have some.
func printSlowed(services []slowdown.ServiceReport, out io.Writer) error {
	if len(services) == 0 {
		return nil
	}
	return printTable(out, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "slowed target\tservice\tstart\ttimes\tusually\treported")
		for _, s := range services {
			for _, t := range s.Slowest {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t%s ago\n", t.Target, s.Service, t.Start, t.Factor, t.Mean, seconds(t.Age))
			}
			if more := s.Slowed - len(s.Slowest); more > 0 {
				_, _ = fmt.Fprintf(w, "%d more\t%s\t\t\t\t\n", more, s.Service)
			}
		}
	})
}

// maxAccountsShown limits how many accounts of a tier of a service status prints; those that hold most come first.
const maxAccountsShown = 20

// showAccounts prints the shares of client accounts in the services that an entry plans for. Only entries on the
// platform report them.
func showAccounts(ctx context.Context, at string, out io.Writer) error {
	reports, _, err := fetchFromEntry[[]fairshare.Report](ctx, at, operators.PathAccounts)
	if err != nil {
		return fmt.Errorf("reading the shares of accounts: %w", err)
	}
	if len(reports) == 0 {
		return nil
	}
	return printTable(out, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "account\tservice\ttier\tshare\tuse\tdemand")
		for len(reports) > 0 {
			n := lengthOfTier(reports)
			showTier(w, reports[:n])
			reports = reports[n:]
		}
	})
}

// lengthOfTier returns how many reports at the beginning of a list are of the same tier of the same service.
func lengthOfTier(reports []fairshare.Report) int {
	for i, r := range reports {
		if r.Service != reports[0].Service || r.Tier != reports[0].Tier {
			return i
		}
	}
	return len(reports)
}

// showTier prints the accounts of one tier of a service, and how many it leaves out.
func showTier(w io.Writer, reports []fairshare.Report) {
	for _, r := range reports[:min(len(reports), maxAccountsShown)] {
		share := "no limit"
		if r.Share > 0 {
			share = fmt.Sprintf("%.1f", r.Share)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.1f\t%.1f\n", r.Account, r.Service, r.Tier, share, r.Use, r.Demand)
	}
	if more := len(reports) - maxAccountsShown; more > 0 {
		_, _ = fmt.Fprintf(w, "%d more\t%s\t%d\t\t\t\n", more, reports[0].Service, reports[0].Tier)
	}
}

// showBuffers prints the bytes that an entry holds for callers and targets, and its slowest callers. Only entries on the
// platform report them.
func showBuffers(ctx context.Context, at string, out io.Writer) error {
	r, known, err := fetchFromEntry[buffers.Report](ctx, at, operators.PathBuffers)
	if err != nil {
		return fmt.Errorf("reading the bytes held: %w", err)
	}
	if !known {
		return nil
	}
	report(out, fmt.Sprintf("held: %.1f of %.1f MiB (answers %.1f, request bodies %.1f of %.1f); callers slow to read: %d",
		mebibytes(r.Held.Answers+r.Held.Bodies), mebibytes(r.Limits.Total), mebibytes(r.Held.Answers), mebibytes(r.Held.Bodies), mebibytes(r.Limits.Bodies), r.Held.Readers))
	if r.Held.Incoming > 0 {
		report(out, fmt.Sprintf("held of answers that can't be passed on yet: %.1f of %.1f MiB", mebibytes(r.Held.Incoming), mebibytes(r.Limits.Incoming)))
	}
	if len(r.Slowest) == 0 {
		return nil
	}
	return printTable(out, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "slow caller holds\tbehind for\ttook nothing for")
		for _, reader := range r.Slowest {
			_, _ = fmt.Fprintf(w, "%d KiB\t%s\t%s\n", reader.Held/kibibyte, seconds(reader.Behind), seconds(reader.Untaken))
		}
	})
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// mebibytes converts bytes.
func mebibytes(bytes int) float64 { return float64(bytes) / mebibyte }

// seconds returns a time in words.
func seconds(t clock.Millis) string { return fmt.Sprintf("%.1f s", t.Duration().Seconds()) }
