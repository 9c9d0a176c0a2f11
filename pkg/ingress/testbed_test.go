package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"quaydock/pkg/advisory"
	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
	"quaydock/pkg/ingress"
	"quaydock/pkg/network"
	"quaydock/pkg/planner"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/telemetry"
	"quaydock/pkg/view"
)

// testCodec is a HeaderCodec with plain header names for tests. Wait is the caller's deadline, Left the time that a
// target is told to have, and Rest its back-off, all in ms; Last is the id of the last event that the caller has, and
// Resumes the request that brought the first one.
type testCodec struct{}

func (testCodec) Describe(h http.Header) ingress.Call {
	wait, _ := strconv.Atoi(h.Get("Wait"))
	return ingress.Call{ID: h.Get("Id"), Key: h.Get("Key"), Deadline: clock.Millis(wait), LastEvent: h.Get("Last"), Resumes: h.Get("Resumes")}
}

func (testCodec) TargetHeaders(h http.Header, to ingress.TargetCall) http.Header {
	forwarded := h.Clone()
	forwarded.Del("Key")
	forwarded.Set("Account", string(to.Account))
	forwarded.Set("Target", string(to.Target))
	forwarded.Set("Left", strconv.Itoa(int(to.Remaining)))
	if to.LastEvent != "" {
		forwarded.Set("Last", to.LastEvent)
	}
	return forwarded
}

func (testCodec) AnswerMetadata(h http.Header) forward.AnswerMetadata {
	rest, _ := strconv.Atoi(h.Get("Rest")) // in ms; none is 0
	return forward.AnswerMetadata{ID: h.Get("Id"), Target: ids.Target(h.Get("Target")), NotRun: h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != "", Backoff: clock.Millis(rest)}
}

func (testCodec) CopyAnswer(from, to http.Header) {
	for _, name := range []string{"Id", "Seal", "Content-Type"} {
		if v := from.Get(name); v != "" {
			to.Set(name, v)
		}
	}
}

// fakeMeter is a meter that refuses the accounts it names, with 1,500 ms to wait. It also implements Entries, with a
// share of 1 and no membership lease unless it names the pseudo-accounts below.
type fakeMeter map[ids.Account]bool

func (f fakeMeter) Take(_ context.Context, a *routing.Account, _, _ float64) (bool, clock.Millis) {
	return !f[a.Name], 1500
}
func (fakeMeter) Return(*routing.Account, float64, clock.Millis) {}
func (f fakeMeter) Share() float64 {
	if f[noShare] {
		return 0
	}
	return 1
}
func (f fakeMeter) HoldsLease(clock.Millis) bool { return f[alwaysLeased] }
func (f fakeMeter) OthersReady() bool            { return f[othersReady] }

// noShare is a pseudo-account of fakeMeter: the entry has no share of the allowances.
const noShare ids.Account = "shareless"

// alwaysLeased is a pseudo-account of fakeMeter: the entry always holds its membership lease.
const alwaysLeased ids.Account = "assured always"

// othersReady is a pseudo-account of fakeMeter: enough other entries are ready while this one drains.
const othersReady ids.Account = "others ready"

// orderedScheduler assigns requests to the targets in order, without those already tried.
type orderedScheduler struct {
	b            *testbed
	delay        time.Duration // before each assignment
	refuse       bool          // all requests
	redispatched ids.Target    // the target whose requests are re-dispatched after 300 ms
	placed       func()        // called before an assignment is returned
	// refuseRepeats refuses all requests for an assignment but the first, and repeatDelay delays all but the first.
	refuseRepeats bool
	repeatDelay   time.Duration
	mu            sync.Mutex            // guards refuseRepeats, repeatDelay and the fields below
	acquires      int                   // calls of Acquire
	outcomes      []string              // target and outcome of each assignment that has ended, in that order
	stats         []planner.StreamStats // of the same assignments
}

func (s *orderedScheduler) Acquire(ctx context.Context, ask schedule.Request) (schedule.Assignment, *schedule.Refused, error) {
	s.mu.Lock()
	s.acquires++
	later, delay := s.acquires > 1, s.delay
	if later {
		delay += s.repeatDelay
	}
	s.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, nil, context.Cause(ctx)
	}
	if s.refuses(later) {
		return nil, &schedule.Refused{Overloaded: true, RetryAfter: 2500}, nil // ms
	}
	for _, t := range s.b.listed() {
		if t.Leaving || !ask.MayGet(t) {
			continue
		}
		if s.placed != nil {
			s.placed()
		}
		return &orderedAssignment{s, t}, nil, nil
	}
	return nil, &schedule.Refused{RetryAfter: 500}, nil // no target is left; ms
}

// refuses reports whether to refuse a request for an assignment; later is false for the first one of the test.
func (s *orderedScheduler) refuses(later bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuse || later && s.refuseRepeats
}

// setRepeats changes the result of all requests for an assignment but the first.
func (s *orderedScheduler) setRepeats(refuse bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseRepeats, s.repeatDelay = refuse, delay
}

// orderedAssignment is an assignment of an orderedScheduler, which records its outcome there.
type orderedAssignment struct {
	s *orderedScheduler
	t *routing.Target
}

func (p *orderedAssignment) Target() *routing.Target { return p.t }
func (p *orderedAssignment) Began(*planner.Load)     {}
func (p *orderedAssignment) Redispatched() <-chan struct{} {
	if p.t.ID == p.s.redispatched {
		moved := make(chan struct{})
		time.AfterFunc(300*time.Millisecond, func() { close(moved) })
		return moved
	}
	return nil
}
func (p *orderedAssignment) Done(o planner.Outcome, stats planner.StreamStats) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.outcomes = append(p.s.outcomes, string(p.t.ID)+" "+o.String())
	p.s.stats = append(p.s.stats, stats)
}

// arrival is a request as it arrived at a target.
type arrival struct {
	target string
	start  ids.Start // of the incarnation that its connection was made to
	header http.Header
	body   string
	at     time.Time // when its body had arrived
}

// testbed is an entry's controller between callers and scripted targets.
type testbed struct {
	t          *testing.T
	network    *network.Memory
	view       *view.View
	scheduler  *orderedScheduler
	controller *ingress.Controller
	targets    []*routing.Target
	listeners  []net.Listener // of the targets, nil where nothing listens
	retries    *quota.RetryBudget
	clock      clock.Clock
	suspension *clock.Suspension
	advice     *advisory.Tracker
	routes     []*routing.Route
	accounts   []*routing.Account
	spans      *tracetest.SpanRecorder
	keepAlive  bool // callers use persistent connections
	logs       *logtest.Hook
	metrics    *telemetry.Metrics
	dialer     *slowDialer
	guard      *quarantine.Guard
	buffers    *buffers.Account
	path       string // of the request of TestDisturbancesOfRequestInProgress
	stopped    bool   // the server of callers has been shut down

	mu       sync.Mutex
	arrivals []arrival
	started  map[net.Conn]ids.Start // of the incarnation that accepted a connection
	// processes are those that answer at targets' addresses in place of the targets.
	processes map[string]string
}

// scriptedTarget answers one request; the connection is closed when it returns false.
type scriptedTarget func(c net.Conn, r *http.Request) bool

// slowDialer is the network as seen by the entry, with slow or failing connections.
type slowDialer struct {
	*network.Memory
	mu    sync.Mutex    // guards slow and fails
	slow  time.Duration // time to make a connection
	fails error         // error of further connections
}

func (d *slowDialer) set(slow time.Duration, fails error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow, d.fails = slow, fails
}

func (d *slowDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	slow, fails := d.slow, d.fails
	d.mu.Unlock()
	if fails != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: fails}
	}
	select {
	case <-time.After(slow):
	case <-ctx.Done():
		return nil, fmt.Errorf("connecting: %w", ctx.Err())
	}
	return d.Memory.Dial(ctx, address)
}

// entryAt is the address of the entry's listener for callers.
const entryAt = "10.0.0.1:80"

// extraRequests is how many requests beyond the connection limit of callers are served at once.
const extraRequests = 2

// newTestbed starts an entry and the targets t1, t2 and so on, each with its script; nothing listens at a target whose
// script is nil. Its routes are /unsafe/, /safe/, /stream/, /resume/ (a stream that may be resumed) and /open/ (safe,
// and without keys), its accounts acme with the key "key" and full with "fullkey". Times of routes are in ms, and
// retries are limited to 100 and a fifth of the requests in 10 s.
func newTestbed(t *testing.T, meter fakeMeter, engines ...scriptedTarget) *testbed {
	return newTestbedWithin(t, buffers.LimitsFor(0), meter, engines...)
}

// newTestbedWithin is newTestbed with limits for what the entry holds for callers and targets.
func newTestbedWithin(t *testing.T, limits buffers.Limits, meter fakeMeter, engines ...scriptedTarget) *testbed {
	b := &testbed{t: t, network: network.NewMemory(nil), started: make(map[net.Conn]ids.Start), processes: make(map[string]string)}
	b.dialer = &slowDialer{Memory: b.network}
	c := commontest.New(b.dialer)
	b.spans = tracetest.NewSpanRecorder()
	c.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(b.spans)).Tracer("test")
	c.Clock, b.suspension = clock.NewSuspendable()
	b.clock = c.Clock
	b.logs = logtest.NewLocal(c.Log.Logger)
	b.metrics = c.Metrics
	b.view = view.New(c.Check)
	b.scheduler = &orderedScheduler{b: b}
	for i, e := range engines {
		b.serve(i, e)
	}
	b.view.SetDirectory(routing.NewDirectory(b.targets))
	b.routes = []*routing.Route{
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: routing.Unsafe, Timeout: 5000, Objective: 500, Attempts: 1},
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routing.Safe, Timeout: 5000, Objective: 500, Attempts: 2},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Stream, Timeout: 5000, Objective: 500, Attempts: 1},
		{Name: "resume", Host: "h", Prefix: "/resume/", Kind: routing.Stream, Timeout: 5000, Objective: 500, Attempts: 2, Resumable: true},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: routing.Safe, Timeout: 5000, Objective: 500, Attempts: 1, Anonymous: true},
	}
	for _, r := range b.routes {
		r.Split = []routing.WeightedService{{Service: "s", Weight: 1}}
	}
	b.accounts = []*routing.Account{{Name: "acme", Keys: []string{"key"}}, {Name: "full", Keys: []string{"fullkey"}}}
	b.configure(1)
	b.view.Confirmed(b.clock.Now())
	b.advice = advisory.NewTracker(c)
	b.buffers = buffers.NewAccount(limits)
	pool := forward.NewPoolWithin(c, func(h map[string][]string) forward.AnswerMetadata { return testCodec{}.AnswerMetadata(h) }, askWho, b.advice, b.buffers)
	b.retries = quota.NewRetryBudget(quota.RetryBounds{Ratio: 0.2, Slack: 100, Window: 10 * clock.Second}, c.Clock.Now()-10*clock.Second)
	b.guard = quarantine.New(quarantine.Dependencies{Common: c})
	b.controller = ingress.NewController(ingress.Dependencies{
		Common: c, View: b.view, HeaderCodec: testCodec{}, Scheduler: b.scheduler, Pool: pool, Meter: meter, Entries: meter,
		Retries: b.retries, Keys: ingress.KeyGrace{Limit: 5000, Strict: true}, MaxExtra: extraRequests,
		Advice: b.advice, Guard: b.guard, Buffers: b.buffers,
	})
	server := &http.Server{Handler: b.controller, BaseContext: func(net.Listener) context.Context { return b.controller.Context() }, ConnContext: network.WithConn}
	listener, err := b.network.Listen(entryAt)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ingress.BufferedListener{Listener: listener}) }()
	t.Cleanup(func() {
		_ = server.Close()
		pool.Close()
		time.Sleep(10 * time.Second) // until all targets have finished
		if held := b.buffers.Usage(); held != (buffers.Usage{}) {
			t.Errorf("at the end there are buffers left: %+v", held)
		}
	})
	return b
}

// configure puts the testbed's routes and accounts into force, if the revision is above the present one.
func (b *testbed) configure(revision routing.Revision) {
	b.view.SetCatalog(routing.NewCatalog(revision, routing.Limits{BodyBytes: 1 << 16}, b.routes, nil, routing.Accounts{List: b.accounts}))
}

// serve lists the target with index i, and lets it answer by its script, if it has one.
func (b *testbed) serve(i int, e scriptedTarget) {
	address := fmt.Sprintf("10.0.1.%d:80", i+1)
	target := &routing.Target{ID: ids.Target(fmt.Sprint("t", i+1)), Service: "s", Address: address, Slots: 4}
	b.targets = append(b.targets, target)
	b.listeners = append(b.listeners, nil)
	if e == nil {
		return // nothing listens at the address
	}
	listener, err := b.network.Listen(address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = listener.Close() })
	b.listeners[i] = listener
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.started[c] = b.targets[i].Start
			b.mu.Unlock()
			go b.serveConn(c, string(target.ID), e)
		}
	}()
}

// serveConn records the requests on a connection and has them answered, until the script returns false.
func (b *testbed) serveConn(c net.Conn, target string, e scriptedTarget) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == pathWho {
			if !b.saysWho(c, target) {
				return
			}
			continue
		}
		b.mu.Lock()
		b.arrivals = append(b.arrivals, arrival{target: target, start: b.started[c], header: r.Header, body: string(body), at: time.Now()})
		b.mu.Unlock()
		if !e(c, r) {
			return
		}
	}
}

// pathWho is where targets say who they are, in the header field Target.
const pathWho = "/who"

// askWho returns the request that a target answers with its id.
func askWho(*routing.Target) *forward.Request {
	return &forward.Request{Method: "GET", Path: pathWho, Host: "h"}
}

// saysWho has the process at a target's address say who it is, and reports whether its connection goes on.
func (b *testbed) saysWho(c net.Conn, target string) bool {
	b.mu.Lock()
	process, other := b.processes[target]
	b.mu.Unlock()
	if !other {
		process = target
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nTarget: %s\r\nContent-Length: 0\r\n\r\n", process)
	return err == nil
}

// replace has another process answer at a target's address from now on.
func (b *testbed) replace(target, process string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes[target] = process
}

// arrived returns the requests that have arrived at all targets so far, in that order.
func (b *testbed) arrived() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals
}

// listed returns the newest list of targets.
func (b *testbed) listed() []*routing.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.targets)
}

// reply is the answer that a caller got.
type reply struct {
	status   int // 0 if there was no answer
	header   http.Header
	body     string // as far as it arrived
	complete bool
	closes   bool // the answer closes the connection
	took     time.Duration
}

// call makes one request on a connection of its own.
func (b *testbed) call(ctx context.Context, path string, header map[string]string) reply {
	transport := &http.Transport{
		DisableKeepAlives: !b.keepAlive,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return b.network.Dial(ctx, entryAt)
		},
	}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader("question"))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "key")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	began := time.Now()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return reply{took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil, closes: response.Close, took: time.Since(began)}
}

// Behaviours of scripted targets.

// replies answers at once, with the given header lines, each with its line end.
func replies(status int, header, body string) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSeal: s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), header, len(body), body)
		return true
	}
}

// closesUnanswered closes the connection when it has read the request.
func closesUnanswered(net.Conn, *http.Request) bool { return false }

// silent sends nothing until the other end closes the connection.
func silent(c net.Conn, _ *http.Request) bool {
	_, _ = c.Read(make([]byte, 1)) // until the connection ends
	return false
}

// streams sends the events after the last one that the caller has, up to the tenth. It breaks off in the middle of the
// event numbered cut, and not at all if that is 0.
func streams(cut int) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), cut)
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		for n := last + 1; n <= 10; n++ {
			text := fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n)
			if n == cut {
				text = text[:len(text)/2]
			}
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
			if n == cut {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}
