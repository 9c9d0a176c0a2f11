package testbed_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/settings"
	"quaydock/pkg/testbed"
)

// codes returns the error code of each answer, empty without one.
func codes(answers []testbed.Answer) []string {
	list := make([]string, len(answers))
	for i, a := range answers {
		list[i] = a.Code
	}
	return list
}

// TestUnusableGrant: one of two agents grants at once, but its grants cannot be used. The requests wait for the
// other agent, whose target is free, or busy for two seconds.
//
// Entries did not remember grants that had failed. The agent of an ended target always had a free slot and granted
// each request at once; the entry withdrew the ticket at the working target, could not use the grant, and tried
// both again, eight times within a millisecond. Callers got "no target can be reached" at once, although the
// working target would have served them within two seconds. This happens only if the target has ended: a target or
// data port that leaves connection attempts unanswered occupies its one slot meanwhile, so that the entry tries
// other targets.
func TestUnusableGrant(t *testing.T) {
	cases := []struct {
		name string
		fail func(*testing.T, *testbed.Bed) // makes the grants of the first target's agent unusable
	}{
		{"target has ended", func(_ *testing.T, b *testbed.Bed) { b.EndTarget(0) }},
		{"target leaves connection attempts unanswered", func(t *testing.T, b *testbed.Bed) {
			leaveUnanswered(t, b.Network, testbed.TargetAddress(0))
		}},
		{"data port is closed", func(t *testing.T, b *testbed.Bed) {
			listener, err := b.Network.Listen(testbed.DataAddress(0))
			if err != nil {
				t.Fatal(err)
			}
			_ = listener.Close()
		}},
		{"data port leaves connection attempts unanswered", func(t *testing.T, b *testbed.Bed) {
			leaveUnanswered(t, b.Network, testbed.DataAddress(0))
		}},
	}
	for _, c := range cases {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, other target busy %t", c.name, busy), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkUnusableGrant(t, c.fail, busy) })
			})
		}
	}
}

// checkUnusableGrant has fail make the first target's grants unusable and sends calls, all of which must be answered
// within 6 s by the other target. If busy is set, each target is first given a call of 2 s.
func checkUnusableGrant(t *testing.T, fail func(*testing.T, *testbed.Bed), busy bool) {
	bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(2), Slots: 1})
	caller := newCaller(t, bed)
	var running sync.WaitGroup
	if busy {
		for i := range 2 {
			running.Go(func() { caller.Chat(context.Background(), fmt.Sprint("busy ", i), 500, true, nil) })
		}
		time.Sleep(10 * time.Millisecond)
	}
	fail(t, bed)
	start := time.Now()
	const calls = 6
	answers := parallel(calls, func(i int) testbed.Answer {
		return caller.Chat(context.Background(), fmt.Sprint("call ", i), 50, true, nil)
	})
	took := time.Since(start)
	running.Wait()
	if endings := checkAnswers(t, bed, answers); endings[testbed.Complete] != calls || took > 6*time.Second {
		t.Errorf("endings %v after %v, codes %q", endings, took, codes(answers))
	}
}

// TestRequestKeepsQueuePosition: a request waits at a busy target and gets a grant for another target, which
// leaves connection attempts unanswered. If its ticket at the first target is withdrawn, other requests fill the
// queue there while the connection is attempted, and the oldest request is refused because of a full queue in
// which it had a position before.
func TestRequestKeepsQueuePosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(2), Slots: 1, Adjust: func(s *settings.Settings) {
			for i := range s.Agents {
				s.Agents[i].QueueMinTokens = 120 // a short queue, which a few calls fill
				s.Agents[i].QueueTimeMS = 1
			}
		}})
		caller := newCaller(t, bed)
		leaveUnanswered(t, bed.Network, testbed.TargetAddress(0))
		var running sync.WaitGroup
		running.Go(func() { caller.Chat(context.Background(), "busy", 1000, true, nil) }) // takes 4 s at the target that works
		time.Sleep(1500 * time.Millisecond)
		answers := parallel(3, func(i int) testbed.Answer {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			return caller.Chat(context.Background(), fmt.Sprint("call ", i), 50, true, nil)
		})
		running.Wait()
		for i, a := range answers {
			checkInvariants(t, bed, a)
			if a.Ending != testbed.Complete {
				t.Errorf("call %d ended %v, %q", i, a.Ending, a.Code)
			}
		}
	})
}
