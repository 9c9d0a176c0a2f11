package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"quaydock/pkg/operators"
	"quaydock/pkg/quarantine"
)

// showQuarantine lists the requests and parts of prompts that an entry has in quarantine, or has it release one of them.
func showQuarantine(ctx context.Context, args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("quayctl quarantine", flag.ContinueOnError)
	at := flags.String("at", "127.0.0.1:9464", "the `address` of an entry's metrics")
	release := flags.String("release", "", "the `digest` of a request or part to release from quarantine")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	if *release != "" {
		return releaseRequest(ctx, *at, *release, out)
	}
	reports, err := fetchList[quarantine.Report](ctx, *at, operators.PathQuarantine)
	if err != nil {
		return fmt.Errorf("reading the quarantined requests: %w", err)
	}
	if len(reports) == 0 {
		report(out, "no request is held back")
		return nil
	}
	return writeQuarantine(out, reports)
}

// releaseRequest has an entry release a request from quarantine. That entry notifies the others.
func releaseRequest(ctx context.Context, at, digest string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	address := "http://" + at + operators.PathQuarantine + "?" + url.Values{"digest": {digest}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return fmt.Errorf("releasing a request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("releasing a request: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read as far as it is used
	if response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(response.Body) // without a body the error has only the status
		return fmt.Errorf("releasing a request: status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	report(out, "let go at all entries: "+digest)
	return nil
}

// writeQuarantine prints the requests in quarantine with the targets that ended under them.
func writeQuarantine(out io.Writer, reports []quarantine.Report) error {
	return printTable(out, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "digest\taccount\troute\tpart\tservice\tfor\tmay run in\tended targets")
		for i := range reports {
			r := &reports[i]
			var targets []string
			for _, e := range r.Ends {
				targets = append(targets, string(e.Incarnation.Target))
			}
			part := ""
			if r.Service != "" {
				part = r.Part.String()
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f s\t%.0f s\t%s\n", r.Digest, r.Account, r.Route, part, r.Service,
				r.For.Duration().Seconds(), r.RetryIn.Duration().Seconds(), strings.Join(targets, " "))
		}
	})
}
