package lifecycle_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/lifecycle"
)

func ExampleState_MayReportNotRun() {
	fmt.Println(lifecycle.Bound.MayReportNotRun(), lifecycle.Sent.MayReportNotRun())
	// Output: true false
}

// TestCanTransitionTo guards against a transition by which a request could run twice, or be reported as not run
// although it may have run.
func TestCanTransitionTo(t *testing.T) {
	scenarios := []struct {
		name     string
		from, to lifecycle.State
		want     bool
	}{
		{"a waiting request may be bound", lifecycle.Waiting, lifecycle.Bound, true},
		{"a sent request may wait again after a tombstone", lifecycle.Sent, lifecycle.Waiting, true},
		{"a dispatched request never waits again", lifecycle.Dispatched, lifecycle.Waiting, false},
		{"a dispatched request is never refused as not run", lifecycle.Dispatched, lifecycle.Refused, false},
		{"a sent request is never refused as not run", lifecycle.Sent, lifecycle.Refused, false},
		{"an answered request stays answered", lifecycle.Answered, lifecycle.Unknown, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := s.from.CanTransitionTo(s.to); got != s.want {
				t.Errorf("%v.CanTransitionTo(%v) = %v, want %v", s.from, s.to, got, s.want)
			}
		})
	}
}
