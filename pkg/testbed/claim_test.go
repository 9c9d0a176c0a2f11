package testbed_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/network"
	"quaydock/pkg/testbed"
)

// keyed is the header of a call that must not be repeated.
func keyed(more ...string) http.Header {
	h := http.Header{"Idempotency-Key": {"correction-17"}, "Quaydock-No-Repeat": {"true"}}
	for i := 0; i < len(more); i += 2 {
		h[more[i]] = []string{more[i+1]}
	}
	return h
}

// runsInAll counts what all engines were given. In these tests every request is
// an attempt of the same call.
func runsInAll(bed *testbed.Bed) int {
	n := 0
	for _, e := range bed.Engines {
		for _, runs := range e.AllRuns() {
			n += runs
		}
	}
	return n
}

func callersOf(t *testing.T, bed *testbed.Bed) []*testbed.Caller {
	t.Helper()
	callers := make([]*testbed.Caller, len(bed.Entries))
	for i := range callers {
		callers[i] = testbed.NewCaller(bed.Network, testbed.EntryAddress(i))
		t.Cleanup(callers[i].Close)
	}
	return callers
}

// The same call comes to two entries at once: one runs it, the other says that
// it cannot tell.
func TestClaimAtTwoEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := started(t, testbed.Options{Entries: 2, Engines: engines(2), Slots: 4})
		callers := callersOf(t, bed)
		answers := parallel(6, func(i int) testbed.Answer {
			return callers[i%2].Chat(context.Background(), "correct the sounding", 20, true, keyed())
		})
		endings := checkAll(t, bed, answers)
		if runs := runsInAll(bed); runs != 1 || endings[testbed.Whole] != 1 {
			t.Errorf("%d runs, endings %v, want 1 run and 1 whole answer", runs, endings)
		}
	})
}

// The entry dies with the call running; its repeat at another entry does not run
// it again, at any moment.
func TestClaimOutlivesItsEntry(t *testing.T) {
	for after := time.Duration(0); after < 40*time.Millisecond; after += 4 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			bed := started(t, testbed.Options{Entries: 2, Engines: engines(2), Slots: 4})
			callers := callersOf(t, bed)
			var first sync.WaitGroup
			first.Go(func() { callers[0].Chat(context.Background(), "correct", 5, true, keyed()) })
			time.Sleep(after)
			bed.Entries[0].Close()
			first.Wait()
			again := callers[1].Chat(context.Background(), "correct", 5, true, keyed())
			checkTruth(t, bed, again)
			if runs := runsInAll(bed); runs > 1 {
				t.Errorf("entry died after %v: the call ran %d times", after, runs)
			}
			if again.Ending == testbed.NotRun {
				t.Errorf("entry died after %v: the repeat was told %+v", after, again)
			}
		})
	}
}

// Every message to and from the table is cut, before and after it: answers to
// writes that took effect are lost. The call runs at most once, and once if an
// attempt was answered.
func TestClaimWithLostAnswers(t *testing.T) {
	for _, direction := range []network.Direction{network.Request, network.Reply} {
		for _, effect := range []network.Effect{network.CutBefore, network.CutAfter} {
			for message := range 16 {
				faults := network.NewFaults(network.Fault{Address: testbed.TableAddress, Direction: direction, Effect: effect, Message: message})
				synctest.Test(t, func(t *testing.T) {
					bed := started(t, testbed.Options{Entries: 2, Engines: engines(1), Slots: 4, Faults: faults})
					callers := callersOf(t, bed)
					whole := 0
					for i := range 4 {
						a := callers[i%2].Chat(context.Background(), "correct", 5, true, keyed())
						checkTruth(t, bed, a)
						if a.Ending == testbed.Whole {
							whole++
						}
					}
					if runs := runsInAll(bed); runs != 1 || whole != 1 {
						t.Errorf("%v %v message %d: %d runs, %d whole answers, want 1 and 1", direction, effect, message, runs, whole)
					}
				})
			}
		}
	}
}

// An attempt that was refused as not run gives its claim back.
func TestClaimIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := started(t, testbed.Options{Entries: 2, Engines: engines(1), Slots: 1})
		callers := callersOf(t, bed)
		var long sync.WaitGroup
		long.Go(func() { callers[0].Chat(context.Background(), "long", 500, true, nil) })
		time.Sleep(10 * time.Millisecond)
		refused := callers[0].Chat(context.Background(), "correct", 5, true, keyed("Quaydock-Deadline-Ms", "300"))
		if refused.Ending != testbed.NotRun {
			t.Fatalf("the first attempt ended %v: %s", refused.Ending, refused.Body)
		}
		long.Wait()
		again := callers[1].Chat(context.Background(), "correct", 5, true, keyed())
		if again.Ending != testbed.Whole {
			t.Errorf("the repeat ended %v: %s", again.Ending, again.Body)
		}
		checkTruth(t, bed, again)
	})
}

// While the table is away, a call with a key waits and is then refused with the
// truth; calls without one are served.
func TestClaimWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := started(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 1})
		caller := callerOf(t, bed)
		bed.Table.SetDown(true)
		refused := caller.Chat(context.Background(), "correct", 5, true, keyed("Quaydock-Deadline-Ms", fmt.Sprint(9000)))
		checkTruth(t, bed, refused)
		if refused.Ending != testbed.NotRun || runsInAll(bed) != 0 {
			t.Errorf("ended %v with %d runs: %s", refused.Ending, runsInAll(bed), refused.Body)
		}
		if plain := caller.Chat(context.Background(), "plain", 5, true, nil); plain.Ending != testbed.Whole {
			t.Errorf("a call without a key ended %v", plain.Ending)
		}
		bed.Table.SetDown(false)
		time.Sleep(time.Minute)
		if again := caller.Chat(context.Background(), "correct", 5, true, keyed()); again.Ending != testbed.Whole {
			t.Errorf("after the outage the call ended %v: %s", again.Ending, again.Body)
		}
	})
}
