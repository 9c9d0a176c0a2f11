package ctl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"quaydock/pkg/fairshare"
	"quaydock/pkg/operators"
)

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
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "account\tservice\ttier\tshare\tuse\tdemand") // Flush returns write errors
	for len(reports) > 0 {
		n := lengthOfTier(reports)
		showTier(w, reports[:n])
		reports = reports[n:]
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
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
