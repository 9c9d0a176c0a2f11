package testbed_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/testbed"
)

// TestEngineBehindAgentBacksOff: an engine rejects all calls and asks for a back-off. An agent that only passed that on
// to the callers and went on granting slots, which were free again at once, made the engine look
// like the fastest one, and it got most of the calls.
func TestEngineBehindAgentBacksOff(t *testing.T) {
	const (
		backoff = 3 * time.Second
		calls   = 300
		each    = 20 * time.Millisecond // between the starts of two calls
	)
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 2, Engines: engines(3), Slots: 2, Seed: 1})
		callers := newCallers(t, bed)
		bed.Engines[0].Reject(backoff)
		answers := parallel(calls, func(i int) testbed.Answer {
			time.Sleep(time.Duration(i) * each)
			return callers[i%len(callers)].Chat(context.Background(), fmt.Sprint("call ", i), 10, false, nil)
		})
		served := 0
		for _, a := range answers {
			if a.Ending == testbed.Complete && a.Status == http.StatusOK {
				served++
			}
		}
		rejected := bed.Engines[0].Rejected()
		t.Logf("%d calls rejected, %d of %d served", rejected, served, calls)
		// Up to two calls may be running when the engine asks for a back-off, and there are three of these.
		if rejected > 3*2 {
			t.Errorf("%d calls reached an engine that had asked for a back-off, want at most 6", rejected)
		}
		if served < calls*90/100 {
			t.Errorf("%d of %d calls were served", served, calls)
		}
	})
}

// TestAllEnginesBehindAgentsBackOff: while all engines are backed off, a request that cannot wait is refused at
// once with a Retry-After of the remaining back-off; one that can wait is served after it.
func TestAllEnginesBehindAgentsBackOff(t *testing.T) {
	const backoff = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(2), Slots: 1, Seed: 1})
		caller := newCaller(t, bed)
		for _, e := range bed.Engines {
			e.Reject(backoff)
		}
		parallel(4, func(i int) testbed.Answer {
			return caller.Chat(context.Background(), fmt.Sprint("first ", i), 10, false, http.Header{"Quaydock-Deadline-Ms": {"1000"}})
		})
		time.Sleep(500 * time.Millisecond)
		for _, e := range bed.Engines {
			e.Reject(0)
		}
		start := time.Now()
		short := caller.Chat(context.Background(), "short", 10, false, http.Header{"Quaydock-Deadline-Ms": {"1000"}})
		retryAfter, err := strconv.Atoi(short.RetryAfter)
		if short.Ending != testbed.NotRun || err != nil || retryAfter < 2 || retryAfter > 4 || time.Since(start) > 300*time.Millisecond {
			t.Errorf("a call that cannot wait got %+v after %v", short, time.Since(start))
		}
		long := caller.Chat(context.Background(), "long", 10, false, http.Header{"Quaydock-Deadline-Ms": {"20000"}})
		if took := time.Since(start); long.Status != http.StatusOK || took < 2*time.Second || took > backoff {
			t.Errorf("a call that can wait got %+v after %v", long, took)
		}
	})
}
