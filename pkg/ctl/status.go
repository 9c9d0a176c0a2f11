package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"

	"quaydock/pkg/advisory"
	"quaydock/pkg/domains"
	"quaydock/pkg/operators"
)

const statusTimeout = 5 * time.Second

// status shows readiness and metrics of one process, and of an entry on the platform what its targets have told it.
func status(ctx context.Context, args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("quayctl status", flag.ContinueOnError)
	wait := flags.Duration("wait", 0, "how long to wait for the process to be ready")
	at := flags.String("at", "127.0.0.1:7401", "the operators' `address` of the process")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *wait+statusTimeout)
	defer cancel()
	awaitReady(ctx, *at, *wait)
	ready, _, err := get(ctx, *at, operators.PathReady)
	if err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	_, metrics, err := get(ctx, *at, operators.PathMetrics)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	word := "ready"
	if ready != http.StatusNoContent {
		word = "not ready"
	}
	report(out, fmt.Sprintf("%s %s\n%s", *at, word, metrics))
	if err := showAdvice(ctx, *at, out); err != nil {
		return err
	}
	return showDomains(ctx, *at, out)
}

// showDomains shows the failure domains that are drained or have cold targets; only entries on the platform know that.
func showDomains(ctx context.Context, at string, out io.Writer) error {
	all, _, err := toldByEntry[domains.Report](ctx, at, operators.PathDomains)
	if err != nil {
		return fmt.Errorf("failure domains: %w", err)
	}
	for _, r := range all {
		if r.Drained {
			report(out, fmt.Sprintf("failure domain %s is drained: its %d targets get no new requests", r.Domain, r.Targets))
		}
		if r.Cold > 0 {
			report(out, fmt.Sprintf("failure domain %s: %d of %d targets are cold and get few requests", r.Domain, r.Cold, r.Targets))
		}
	}
	return nil
}

// showAdvice shows the targets that leave, rest or are limited by their own word; only entries on the platform know that.
func showAdvice(ctx context.Context, at string, out io.Writer) error {
	targets, known, err := toldByEntry[advisory.Report](ctx, at, operators.PathAdvice)
	if err != nil {
		return fmt.Errorf("what targets say: %w", err)
	}
	if !known {
		return nil
	}
	if len(targets) == 0 {
		report(out, "no target leaves or rests by its own word, or names a limit")
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "target\tservice\tin the list\tby its own word") // Flush tells of errors
	for _, t := range targets {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", t.Target, t.Service, t.Listed, ownWord(t))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

// toldByEntry returns a list that only entries on the platform tell; known is false for other processes.
func toldByEntry[T any](ctx context.Context, at, path string) (told []T, known bool, err error) {
	code, document, err := get(ctx, at, path)
	if err != nil || code != http.StatusOK {
		return nil, false, err
	}
	if err := json.Unmarshal(document, &told); err != nil {
		return nil, false, fmt.Errorf("reading the answer: %w", err)
	}
	return told, true, nil
}

func ownWord(t advisory.Report) string {
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

// awaitReady returns when the process is ready or the time is over.
func awaitReady(ctx context.Context, at string, wait time.Duration) {
	const look = 50 * time.Millisecond
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(look) {
		if code, _, err := get(ctx, at, operators.PathReady); err == nil && code == http.StatusNoContent {
			return
		}
	}
}

func get(ctx context.Context, at, path string) (code int, body []byte, err error) {
	request, err := sling.New().Base("http://" + at).Get(path).Request()
	if err != nil {
		return 0, nil, fmt.Errorf("building the call: %w", err)
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

// list returns the entries of a list that a process tells operators.
func list[T any](ctx context.Context, at, path string) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, document, err := get(ctx, at, path)
	if err != nil {
		return nil, err
	}
	var entries []T
	if err := json.Unmarshal(document, &entries); err != nil {
		return nil, fmt.Errorf("reading the list of %s: %w", at, err)
	}
	return entries, nil
}
