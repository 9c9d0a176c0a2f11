package testbed_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/testbed"
)

// TestLossIsReportedInTime: if the target or the agent of an answer is lost for good, the caller learns it in time: the
// retries that keep answers alive over broken connections may not delay it.
func TestLossIsReportedInTime(t *testing.T) {
	cases := []struct {
		name  string
		act   func(*scenario) // makes the failure
		limit time.Duration   // from the failure to the end of the answer
	}{
		{"target ends", func(s *scenario) { s.bed.EndTarget(0) }, 1600 * time.Millisecond},
		{"target loses its answers", func(s *scenario) { s.bed.Engines[0].AbortAll() }, 1600 * time.Millisecond},
		{"agent ends", func(s *scenario) { s.bed.Agents[0].Close() }, 12 * time.Second},
		{"agent's VM is partitioned", func(s *scenario) {
			for _, address := range []string{testbed.ControlAddress(0), testbed.DataAddress(0)} {
				s.conns.hold(address, clock.Minute)
				s.conns.breakAll(address)
			}
		}, 12 * time.Second},
	}
	for _, c := range cases {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stream %t", c.name, stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					conns := newBreakableConns()
					bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 1, Wrap: conns.wrap})
					s := &scenario{t: t, bed: bed, conns: conns}
					const after = time.Second
					s.at(after, func() { c.act(s) })
					start := time.Now()
					answer := newCaller(t, bed).Chat(context.Background(), "long", 5000, stream, nil)
					took := time.Since(start) - after
					s.actions.Wait()
					checkInvariants(t, bed, answer)
					if answer.Ending == testbed.Complete || took > c.limit {
						t.Errorf("answer ended %v, %v after the failure", answer.Ending, took)
					}
					t.Log(answer.Ending, took)
				})
			})
		}
	}
}
