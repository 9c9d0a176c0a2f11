package lifecycle_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/lifecycle"
)

func ExampleState_NotRunMayBeSaid() {
	fmt.Println(lifecycle.Bound.NotRunMayBeSaid(), lifecycle.Sent.NotRunMayBeSaid())
	// Output: true false
}

func TestMayBecome(t *testing.T) {
	scenarios := []struct {
		name     string
		from, to lifecycle.State
		want     bool
	}{
		{"a waiting request is bound", lifecycle.Waiting, lifecycle.Bound, true},
		{"a tombstone lets it wait again", lifecycle.Sent, lifecycle.Waiting, true},
		{"a dispatched one never waits again", lifecycle.Dispatched, lifecycle.Waiting, false},
		{"a dispatched one is never refused as not run", lifecycle.Dispatched, lifecycle.Refused, false},
		{"a sent one is never refused as not run", lifecycle.Sent, lifecycle.Refused, false},
		{"an answered one stays answered", lifecycle.Answered, lifecycle.Unknown, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := s.from.MayBecome(s.to); got != s.want {
				t.Errorf("%v.MayBecome(%v) = %v, want %v", s.from, s.to, got, s.want)
			}
		})
	}
}
