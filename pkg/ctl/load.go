package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"

	"quaydock/pkg/load"
)

// sendLoad sends a limited number of requests and prints rates and latencies in one line.
func sendLoad(ctx context.Context, args []string, out, errs io.Writer) error {
	var p load.Plan
	flags := flag.NewFlagSet("quayctl load", flag.ContinueOnError)
	flags.StringVar(&p.URL, "url", "http://127.0.0.1:7400/v1/chat/completions", "the URL that requests are sent to")
	flags.StringVar(&p.Key, "key", "local-key", "the API key of the client account")
	flags.StringVar(&p.Model, "model", "chart-small", "the model")
	flags.IntVar(&p.Requests, "requests", 1000, "total number of requests")
	flags.IntVar(&p.Concurrency, "concurrency", 1, "number of concurrent callers")
	flags.IntVar(&p.MaxTokens, "tokens", 1, "number of tokens of each answer")
	flags.IntVar(&p.PromptBytes, "prompt", 100, "length of each prompt in bytes")
	flags.BoolVar(&p.Stream, "stream", false, "ask for streamed answers")
	if err := parse(flags, args, errs); err != nil {
		return err
	}
	r, err := load.Run(ctx, p)
	if err != nil {
		return fmt.Errorf("sending load: %w", err)
	}
	report(out, fmt.Sprintf("requests %d failed %d per_second %.0f p50_us %d p99_us %d first_p50_us %d first_p99_us %d",
		r.Requests, r.Failed, r.PerSecond(), r.Latency.ValueAtQuantile(50), r.Latency.ValueAtQuantile(99),
		r.FirstByte.ValueAtQuantile(50), r.FirstByte.ValueAtQuantile(99)))
	return nil
}
