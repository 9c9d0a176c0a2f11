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

// freeingTime is the time after which no attempt to free a claim goes on: they last up to a minute, also after their
// entry has ended, and a write that is under way then lasts up to the table's timeout of 2 s.
const freeingTime = 65 * time.Second

// keyedHeader returns the header of a call that must not be repeated, with more headers as name and value pairs.
func keyedHeader(more ...string) http.Header {
	h := http.Header{"Idempotency-Key": {"correction-17"}, "Quaydock-No-Repeat": {"true"}}
	for i := 0; i < len(more); i += 2 {
		h[more[i]] = []string{more[i+1]}
	}
	return h
}

// totalRuns counts the requests that all engines received. In these tests every request is
// an attempt of the same call.
func totalRuns(bed *testbed.Bed) int {
	n := 0
	for _, e := range bed.Engines {
		for _, runs := range e.AllRuns() {
			n += runs
		}
	}
	return n
}

// newCallers returns a caller of each entry, in their order.
func newCallers(t *testing.T, bed *testbed.Bed) []*testbed.Caller {
	t.Helper()
	callers := make([]*testbed.Caller, len(bed.Entries))
	for i := range callers {
		callers[i] = testbed.NewCaller(bed.Network, testbed.EntryAddress(i))
		t.Cleanup(callers[i].Close)
	}
	return callers
}

// TestClaimAtTwoEntries: two entries receive the same call at once. One runs it; the other reports
// the outcome as unknown.
func TestClaimAtTwoEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 2, Engines: engines(2), Slots: 4})
		callers := newCallers(t, bed)
		answers := parallel(6, func(i int) testbed.Answer {
			return callers[i%2].Chat(context.Background(), "correct the sounding", 20, true, keyedHeader())
		})
		endings := checkAnswers(t, bed, answers)
		if runs := totalRuns(bed); runs != 1 || endings[testbed.Complete] != 1 {
			t.Errorf("%d runs, endings %v, want 1 run and 1 complete answer", runs, endings)
		}
	})
}

// TestClaimSurvivesEntryEnd: an entry ends at some moment of a call. The repeat at another entry does not run
// the call again.
func TestClaimSurvivesEntryEnd(t *testing.T) {
	for after := time.Duration(0); after < 40*time.Millisecond; after += 4 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			bed := startTestbed(t, testbed.Options{Entries: 2, Engines: engines(2), Slots: 4})
			callers := newCallers(t, bed)
			var first sync.WaitGroup
			first.Go(func() { callers[0].Chat(context.Background(), "correct", 5, true, keyedHeader()) })
			time.Sleep(after)
			bed.Entries[0].Close()
			first.Wait()
			again := callers[1].Chat(context.Background(), "correct", 5, true, keyedHeader())
			checkInvariants(t, bed, again)
			if runs := totalRuns(bed); runs > 1 {
				t.Errorf("entry ended after %v: the call ran %d times", after, runs)
			}
			if again.Ending == testbed.NotRun {
				t.Errorf("entry ended after %v: the repeat got %+v", after, again)
			}
			time.Sleep(freeingTime)
		})
	}
}

// TestClaimWithLostTableMessages breaks the connection to the table before and after every message, so that replies to
// writes that took effect are lost. The call runs exactly once, and exactly one attempt gets a complete answer.
func TestClaimWithLostTableMessages(t *testing.T) {
	for _, direction := range []network.Direction{network.Request, network.Reply} {
		for _, effect := range []network.Effect{network.BreakBefore, network.BreakAfter} {
			for message := range 16 {
				faults := network.NewFaults(network.Fault{Address: testbed.TableAddress, Direction: direction, Effect: effect, Message: message})
				synctest.Test(t, func(t *testing.T) {
					bed := startTestbed(t, testbed.Options{Entries: 2, Engines: engines(1), Slots: 4, Faults: faults})
					callers := newCallers(t, bed)
					complete := 0
					for i := range 4 {
						a := callers[i%2].Chat(context.Background(), "correct", 5, true, keyedHeader())
						checkInvariants(t, bed, a)
						if a.Ending == testbed.Complete {
							complete++
						}
					}
					if runs := totalRuns(bed); runs != 1 || complete != 1 {
						t.Errorf("%v %v message %d: %d runs, %d complete answers, want 1 and 1", direction, effect, message, runs, complete)
					}
				})
			}
		}
	}
}

// TestRefusedAttemptReleasesClaim: an attempt that is refused as not run, because the only slot is taken
// until after its deadline, releases its claim, so that the repeat runs.
func TestRefusedAttemptReleasesClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 2, Engines: engines(1), Slots: 1})
		callers := newCallers(t, bed)
		var long sync.WaitGroup
		long.Go(func() { callers[0].Chat(context.Background(), "long", 500, true, nil) })
		time.Sleep(10 * time.Millisecond)
		refused := callers[0].Chat(context.Background(), "correct", 5, true, keyedHeader("Quaydock-Deadline-Ms", "300"))
		if refused.Ending != testbed.NotRun {
			t.Fatalf("the first attempt ended %v: %s", refused.Ending, refused.Body)
		}
		long.Wait()
		again := callers[1].Chat(context.Background(), "correct", 5, true, keyedHeader())
		if again.Ending != testbed.Complete {
			t.Errorf("the repeat ended %v: %s", again.Ending, again.Body)
		}
		checkInvariants(t, bed, again)
	})
}

// TestClaimWithoutTable: while the table is unreachable, a call with an idempotency key waits and is then refused
// as not run; calls without a key are served.
func TestClaimWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 1})
		caller := newCaller(t, bed)
		bed.Table.SetDown(true)
		refused := caller.Chat(context.Background(), "correct", 5, true, keyedHeader("Quaydock-Deadline-Ms", fmt.Sprint(9000)))
		checkInvariants(t, bed, refused)
		if refused.Ending != testbed.NotRun || totalRuns(bed) != 0 {
			t.Errorf("ended %v with %d runs: %s", refused.Ending, totalRuns(bed), refused.Body)
		}
		if plain := caller.Chat(context.Background(), "plain", 5, true, nil); plain.Ending != testbed.Complete {
			t.Errorf("a call without a key ended %v", plain.Ending)
		}
		bed.Table.SetDown(false)
		time.Sleep(time.Minute)
		if again := caller.Chat(context.Background(), "correct", 5, true, keyedHeader()); again.Ending != testbed.Complete {
			t.Errorf("after the outage the call ended %v: %s", again.Ending, again.Body)
		}
	})
}
