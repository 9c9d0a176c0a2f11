package ingress_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// TestChecksAfterVMSuspension: a VM is suspended for seconds, during which the monotonic clock does not advance. The
// freshness that its entry had before looked as recent as without the suspension, so that removed keys were accepted,
// and the timers of its requests had all their time left. The clock that counts suspensions must decide after the VM
// resumes.
func TestChecksAfterVMSuspension(t *testing.T) {
	for _, length := range []clock.Millis{500, 2 * clock.Second, 4500, 20 * clock.Second} {
		scenarios := []struct {
			name    string
			path    string
			place   time.Duration // how long the request waits for an assignment; the VM is suspended during that time
			status  int
			arrived int // how many requests arrive at the target
		}{
			// Of the 5 s in which a removed key may still be used, 4.25 s are the grace without freshness.
			{"before a request with a key", "/unsafe/a", 0, statusUnless(length > 4250, 503), arrivedUnless(length > 4250)},
			{"before a request without a key", "/open/a", 0, 200, 1},
			{"while a request waits for its assignment", "/open/a", time.Second, statusUnless(length > 4000, 503), arrivedUnless(length > 4000)},
			{"while a request with a key waits for its assignment", "/unsafe/a", time.Second, statusUnless(length > 3250, 503), arrivedUnless(length > 3250)},
		}
		for _, s := range scenarios {
			t.Run(fmt.Sprint(s.name, ", for ", length, " ms"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestbed(t, fakeMeter{}, replies(200, "", "complete"))
					b.scheduler.delay = s.place
					if s.place > 0 {
						time.AfterFunc(s.place/2, func() { b.suspension.Add(length) })
					} else {
						b.suspension.Add(length)
					}
					got := b.call(context.Background(), s.path, nil)
					if got.status != s.status || len(b.arrived()) != s.arrived {
						t.Errorf("status %d, sent %d times; want %d, %d", got.status, len(b.arrived()), s.status, s.arrived)
					}
				})
			})
		}
	}
}

// statusUnless returns the status of a request: the given one if it is refused, or else 200.
func statusUnless(refused bool, status int) int {
	if refused {
		return status
	}
	return 200
}

// arrivedUnless returns how often a request arrives at the target: not at all if it is refused, or else once.
func arrivedUnless(refused bool) int {
	if refused {
		return 0
	}
	return 1
}

// TestRemainingTimeAfterSuspension: a target gets the remaining time of a request with the suspension counted, not as
// if the clock had stopped during it.
func TestRemainingTimeAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, replies(200, "", "complete"))
		b.routes = append(b.routes, &routing.Route{
			Name: "long", Host: "h", Prefix: "/long/", Kind: routing.Safe, Timeout: 30 * clock.Second, Objective: 500, Attempts: 1, Anonymous: true,
			Split: []routing.WeightedService{{Service: "s", Weight: 1}},
		})
		b.configure(2)
		b.scheduler.placed = func() { b.suspension.Add(3 * clock.Second) }
		b.call(context.Background(), "/long/a", map[string]string{"Wait": "10000"})
		if arrived := b.arrived(); len(arrived) != 1 || arrived[0].header.Get("Left") != "7000" {
			t.Errorf("arrivals %+v, want one with 7000 ms left", arrived)
		}
	})
}
