package dispatch_test

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// TestGaugesOfAccounts checks the gauges of the entry that plans for a service.
func TestGaugesOfAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		accounts := []*routing.Account{{Name: "a"}, {Name: "b"}}
		for _, v := range b.views {
			v.SetCatalog(routing.NewCatalog(1, routing.Limits{}, nil, nil, routing.Accounts{List: accounts}))
		}
		for _, a := range accounts {
			request := b.urgentRequest()
			request.Account = a.Name
			assignment, refused, err := b.entries[0].Acquire(context.Background(), request)
			if assignment == nil {
				t.Fatalf("refused %+v, %v", refused, err)
			}
			defer assignment.Done(planner.Served, planner.StreamStats{})
		}
		time.Sleep(50 * time.Millisecond)
		for _, want := range []string{
			`quaydock_accounts_present{service="s"} 2`, `quaydock_accounts_over_share{service="s"} 0`, `quaydock_refusals_over_share{service="s"} 0`,
		} {
			if lines := b.gauges(); !slices.Contains(lines, want) {
				t.Errorf("no %q in %q", want, lines)
			}
		}
	})
}

// TestGaugesOfSlots checks that the entry that plans for a service tells how many of its slots are used at most.
func TestGaugesOfSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		assignment, refused, err := b.entries[0].Acquire(context.Background(), b.urgentRequest())
		if assignment == nil {
			t.Fatalf("refused %+v, %v", refused, err)
		}
		defer assignment.Done(planner.Served, planner.StreamStats{})
		for _, want := range []string{
			`quaydock_slots_present{service="s"} 8`, `quaydock_slots_usable{service="s"} 8`, `quaydock_refusals_with_free_slots{service="s"} 0`,
		} {
			if lines := b.gauges(); !slices.Contains(lines, want) {
				t.Errorf("no %q in %q", want, lines)
			}
		}
	})
}

// gauges returns the lines of the metrics of all entries.
func (b *cluster) gauges() []string {
	recorder := httptest.NewRecorder()
	b.Metrics.Prometheus.ServeHTTP(recorder, nil)
	return strings.Split(recorder.Body.String(), "\n")
}
