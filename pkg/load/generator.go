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
	maxLatency        = time.Minute // longer latencies count as this one
	significantDigits = 3           // of the latencies in histograms
	maxRequests       = 5_000_000   // of one plan
)

// Plan describes the requests to send.
type Plan struct {
	URL         string // of a loopback address
	Key         string // the API key
	Model       string
	Requests    int // in total
	Concurrency int // number of concurrent callers
	MaxTokens   int // of each answer
	PromptBytes int
	Stream      bool
}

// Result holds the measurements. Latencies are in microseconds.
type Result struct {
	Requests int64 // sent, including failed ones
	Failed   int64 // without a complete answer of status 200
	Elapsed  time.Duration
	// Latency is the time to the end of each answer that did not fail, FirstByte that to the first byte of each
	// body that began.
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

// Run sends the load. Each of the concurrent callers sends one request after the other. The end of ctx ends the load
// early; failed requests are counted and give no error.
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

// body returns the body that all requests share.
func (p *Plan) body() []byte {
	prompt := bytes.Repeat([]byte("x"), p.PromptBytes)
	return fmt.Appendf(nil, `{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`,
		p.Model, p.Stream, p.MaxTokens, prompt)
}

// generator is what the callers share.
type generator struct {
	plan      Plan
	body      []byte
	remaining int64 // requests that no caller has taken yet, below 0 at the end; accessed atomically
	client    *http.Client
}

// merge adds up the measurements of all callers.
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
	sent, failed int64                   // requests, as in Result
	latency      *hdrhistogram.Histogram // in microseconds, as are those of firstByte
	firstByte    *hdrhistogram.Histogram
	buffer       []byte // takes the parts of an answer, which are discarded
}

// readBytes is how much of an answer one read takes at most.
const readBytes = 16 << 10

func newCaller(g *generator) *caller {
	return &caller{generator: g, latency: newHistogram(), firstByte: newHistogram(), buffer: make([]byte, readBytes)}
}

// newHistogram returns a histogram of latencies from 1 µs to maxLatency.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// run sends requests until all are taken or ctx ends.
func (c *caller) run(ctx context.Context) {
	for atomic.AddInt64(&c.remaining, -1) >= 0 && ctx.Err() == nil {
		c.sent++
		if err := c.call(ctx); err != nil {
			c.failed++
		}
	}
}

// call sends a request and reads the answer to its end. It fails unless the status is 200.
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

// record adds a latency in microseconds.
func record(h *hdrhistogram.Histogram, latency time.Duration) {
	// A latency above the histogram's maximum counts as the maximum.
	_ = h.RecordValue(min(latency, maxLatency).Microseconds())
}
