// Package load sends a limited load to an OpenAI-compatible endpoint and measures the
// answers. It accepts loopback addresses only.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

const (
	maxLatency        = time.Minute
	significantDigits = 3
	maxRequests       = 5_000_000
)

// Plan describes the requests to send.
type Plan struct {
	URL         string
	Key         string
	Model       string
	Requests    int
	Concurrency int
	MaxTokens   int
	PromptBytes int
	Stream      bool
}

// Result holds the measurements. Latencies are in microseconds.
type Result struct {
	Requests  int64
	Failed    int64
	Elapsed   time.Duration
	Latency   *hdrhistogram.Histogram
	FirstByte *hdrhistogram.Histogram
}

// PerSecond returns the rate of complete answers.
func (r *Result) PerSecond() float64 {
	return float64(r.Requests-r.Failed) / r.Elapsed.Seconds()
}

// Check returns an error for a plan with counts out of range or an address other than the loopback.
func (p *Plan) Check() error {
	u, err := url.Parse(p.URL)
	if err != nil {
		return fmt.Errorf("parsing the URL: %w", err)
	}
	ip := net.ParseIP(u.Hostname())
	if ip == nil || !ip.IsLoopback() {
		return errors.NotValidf("host %q: load goes to the loopback only", u.Hostname())
	}
	if p.Requests < 1 || p.Requests > maxRequests || p.Concurrency < 1 {
		return errors.NotValidf("%d requests by %d callers", p.Requests, p.Concurrency)
	}
	return nil
}

// Run sends the load. Each of the concurrent callers sends one request after the other.
func Run(ctx context.Context, p Plan) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("checking the plan: %w", err)
	}
	g := &generator{plan: p, body: p.body(), remaining: int64(p.Requests)}
	g.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: p.Concurrency,
		DisableCompression:  true,
	}}
	defer g.client.CloseIdleConnections()
	callers := make([]*caller, p.Concurrency)
	start := time.Now()
	var running sync.WaitGroup
	for i := range callers {
		callers[i] = newCaller(g)
		running.Go(func() { callers[i].run(ctx) })
	}
	running.Wait()
	return g.merge(callers, time.Since(start)), nil
}

func (p *Plan) body() []byte {
	prompt := bytes.Repeat([]byte("x"), p.PromptBytes)
	return fmt.Appendf(nil, `{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`,
		p.Model, p.Stream, p.MaxTokens, prompt)
}

type generator struct {
	plan      Plan
	body      []byte
	remaining int64
	client    *http.Client
}

func (g *generator) merge(callers []*caller, elapsed time.Duration) *Result {
	r := &Result{Elapsed: elapsed, Latency: newHistogram(), FirstByte: newHistogram()}
	for _, c := range callers {
		r.Requests += c.sent
		r.Failed += c.failed
		r.Latency.Merge(c.latency)
		r.FirstByte.Merge(c.firstByte)
	}
	return r
}

// caller is one caller. It has its own measurements, so that callers need no lock.
type caller struct {
	*generator
	sent, failed int64
	latency      *hdrhistogram.Histogram
	firstByte    *hdrhistogram.Histogram
	buffer       []byte
}

const readBytes = 16 << 10

func newCaller(g *generator) *caller {
	return &caller{generator: g, latency: newHistogram(), firstByte: newHistogram(), buffer: make([]byte, readBytes)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func (c *caller) run(ctx context.Context) {
	for atomic.AddInt64(&c.remaining, -1) >= 0 && ctx.Err() == nil {
		c.sent++
		if err := c.call(ctx); err != nil {
			c.failed++
		}
	}
}

func (c *caller) call(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.plan.URL, bytes.NewReader(c.body))
	if err != nil {
		return fmt.Errorf("building the request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.plan.Key)
	request.Header.Set("Content-Type", "application/json")
	start := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("sending the request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	first := true
	for {
		n, err := response.Body.Read(c.buffer)
		if first && n > 0 {
			first = false
			record(c.firstByte, time.Since(start))
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return fmt.Errorf("reading the answer: %w", err)
		}
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	record(c.latency, time.Since(start))
	return nil
}

func record(h *hdrhistogram.Histogram, latency time.Duration) {
	// A latency above the histogram's maximum counts as the maximum.
	_ = h.RecordValue(min(latency, maxLatency).Microseconds())
}
