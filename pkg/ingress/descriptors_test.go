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
	// fewDescriptors is the limit of the entry in TestAnEntryAtItsLimitOfDescriptors.
	fewDescriptors = 64
	// crowd is how many callers come at once.
	crowd = 400
	// crowdDeadline is for how long each of them stays.
	crowdDeadline = time.Second
	// targetVariable and storeVariable tell the entry, a process of its own, what it is to reach.
	targetVariable = "QUAYDOCK_TEST_TARGET"
	storeVariable  = "QUAYDOCK_TEST_STORE"
)

func TestMain(m *testing.M) {
	if target := os.Getenv(targetVariable); target != "" {
		os.Exit(runScarceEntry(target, os.Getenv(storeVariable)))
	}
	os.Exit(m.Run())
}

// runScarceEntry is an entry with few descriptors. It prints its address, asks a stand-in of the
// store all the while, and prints how often it could not when its input ends.
func runScarceEntry(target, store string) int {
	limit := syscall.Rlimit{Cur: fewDescriptors, Max: fewDescriptors}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	reach := network.NewTCP()
	c := commontest.New(reach)
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	logger.SetFormatter(&logrus.JSONFormatter{})
	c.Log = logrus.NewEntry(logger)
	listener, err := reach.Listen("127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	go newScarceServer(c, scarceController(c, target, freely{}), fewDescriptors).Serve(listener)
	fmt.Println(listener.Addr())
	ctx, stop := context.WithCancel(context.Background())
	var asking sync.WaitGroup
	failed := 0
	asking.Go(func() { failed = askStore(ctx, reach, store) })
	_, _ = io.Copy(io.Discard, os.Stdin)
	stop()
	asking.Wait()
	fmt.Println(failed)
	return 0
}

// askStore makes a connection to the store again and again, and counts how often that failed.
func askStore(ctx context.Context, reach network.Network, store string) int {
	failed := 0
	for ctx.Err() == nil {
		c, err := reach.Dial(ctx, store)
		if err == nil {
			_ = c.Close()
		} else if ctx.Err() == nil {
			failed++
		}
		clock.Pause(ctx, 20*clock.Millisecond)
	}
	return failed
}

// scarceController has one target, on which each request is placed at once.
func scarceController(c common.Common, address string, meter ingress.Meter) *ingress.Controller {
	v := view.New(c.Check)
	target := &routing.Target{ID: "t", Service: "s", Address: address, Slots: 4}
	v.SetDirectory(routing.NewDirectory([]*routing.Target{target}))
	routes := []*routing.Route{
		{Name: "call", Host: "h", Prefix: "/call/", Kind: routing.Safe, Timeout: 5000, Objective: 500, Attempts: 1, Split: []routing.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Stream, Timeout: 10_000, Objective: 500, Attempts: 1, Split: []routing.WeightedService{{Service: "s", Weight: 1}}},
	}
	v.SetCatalog(routing.NewCatalog(1, routing.Limits{}, routes, nil, []*routing.Account{{Name: "acme", Keys: []string{"key"}}}))
	v.Confirmed(c.Clock.Now())
	scheduler := &inOrder{b: &bed{targets: []*routing.Target{target}}, stuck: ids.Target("none")}
	return ingress.NewController(ingress.Dependencies{
		Common: c, View: v, HeaderCodec: dialect{}, Scheduler: scheduler, Meter: meter, Entries: freely{},
		Pool:    forward.NewPool(c, func(h map[string][]string) forward.AnswerMetadata { return dialect{}.AnswerMetadata(h) }, nil),
		Retries: quota.NewRetryBudget(quota.RetryBounds{Ratio: 0.2, Slack: 100, Window: 10 * clock.Second}, c.Clock.Now()-10*clock.Second), Keys: ingress.KeyGrace{Limit: clock.Minute},
	})
}

// scarceEntry is the entry as its callers see it.
type scarceEntry struct {
	address string
	command *exec.Cmd
	stdin   io.Closer
	stdout  *bufio.Reader
	lines   chan []string // of its log, when it has ended
}

func startScarceEntry(t *testing.T, target, store string) *scarceEntry {
	e := &scarceEntry{command: exec.CommandContext(t.Context(), os.Args[0]), lines: make(chan []string, 1)}
	// One processor, as most entries have: what a connection's reader has not seen yet is not
	// seen by others.
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
		e.lines <- strings.Split(strings.TrimSpace(string(text)), "\n")
	}()
	e.address = e.line(t)
	return e
}

func (e *scarceEntry) line(t *testing.T) string {
	text, err := e.stdout.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(text)
}

// end ends the entry and returns how often it could not reach the store, and its log.
func (e *scarceEntry) end(t *testing.T) (storeFailures string, lines []string) {
	_ = e.stdin.Close()
	storeFailures = e.line(t)
	lines = <-e.lines
	if err := e.command.Wait(); err != nil {
		t.Error(err)
	}
	return storeFailures, lines
}

// scarceTarget notes when each request comes, by the caller's id.
type scarceTarget struct {
	mu      sync.Mutex
	arrived map[string]time.Time
}

func (s *scarceTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// arrivedAt is when a request arrived, if it did.
func (s *scarceTarget) arrivedAt(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, arrived := s.arrived[id]
	return at, arrived
}

// visit is what became of one caller.
type visit struct {
	id     string
	status int // 0 without an answer
	whole  bool
	left   time.Time
}

// pay makes one request and stays for a time, with the connection kept open.
func pay(address, id, path string, stay time.Duration) visit {
	v := visit{id: id}
	deadline := time.Now().Add(stay)
	c, err := net.DialTimeout("tcp", address, stay)
	if err == nil {
		_ = c.SetDeadline(deadline)
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: key\r\nWait: %d\r\nContent-Length: 8\r\n\r\nquestion", path, id, stay.Milliseconds())
		if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			v.status, v.whole = response.StatusCode, err == nil
		}
		if v.status == http.StatusOK {
			time.Sleep(time.Until(deadline)) // the connection rests
		}
		_ = c.Close()
	}
	v.left = time.Now()
	return v
}

// serveLoopback serves on a free port of this machine.
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

// After all other entries were lost, callers' connections used up an entry's descriptors. It took
// none for seconds, and wrote a line of log each 10 ms. Requests lay unseen in the kernel's
// backlog; when descriptors came free they were taken for new, and sent to targets after their callers
// had left. Cause: nothing kept callers from taking all descriptors, and nobody looked whether a
// caller is still there before its request is sent. Evidence: on a recorded day
// `accept4: too many open files` for 5 s, then requests that count 0.2 s since their
// first try though their callers sent them 3.3 s and left them 1.3 s before.
func TestAnEntryAtItsLimitOfDescriptors(t *testing.T) {
	target := &scarceTarget{arrived: make(map[string]time.Time)}
	entry := startScarceEntry(t, serveLoopback(t, target), serveLoopback(t, http.NotFoundHandler()))
	stream := make(chan visit, 1)
	go func() { stream <- pay(entry.address, "stream", "/stream/a", 3*time.Second) }()
	time.Sleep(200 * time.Millisecond)
	visits := make([]visit, crowd)
	var callers sync.WaitGroup
	for i := range visits {
		callers.Go(func() { visits[i] = pay(entry.address, fmt.Sprint("caller-", i), "/call/a", crowdDeadline) })
	}
	callers.Wait()
	after := pay(entry.address, "after", "/call/a", time.Second)
	streamed := <-stream
	storeFailures, lines := entry.end(t)

	unanswered, late, served := 0, 0, 0
	for _, v := range visits {
		if v.status == 0 {
			unanswered++
		}
		if v.status == http.StatusOK {
			served++
		}
		if at, sent := target.arrivedAt(v.id); sent && at.Sub(v.left) > 20*time.Millisecond {
			late++
		}
	}
	t.Logf("%d of %d served, %d without an answer, %d lines of log, %s failures at the store", served, crowd, unanswered, len(lines), storeFailures)
	if late > 0 {
		t.Errorf("%d requests reached the target after their callers had left", late)
	}
	if unanswered > 0 {
		t.Errorf("%d callers of %d had no answer in their time", unanswered, crowd)
	}
	if served == 0 {
		t.Error("nobody was served")
	}
	if storeFailures != "0" {
		t.Errorf("the store could not be reached %s times", storeFailures)
	}
	if !streamed.whole || streamed.status != http.StatusOK {
		t.Errorf("the stream that ran: status %d, whole %t", streamed.status, streamed.whole)
	}
	if after.status != http.StatusOK {
		t.Errorf("after the load: status %d", after.status)
	}
	const mostLines = 150 // a few of each cause of a refusal, and two of the shortage
	if len(lines) > mostLines {
		t.Errorf("%d lines of log, the last: %s", len(lines), lines[len(lines)-1])
	}
}

func newScarceServer(c common.Common, controller *ingress.Controller, limit int) *ingress.Server {
	handlers := ingress.Handlers{Serve: controller, Reject: http.HandlerFunc(controller.Reject), Context: controller.Context()}
	return ingress.NewServer(c, handlers, descriptors.Divide(limit))
}

// Requests reached targets after their callers had left: these had sent them and closed
// their connections before the entry, which was busy or out of descriptors, took these from the
// backlog. Cause: a request was sent as soon as it was read; that the connection had ended
// behind it was seen by a reader of its own, too late. Evidence: the callers' ends lie in the sockets
// before the entry begins to take connections, and the requests arrive at the target.
func TestACallerThatLeftInTheBacklogIsNotSent(t *testing.T) {
	target := &scarceTarget{arrived: make(map[string]time.Time)}
	c := commontest.New(network.NewTCP())
	meter := &countingMeter{}
	controller := scarceController(c, serveLoopback(t, target), meter)
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
	server := newScarceServer(c, controller, 1024)
	go server.Serve(listener)
	t.Cleanup(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	})
	if got := pay(listener.Addr().String(), "stays", "/call/a", time.Second); got.status != http.StatusOK {
		t.Errorf("one that stayed: status %d", got.status)
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if sent := len(target.arrived) - 1; sent > 0 {
		t.Errorf("%d requests of %d whose callers had left reached the target", sent, callers)
	}
	if kept := meter.taken.Load() - meter.returned.Load(); kept != 1 {
		t.Errorf("the account was charged for %d requests, want that of the one that stayed", kept)
	}
}

// countingMeter lets all through and counts what is taken and given back.
type countingMeter struct{ taken, returned atomic.Int64 }

func (m *countingMeter) Take(context.Context, *routing.Account, float64, float64) (bool, clock.Millis) {
	m.taken.Add(1)
	return true, 0
}

func (m *countingMeter) Return(*routing.Account, float64, clock.Millis) { m.returned.Add(1) }
