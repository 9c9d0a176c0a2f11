package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/commontest"
	"quaydock/pkg/descriptors"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
	"quaydock/pkg/ingress"
	"quaydock/pkg/network"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
)

const (
	// descriptorLimit is the entry's limit of descriptors in TestEntryAtDescriptorLimit.
	descriptorLimit = 64
	// crowdSize is how many callers come at once.
	crowdSize = 400
	// crowdDeadline is how long each of them stays.
	crowdDeadline = time.Second
	// targetVariable and storeVariable name the environment variables with the addresses for the entry's process.
	targetVariable = "QUAYDOCK_TEST_TARGET"
	storeVariable  = "QUAYDOCK_TEST_STORE"
)

// TestMain runs the entry's process instead of the tests if the environment names a target for it.
func TestMain(m *testing.M) {
	if target := os.Getenv(targetVariable); target != "" {
		os.Exit(runEntryProcess(target, os.Getenv(storeVariable)))
	}
	os.Exit(m.Run())
}

// runEntryProcess is the main function of an entry with few descriptors, and returns its exit code. It prints its
// address, connects to a stand-in of the store all the while, and prints how often that failed when its input ends.
func runEntryProcess(target, store string) int {
	limit := syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	tcp := network.NewTCP()
	c := commontest.New(tcp)
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	logger.SetFormatter(&logrus.JSONFormatter{})
	c.Log = logrus.NewEntry(logger)
	listener, err := tcp.Listen("127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	go newLimitedServer(c, singleTargetController(c, target, fakeMeter{}), descriptorLimit).Serve(listener)
	fmt.Println(listener.Addr())
	ctx, stop := context.WithCancel(context.Background())
	var dialing sync.WaitGroup
	failed := 0
	dialing.Go(func() { failed = dialStore(ctx, tcp, store) })
	_, _ = io.Copy(io.Discard, os.Stdin)
	stop()
	dialing.Wait()
	fmt.Println(failed)
	return 0
}

// dialStore connects to the store repeatedly, and returns how often that failed.
func dialStore(ctx context.Context, dialer network.Network, store string) int {
	failed := 0
	for ctx.Err() == nil {
		c, err := dialer.Dial(ctx, store)
		if err == nil {
			_ = c.Close()
		} else if ctx.Err() == nil {
			failed++
		}
		clock.Pause(ctx, 20*clock.Millisecond)
	}
	return failed
}

// singleTargetController returns a controller with one target, to which each request is assigned at once.
func singleTargetController(c common.Common, address string, meter ingress.Meter) *ingress.Controller {
	v := view.New(c.Check)
	target := &routing.Target{ID: "t", Service: "s", Address: address, Slots: 4}
	v.SetDirectory(routing.NewDirectory([]*routing.Target{target}))
	routes := []*routing.Route{
		{Name: "call", Host: "h", Prefix: "/call/", Kind: routing.Safe, Timeout: 5000, Objective: 500, Attempts: 1, Split: []routing.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Stream, Timeout: 10_000, Objective: 500, Attempts: 1, Split: []routing.WeightedService{{Service: "s", Weight: 1}}},
	}
	v.SetCatalog(routing.NewCatalog(1, routing.Limits{}, routes, nil, routing.Accounts{List: []*routing.Account{{Name: "acme", Keys: []string{"key"}}}}))
	v.Confirmed(c.Clock.Now())
	scheduler := &orderedScheduler{b: &testbed{targets: []*routing.Target{target}}, redispatched: ids.Target("none")}
	return ingress.NewController(ingress.Dependencies{
		Common: c, View: v, HeaderCodec: testCodec{}, Scheduler: scheduler, Meter: meter, Entries: fakeMeter{},
		Pool:    forward.NewPool(c, func(h map[string][]string) forward.AnswerMetadata { return testCodec{}.AnswerMetadata(h) }, askWho, nil),
		Retries: quota.NewRetryBudget(quota.RetryBounds{Ratio: 0.2, Slack: 100, Window: 10 * clock.Second}, c.Clock.Now()-10*clock.Second), Keys: ingress.KeyGrace{Limit: clock.Minute},
	})
}

// entryProcess is an entry that runs in a process of its own.
type entryProcess struct {
	address  string
	command  *exec.Cmd
	stdin    io.Closer
	stdout   *bufio.Reader
	logLines chan []string // its log, sent when it has ended
}

// startEntryProcess starts this test's binary as an entry, given the addresses of its target and its store.
func startEntryProcess(t *testing.T, target, store string) *entryProcess {
	e := &entryProcess{command: exec.CommandContext(t.Context(), os.Args[0]), logLines: make(chan []string, 1)}
	// One processor, as most entries have, so that net/http's background readers may be scheduled late.
	e.command.Env = append(os.Environ(), targetVariable+"="+target, storeVariable+"="+store, "GOMAXPROCS=1")
	stdin, err := e.command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := e.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	stderr, err := e.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := e.command.Start(); err != nil {
		t.Fatal(err)
	}
	e.stdin = stdin
	e.stdout = bufio.NewReader(stdout)
	go func() {
		text, _ := io.ReadAll(stderr)
		e.logLines <- strings.Split(strings.TrimSpace(string(text)), "\n")
	}()
	e.address = e.readLine(t)
	return e
}

// readLine returns the next line that the entry prints.
func (e *entryProcess) readLine(t *testing.T) string {
	text, err := e.stdout.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(text)
}

// stop stops the entry and returns how often it could not reach the store, and its log.
func (e *entryProcess) stop(t *testing.T) (storeFailures string, lines []string) {
	_ = e.stdin.Close()
	storeFailures = e.readLine(t)
	lines = <-e.logLines
	if err := e.command.Wait(); err != nil {
		t.Error(err)
	}
	return storeFailures, lines
}

// recordingTarget records when each request arrives, by the request's id. It answers a call after 50 ms, and a stream
// with 40 events within 2 s.
type recordingTarget struct {
	mu      sync.Mutex // guards arrived
	arrived map[string]time.Time
}

func (s *recordingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	s.mu.Lock()
	s.arrived[id] = time.Now()
	s.mu.Unlock()
	w.Header().Set("Id", id)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range 40 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
		return
	}
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(w, "yes")
}

// arrivedAt returns when a request arrived, if it did.
func (s *recordingTarget) arrivedAt(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, arrived := s.arrived[id]
	return at, arrived
}

// callResult is the result of one caller's request.
type callResult struct {
	id       string
	status   int // 0 without an answer
	complete bool
	leftAt   time.Time // when the caller had closed its connection
}

// callOnce makes one request and keeps its connection open for the given time.
func callOnce(address, id, path string, stay time.Duration) callResult {
	v := callResult{id: id}
	deadline := time.Now().Add(stay)
	c, err := net.DialTimeout("tcp", address, stay)
	if err == nil {
		_ = c.SetDeadline(deadline)
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: key\r\nWait: %d\r\nContent-Length: 8\r\n\r\nquestion", path, id, stay.Milliseconds())
		if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			v.status, v.complete = response.StatusCode, err == nil
		}
		if v.status == http.StatusOK {
			time.Sleep(time.Until(deadline)) // the connection is idle
		}
		_ = c.Close()
	}
	v.leftAt = time.Now()
	return v
}

// serveLoopback serves on a free loopback port, and returns its address.
func serveLoopback(t *testing.T, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// After all other entries were lost, callers' connections used up an entry's descriptors. It accepted none for seconds,
// and wrote a log line every 10 ms. Requests waited in the kernel's backlog; once descriptors were free they counted as
// new, and were sent to targets after their callers had left. The causes: nothing kept callers from using all
// descriptors, and no check whether a caller is still connected preceded the sending of its request. In one recorded
// day the entry logged `accept4: too many open files` for 5 s, and then requests with 0.2 s since their first try,
// which their callers had sent 3.3 s and abandoned 1.3 s before.
func TestEntryAtDescriptorLimit(t *testing.T) {
	target := &recordingTarget{arrived: make(map[string]time.Time)}
	entry := startEntryProcess(t, serveLoopback(t, target), serveLoopback(t, http.NotFoundHandler()))
	stream := make(chan callResult, 1)
	go func() { stream <- callOnce(entry.address, "stream", "/stream/a", 3*time.Second) }()
	time.Sleep(200 * time.Millisecond)
	results := make([]callResult, crowdSize)
	var callers sync.WaitGroup
	for i := range results {
		callers.Go(func() { results[i] = callOnce(entry.address, fmt.Sprint("caller-", i), "/call/a", crowdDeadline) })
	}
	callers.Wait()
	after := callOnce(entry.address, "after", "/call/a", time.Second)
	streamed := <-stream
	storeFailures, lines := entry.stop(t)

	unanswered, late, served := 0, 0, 0
	for _, v := range results {
		if v.status == 0 {
			unanswered++
		}
		if v.status == http.StatusOK {
			served++
		}
		if at, sent := target.arrivedAt(v.id); sent && at.Sub(v.leftAt) > 20*time.Millisecond {
			late++
		}
	}
	t.Logf("%d of %d served, %d without an answer, %d log lines, %s failed connections to the store", served, crowdSize, unanswered, len(lines), storeFailures)
	if late > 0 {
		t.Errorf("%d requests reached the target after their callers had left", late)
	}
	if unanswered > 0 {
		t.Errorf("%d callers of %d had no answer before they left", unanswered, crowdSize)
	}
	if served == 0 {
		t.Error("no caller was served")
	}
	if storeFailures != "0" {
		t.Errorf("%s connections to the store failed", storeFailures)
	}
	if !streamed.complete || streamed.status != http.StatusOK {
		t.Errorf("stream in progress: status %d, complete %t", streamed.status, streamed.complete)
	}
	if after.status != http.StatusOK {
		t.Errorf("after the load: status %d", after.status)
	}
	const maxLines = 150 // a few for each cause of a refusal, and two about the shortage
	if len(lines) > maxLines {
		t.Errorf("%d log lines, the last: %s", len(lines), lines[len(lines)-1])
	}
}

// newLimitedServer returns a server with the limits that a process with so many descriptors has.
func newLimitedServer(c common.Common, controller *ingress.Controller, limit int) *ingress.Server {
	handlers := ingress.Handlers{Serve: controller, Reject: http.HandlerFunc(controller.Reject), Context: controller.Context()}
	return ingress.NewServer(c, handlers, descriptors.LimitsFor(limit))
}

// Requests reached targets after their callers had left. The callers had sent them and closed their connections before
// the entry, which was busy or out of descriptors, accepted these from the backlog. A request was sent as soon as it
// was read; net/http's background reader noticed the closed connection too late. In this test all connections are
// closed before the entry accepts the first one, and no such request may arrive at the target.
func TestRequestOfCallerGoneInBacklogIsNotSent(t *testing.T) {
	target := &recordingTarget{arrived: make(map[string]time.Time)}
	c := commontest.New(network.NewTCP())
	meter := &countingMeter{}
	controller := singleTargetController(c, serveLoopback(t, target), meter)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers = 60
	for i := range callers {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(caller, "POST /call/a HTTP/1.1\r\nHost: h\r\nId: caller-%d\r\nKey: key\r\nWait: 5000\r\nContent-Length: 8\r\n\r\nquestion", i)
		_ = caller.Close()
	}
	server := newLimitedServer(c, controller, 1024)
	go server.Serve(listener)
	t.Cleanup(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	})
	if got := callOnce(listener.Addr().String(), "stays", "/call/a", time.Second); got.status != http.StatusOK {
		t.Errorf("caller that stayed: status %d", got.status)
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if sent := len(target.arrived) - 1; sent > 0 {
		t.Errorf("%d requests of %d whose callers had left reached the target", sent, callers)
	}
	if charged := meter.taken.Load() - meter.returned.Load(); charged != 1 {
		t.Errorf("the account was charged for %d requests, want only that of the caller that stayed", charged)
	}
}

// countingMeter allows all requests, and counts charges and refunds.
type countingMeter struct{ taken, returned atomic.Int64 }

func (m *countingMeter) Take(context.Context, *routing.Account, float64, float64) (bool, clock.Millis) {
	m.taken.Add(1)
	return true, 0
}

func (m *countingMeter) Return(*routing.Account, float64, clock.Millis) { m.returned.Add(1) }
