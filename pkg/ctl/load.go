package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"

	"quaydock/pkg/load"
)

// sendLoad sends bounded load and prints one line of figures.
func sendLoad(ctx context.Context, args []string, out, errs io.Writer) error {
	var p load.Plan
	flags := flag.NewFlagSet("quayctl load", flag.ContinueOnError)
	flags.StringVar(&p.URL, "url", "http://127.0.0.1:7400/v1/chat/completions", "where to send")
	flags.StringVar(&p.Key, "key", "local-key", "the account's key")
	flags.StringVar(&p.Model, "model", "chart-small", "the model")
	flags.IntVar(&p.Requests, "requests", 1000, "how many requests in all")
	flags.IntVar(&p.Concurrency, "concurrency", 1, "how many callers at once")
	flags.IntVar(&p.MaxTokens, "tokens", 1, "tokens of each answer")
	flags.IntVar(&p.PromptBytes, "prompt", 100, "bytes of each prompt")
	flags.BoolVar(&p.Stream, "stream", false, "ask for a stream")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	r, err := load.Run(ctx, p)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	report(out, fmt.Sprintf("requests %d failed %d per_second %.0f p50_us %d p99_us %d first_p50_us %d first_p99_us %d",
		r.Requests, r.Failed, r.PerSecond(), r.Latency.ValueAtQuantile(50), r.Latency.ValueAtQuantile(99),
		r.FirstByte.ValueAtQuantile(50), r.FirstByte.ValueAtQuantile(99)))
	return nil
}
