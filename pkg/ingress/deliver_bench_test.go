package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/eventstream"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
	"quaydock/pkg/planner"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/view"
)

// refusingScheduler refuses all requests at once.
type refusingScheduler struct{}

func (refusingScheduler) Acquire(context.Context, schedule.Request) (schedule.Assignment, *schedule.Refused, error) {
	return nil, &schedule.Refused{Overloaded: true, RetryAfter: clock.Second}, nil
}

// onlyEntry is the only entry of its deployment.
type onlyEntry struct{}

func (onlyEntry) Share() float64               { return 1 }
func (onlyEntry) HoldsLease(clock.Millis) bool { return true }
func (onlyEntry) OthersReady() bool            { return false }

// BenchmarkDeliver measures the cost of a request between its admission and its assignment. All requests share one
// context and function for the end of the process; one for each would add 8 allocations.
func BenchmarkDeliver(b *testing.B) {
	c := commontest.New(network.NewMemory(nil))
	v := view.New(c.Check)
	controller := NewController(Dependencies{
		Common: c, View: v, Scheduler: refusingScheduler{}, Pool: forward.NewPool(c, nil, nil, nil), Entries: onlyEntry{},
		Retries: quota.NewRetryBudget(quota.RetryBounds{Ratio: 0.2, Slack: 100, Window: 10 * clock.Second}, c.Clock.Now()),
	})
	ctx, cancel := context.WithCancel(controller.Context()) // when the caller leaves
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/a", strings.NewReader(""))
	route := &routing.Route{Name: "r", Kind: routing.Unsafe, Attempts: 1, Timeout: clock.Minute, Objective: clock.Second}
	out := &answerWriter{writer: httptest.NewRecorder()}
	b.ReportAllocs()
	for b.Loop() {
		now := c.Clock.Now()
		q := &request{http: r, route: route, service: "s", arrived: now, deadline: now + clock.Minute}
		if refusal := controller.deliver(r, q, out); refusal == nil {
			b.Fatal("served")
		}
	}
}

// endlessEvents is a stream of events whose ids rise by one.
type endlessEvents struct {
	id   int
	left []byte
}

func (e *endlessEvents) Read(p []byte) (int, error) {
	if len(e.left) == 0 {
		e.id++
		e.left = fmt.Appendf(e.left, "id: %d\ndata: %0100d\n\n", e.id, 1)
	}
	n := copy(p, e.left)
	e.left = e.left[n:]
	return n, nil
}

// discardAnswer is a response writer that drops what is written.
type discardAnswer struct{ header http.Header }

func (d discardAnswer) Header() http.Header       { return d.header }
func (discardAnswer) Write(p []byte) (int, error) { return len(p), nil }
func (discardAnswer) WriteHeader(int)             {}
func (discardAnswer) Flush()                      {}

// placedAssignment is an assignment to a target.
type placedAssignment struct{ target *routing.Target }

func (p placedAssignment) Target() *routing.Target                 { return p.target }
func (placedAssignment) Began(*planner.Load)                       {}
func (placedAssignment) Redispatched() <-chan struct{}             { return nil }
func (placedAssignment) Done(planner.Outcome, planner.StreamStats) {}

// noHeaders copies no headers.
type noHeaders struct{ HeaderCodec }

func (noHeaders) CopyAnswer(_, _ http.Header) {}

// BenchmarkRelayEvent measures the cost of an event of a stream that may be resumed, without its connections.
func BenchmarkRelayEvent(b *testing.B) {
	c := commontest.New(network.NewMemory(nil))
	controller := NewController(Dependencies{
		Common: c, View: view.New(c.Check), Scheduler: refusingScheduler{}, Pool: forward.NewPool(c, nil, nil, nil), Entries: onlyEntry{}, HeaderCodec: noHeaders{},
	})
	d := controller.delivery
	route := &routing.Route{Name: "r", Kind: routing.Stream, Attempts: 2, Timeout: clock.Minute, Objective: clock.Second, Resumable: true}
	now := c.Clock.Now()
	q := &request{http: httptest.NewRequest(http.MethodPost, "http://h/a", nil), route: route, service: "s", arrived: now, deadline: now + clock.Minute, placedAt: now}
	writer := discardAnswer{header: http.Header{}}
	out := &answerWriter{writer: writer, control: http.NewResponseController(writer)}
	assignment := placedAssignment{&routing.Target{ID: "t1", Service: "s", Version: "v1"}}
	w := d.watch(context.Background(), q, assignment)
	defer w.close(q)
	r := newStreamRelay(d, w, q, out, assignment, &forward.Answer{Status: http.StatusOK}, eventstream.NewReader(&endlessEvents{}))
	b.ReportAllocs()
	for b.Loop() {
		if result := r.relayNext(); result != nil {
			b.Fatalf("ended: %+v", result)
		}
	}
}
