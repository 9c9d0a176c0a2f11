package descriptors_test

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/descriptors"
)

// TestLimitsFor guards against callers that get more than half of the descriptors that are left after the reserve, and
// against none for them where the process has fewer than the reserve.
func TestLimitsFor(t *testing.T) {
	scenarios := []struct {
		limit int // descriptors of the process
		want  descriptors.Limits
	}{
		{64, descriptors.Limits{Callers: 20, Rejecting: 4, Extra: 2}},
		{1024, descriptors.Limits{Callers: 416, Rejecting: 64, Extra: 32}},
		{4000, descriptors.Limits{Callers: 1747, Rejecting: 250, Extra: 125}},
		{10, descriptors.Limits{Callers: 1, Rejecting: 4, Extra: 2}},
	}
	for _, s := range scenarios {
		if got := descriptors.LimitsFor(s.limit); got != s.want {
			t.Errorf("limit %d: %+v, want %+v", s.limit, got, s.want)
		}
	}
}

// TestLimiter guards against callers that hold more connections than their limit, and against a shortage that begins
// twice.
func TestLimiter(t *testing.T) {
	type arrival struct {
		idle   bool // a connection is idle
		want   descriptors.Step
		begins bool // a shortage begins
	}
	scenarios := []struct {
		name     string
		arrivals []arrival
	}{
		{"accepted up to the limit", []arrival{{false, descriptors.StepTake, false}, {true, descriptors.StepTake, false}}},
		{"beyond it the longest idle one is replaced", []arrival{
			{false, descriptors.StepTake, false}, {false, descriptors.StepTake, false},
			{true, descriptors.StepReplace, true}, {true, descriptors.StepReplace, false},
		}},
		{"without an idle one they are rejected, up to the limit for that", []arrival{
			{false, descriptors.StepTake, false}, {false, descriptors.StepTake, false},
			{false, descriptors.StepTurnAway, true}, {false, descriptors.StepWait, false},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := descriptors.NewLimiter(descriptors.Limits{Callers: 2, Rejecting: 1})
			for n, a := range s.arrivals {
				if step, begins := b.Arrive(0, a.idle); step != a.want || begins != a.begins {
					t.Errorf("arrival %d: %v, a shortage begins: %t, want %v, %t", n, step, begins, a.want, a.begins)
				}
			}
		})
	}
}

// TestEndedShortageIsReportedOnce guards against a shortage that ends while callers are at their limit or within a
// second after, or that is reported again.
func TestEndedShortageIsReportedOnce(t *testing.T) {
	b := descriptors.NewLimiter(descriptors.Limits{Callers: 2, Rejecting: 1})
	for range 2 {
		b.Arrive(0, false)
	}
	b.Arrive(100, true)
	b.Arrive(200, false)
	if !b.AtLimit() || b.EndedShortage(5*clock.Second) != nil {
		t.Error("shortage ended while callers hold their limit")
	}
	b.Ended()
	if b.EndedShortage(900) != nil {
		t.Error("shortage ended within a second")
	}
	s := b.EndedShortage(1200)
	if s == nil || s.Began != 100 || s.Replaced != 1 || s.Rejected != 1 {
		t.Fatalf("ended shortage: %+v", s)
	}
	if b.EndedShortage(1300) != nil {
		t.Error("ended shortage returned twice")
	}
	if _, begins := b.Arrive(1400, false); begins {
		t.Error("a connection within the limit begins a shortage")
	}
}
