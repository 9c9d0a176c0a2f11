package testbed_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/network"
	"quaydock/pkg/settings"
	"quaydock/pkg/testbed"
)

// engines returns the settings of n engines that generate a token every 4 ms.
func engines(n int) []settings.EngineStandIn {
	list := make([]settings.EngineStandIn, n)
	for i := range list {
		list[i] = settings.EngineStandIn{Model: testbed.Model, StepMS: 4, PrefillPerStep: 512}
	}
	return list
}

// checkInvariants checks what must hold whatever has failed, for an answer and for all runs so far: no request runs
// twice, a request that was reported as not run has not run, and no request gets the answer of another.
func checkInvariants(t *testing.T, bed *testbed.Bed, answer testbed.Answer) {
	t.Helper()
	runs := bed.Runs(answer.Request)
	if answer.Request != "" && runs > 1 {
		t.Errorf("request %s ran %d times", answer.Request, runs)
	}
	if answer.Ending == testbed.NotRun && runs != 0 {
		t.Errorf("request %s was reported as not run but ran %d times", answer.Request, runs)
	}
	if answer.Ending == testbed.Misattributed {
		t.Errorf("request %s got the answer of another request: %s", answer.Request, answer.Body)
	}
	for _, e := range bed.Engines {
		for id, n := range e.AllRuns() {
			if total := bed.Runs(id); total > 1 {
				t.Errorf("request %s ran %d times, %d on one engine", id, total, n)
			}
		}
	}
}

// TestBreakAtEveryMessage breaks a connection before and after every message of
// every link, one at a time, until the message number exceeds the number of messages.
func TestBreakAtEveryMessage(t *testing.T) {
	links := []struct {
		name    string
		address string
	}{
		{"caller to entry", testbed.EntryAddress(0)},
		{"entry to agent, control", testbed.ControlAddress(0)},
		{"entry to agent, data", testbed.DataAddress(0)},
		{"agent to engine", testbed.TargetAddress(0)},
	}
	for _, link := range links {
		for _, direction := range []network.Direction{network.Request, network.Reply} {
			for _, effect := range []network.Effect{network.BreakBefore, network.BreakAfter} {
				t.Run(fmt.Sprintf("%s/%v/%v", link.name, direction, effect), func(t *testing.T) {
					breakEachMessage(t, network.Fault{Address: link.address, Direction: direction, Effect: effect})
				})
			}
		}
	}
}

// TestPlainServiceCallsAreNotRepeated breaks the connection to a plain service at every message
// of GET calls, which HTTP libraries repeat by themselves. None is sent twice.
func TestPlainServiceCallsAreNotRepeated(t *testing.T) {
	for _, direction := range []network.Direction{network.Request, network.Reply} {
		for _, effect := range []network.Effect{network.BreakBefore, network.BreakAfter} {
			for message := range 4 {
				faults := network.NewFaults(network.Fault{
					Address: testbed.TargetAddress(0), Direction: direction, Effect: effect, Message: message,
				})
				synctest.Test(t, func(t *testing.T) {
					bed := startTestbed(t, testbed.Options{Entries: 1, Plain: true, Slots: 1, Faults: faults})
					caller := newCaller(t, bed)
					for range 4 {
						answer := caller.Do(context.Background(), "GET", "/services/depths/berths/4", "", nil)
						checkInvariants(t, bed, answer)
						if answer.Ending == testbed.Complete && bed.Runs(answer.Request) != 1 {
							t.Errorf("an answered call ran %d times, want 1", bed.Runs(answer.Request))
						}
					}
				})
			}
		}
	}
}

// maxMessages limits the messages of a link at which its connection is broken, one in each run.
// breakEachMessage stops earlier at a link that has fewer.
const maxMessages = 60

// breakEachMessage applies the fault at message 0, 1 and so on, each time in a new test bed, until it no longer takes
// effect.
func breakEachMessage(t *testing.T, fault network.Fault) {
	endings := make(map[testbed.Ending]int)
	for fault.Message = 0; fault.Message < maxMessages; fault.Message++ {
		faults := network.NewFaults(fault)
		synctest.Test(t, func(t *testing.T) {
			endings[breakOnce(t, faults, fault.Message)]++
		})
		if faults.Triggered() == 0 {
			break
		}
	}
	t.Logf("faults at %d messages: %v", fault.Message, endings)
	if fault.Message == 0 {
		t.Error("the fault had no effect on any message")
	}
}

// breakOnce sends a call while faults are in force, of which one affects the message of that number, and returns how it
// ended. A call sent 30 s later must be complete. Every second call is a stream.
func breakOnce(t *testing.T, faults *network.Faults, message int) testbed.Ending {
	bed, err := testbed.Start(testbed.Options{Entries: 1, Engines: engines(1), Slots: 4, Faults: faults})
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Close()
	time.Sleep(5 * time.Second)
	caller := testbed.NewCaller(bed.Network, testbed.EntryAddress(0))
	defer caller.Close()
	stream := message%2 == 0
	before := faults.Triggered()
	broken := caller.Chat(context.Background(), "struck", 6, stream, nil)
	time.Sleep(30 * time.Second)
	checkInvariants(t, bed, broken)
	after := caller.Chat(context.Background(), "after", 3, true, nil)
	checkInvariants(t, bed, after)
	if after.Ending != testbed.Complete && faults.Triggered() > before && broken.Ending == testbed.Complete {
		// The fault may have hit this request instead of the one before.
		after = caller.Chat(context.Background(), "after", 3, true, nil)
	}
	if after.Ending != testbed.Complete {
		t.Errorf("message %d: a later request ended %v: %+v", message, after.Ending, after)
	}
	return broken.Ending
}
