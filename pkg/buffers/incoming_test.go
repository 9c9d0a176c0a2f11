package buffers_test

import (
	"testing"

	"quaydock/pkg/buffers"
)

// TestLargestIncomingIsDropped guards against the loss of sound answers to targets whose bytes have no end: over the bound
// the exchange that holds most goes, whoever asks for more.
func TestLargestIncomingIsDropped(t *testing.T) {
	const bound = 100
	steps := []struct {
		exchange int // index of the one that holds more
		bytes    int
		dropped  []int // indexes of those that are broken off
		held     bool
	}{
		{0, 60, nil, true},
		{1, 10, nil, true},
		{2, 30, nil, true},
		{1, 1, []int{0}, true},    // 101: the largest gives way to a small one
		{0, 1, nil, false},        // it stays dropped
		{2, 59, nil, true},        // 100
		{2, 1, []int{2}, false},   // 101: the one that asks is the largest
		{1, 200, []int{1}, false}, // more than there is
	}
	a := buffers.NewAccount(buffers.Limits{Incoming: bound})
	exchanges := make([]buffers.Incoming, 3)
	var broken []int
	for i := range exchanges {
		exchanges[i].BreakOff = func(int) { broken = append(broken, i) }
	}
	for n, s := range steps {
		broken = nil
		dropped, held := a.HoldIncoming(&exchanges[s.exchange], s.bytes)
		buffers.BreakOffIncoming(dropped)
		if held != s.held || len(broken) != len(s.dropped) || len(broken) > 0 && broken[0] != s.dropped[0] {
			t.Errorf("step %d: held %t, dropped %v, want %t, %v", n, held, broken, s.held, s.dropped)
		}
		if now := a.Usage().Incoming; now > bound {
			t.Errorf("step %d: %d bytes are held of %d", n, now, bound)
		}
	}
	for i := range exchanges {
		a.DropIncoming(&exchanges[i])
	}
	if left := a.Usage().Incoming; left != 0 {
		t.Errorf("%d bytes are left", left)
	}
}

// TestIncomingTakesNothingFromCallers guards against slow readers and bodies that give way to bytes that are no answer.
func TestIncomingTakesNothingFromCallers(t *testing.T) {
	limits := buffers.LimitsFor(112)
	a := buffers.NewAccount(limits)
	var slow buffers.Reader
	slow.BreakOff = func(buffers.End) { t.Error("a slow reader was broken off") }
	buffers.BreakOff(a.Hold(0, &slow, limits.Total))
	in := buffers.Incoming{BreakOff: func(int) {}}
	if _, held := a.HoldIncoming(&in, limits.Incoming); !held {
		t.Errorf("%d incoming bytes don't fit", limits.Incoming)
	}
	if slowest, _ := a.HoldIncoming(&buffers.Incoming{BreakOff: func(int) {}}, 1); len(slowest) != 1 {
		t.Errorf("%d exchanges are dropped, want the largest one", len(slowest))
	}
}
