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

// TestAnEngineBehindAnAgentAsksForRest: an engine turned all calls away and said for how long it wanted none. Its
// agent passed that on to the callers and went on granting places, which were free at once, so that the engine looked
// like the quickest of all and got most of the calls.
func TestAnEngineBehindAnAgentAsksForRest(t *testing.T) {
	const (
		rest  = 3 * time.Second
		calls = 300
		each  = 20 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		bed := started(t, testbed.Options{Entries: 2, Engines: engines(3), Slots: 2, Seed: 1})
		callers := callersOf(t, bed)
		bed.Engines[0].TurnAway(rest)
		answers := parallel(calls, func(i int) testbed.Answer {
			time.Sleep(time.Duration(i) * each)
			return callers[i%len(callers)].Chat(context.Background(), fmt.Sprint("call ", i), 10, false, nil)
		})
		served := 0
		for _, a := range answers {
			if a.Ending == testbed.Whole && a.Status == http.StatusOK {
				served++
			}
		}
		turned := bed.Engines[0].TurnedAway()
		t.Logf("%d calls turned away, %d of %d served", turned, served, calls)
		// Two calls may be under way when the engine asks for rest, in each of three rests.
		if turned > 3*2 {
			t.Errorf("%d calls reached an engine that rests", turned)
		}
		if served < calls*90/100 {
			t.Errorf("%d of %d calls were served", served, calls)
		}
	})
}

// TestAllEnginesBehindAgentsRest: callers are told to come back when the first engine works again; what can
// wait until then does. After the rest all is served.
func TestAllEnginesBehindAgentsRest(t *testing.T) {
	const rest = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		bed := started(t, testbed.Options{Entries: 1, Engines: engines(2), Slots: 1, Seed: 1})
		caller := callerOf(t, bed)
		for _, e := range bed.Engines {
			e.TurnAway(rest)
		}
		parallel(4, func(i int) testbed.Answer {
			return caller.Chat(context.Background(), fmt.Sprint("first ", i), 10, false, http.Header{"Quaydock-Deadline-Ms": {"1000"}})
		})
		time.Sleep(500 * time.Millisecond)
		for _, e := range bed.Engines {
			e.TurnAway(0)
		}
		began := time.Now()
		short := caller.Chat(context.Background(), "short", 10, false, http.Header{"Quaydock-Deadline-Ms": {"1000"}})
		back, err := strconv.Atoi(short.Retry)
		if short.Ending != testbed.NotRun || err != nil || back < 2 || back > 4 || time.Since(began) > 300*time.Millisecond {
			t.Errorf("a call that can't wait: %+v after %v", short, time.Since(began))
		}
		long := caller.Chat(context.Background(), "long", 10, false, http.Header{"Quaydock-Deadline-Ms": {"20000"}})
		if took := time.Since(began); long.Status != http.StatusOK || took < 2*time.Second || took > rest {
			t.Errorf("a call that can wait: %+v after %v", long, took)
		}
	})
}
