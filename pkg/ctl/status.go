package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"quaydock/pkg/advisory"
	"quaydock/pkg/domains"
	"quaydock/pkg/operators"
)

// statusTimeout limits a command's calls to a process's operators' address. The time given by -wait is added.
const statusTimeout = 5 * time.Second

// status prints readiness and metrics of one process, and for an entry on the platform also the advice of its targets,
// which of them are slowed, the shares of client accounts, the bytes held and the state of failure domains.
func status(ctx context.Context, args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("quayctl status", flag.ContinueOnError)
	wait := flags.Duration("wait", 0, "how long to wait for the process to become ready")
	at := flags.String("at", "127.0.0.1:7401", "the operators' `address` of the process")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *wait+statusTimeout)
	defer cancel()
	awaitReady(ctx, *at, *wait)
	ready, _, err := get(ctx, *at, operators.PathReady)
	if err != nil {
		return fmt.Errorf("reading readiness: %w", err)
	}
	_, metrics, err := get(ctx, *at, operators.PathMetrics)
	if err != nil {
		return fmt.Errorf("reading metrics: %w", err)
	}
	readiness := "ready"
	if ready != http.StatusNoContent {
		readiness = "not ready"
	}
	report(out, fmt.Sprintf("%s %s\n%s", *at, readiness, metrics))
	for _, show := range []func(context.Context, string, io.Writer) error{showAdvice, showSlowed, showAccounts, showBuffers, showDomains} {
		if err := show(ctx, *at, out); err != nil {
			return err
		}
	}
	return nil
}

// showDomains prints the failure domains that are drained or have cold targets. Only entries on the platform report
// them.
func showDomains(ctx context.Context, at string, out io.Writer) error {
	reports, _, err := fetchFromEntry[[]domains.Report](ctx, at, operators.PathDomains)
	if err != nil {
		return fmt.Errorf("reading the failure domains: %w", err)
	}
	for _, r := range reports {
		if r.Drained {
			report(out, fmt.Sprintf("failure domain %s is drained: its %d targets get no new requests", r.Domain, r.Targets))
		}
		if r.Cold > 0 {
			report(out, fmt.Sprintf("failure domain %s: %d of %d targets are cold and get few requests", r.Domain, r.Cold, r.Targets))
		}
	}
	return nil
}

// showAdvice prints the targets that are leaving, backed off or limited by their own report. Only entries on the
// platform report them.
func showAdvice(ctx context.Context, at string, out io.Writer) error {
	targets, known, err := fetchFromEntry[[]advisory.Report](ctx, at, operators.PathAdvice)
	if err != nil {
		return fmt.Errorf("reading the advice of targets: %w", err)
	}
	if !known {
		return nil
	}
	if len(targets) == 0 {
		report(out, "no target leaves or rests by its own word, or names a limit")
		return nil
	}
	return printTable(out, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "target\tservice\tin the list\tby its own word")
		for _, t := range targets {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", t.Target, t.Service, t.Listed, describeAdvice(t))
		}
	})
}

// fetchFromEntry fetches a page that only entries on the platform serve. known is false, without an error, if the
// status of the answer is not 200, as with other processes.
func fetchFromEntry[T any](ctx context.Context, at, path string) (page T, known bool, err error) {
	code, document, err := get(ctx, at, path)
	if err != nil || code != http.StatusOK {
		return page, false, err
	}
	if err := json.Unmarshal(document, &page); err != nil {
		return page, false, fmt.Errorf("parsing the answer: %w", err)
	}
	return page, true, nil
}

// describeAdvice puts the advice of one target into words.
func describeAdvice(t advisory.Report) string {
	var words []string
	if t.Leaving {
		words = append(words, "leaves")
	}
	if t.Backoff > 0 {
		words = append(words, fmt.Sprintf("rests for %.1f s", t.Backoff.Duration().Seconds()))
	}
	if t.Limited {
		words = append(words, fmt.Sprintf("takes %g requests a second", t.Limit))
	}
	return strings.Join(words, ", ")
}

// awaitReady returns once the process is ready, or after wait.
func awaitReady(ctx context.Context, at string, wait time.Duration) {
	const pollInterval = 50 * time.Millisecond
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(pollInterval) {
		if code, _, err := get(ctx, at, operators.PathReady); err == nil && code == http.StatusNoContent {
			return
		}
	}
}

// get reads a path of a process's operators' address. An answer of any status is no error.
func get(ctx context.Context, at, path string) (code int, body []byte, err error) {
	request, err := sling.New().Base("http://" + at).Get(path).Request()
	if err != nil {
		return 0, nil, fmt.Errorf("building the request: %w", err)
	}
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return 0, nil, fmt.Errorf("calling %s: %w", at, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("reading from %s: %w", at, err)
	}
	return response.StatusCode, body, nil
}

// fetchList fetches a JSON list from a process's operators' address within statusTimeout.
func fetchList[T any](ctx context.Context, at, path string) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, document, err := get(ctx, at, path)
	if err != nil {
		return nil, err
	}
	var items []T
	if err := json.Unmarshal(document, &items); err != nil {
		return nil, fmt.Errorf("parsing the list of %s: %w", at, err)
	}
	return items, nil
}
