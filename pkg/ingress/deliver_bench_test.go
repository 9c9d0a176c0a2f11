package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
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
