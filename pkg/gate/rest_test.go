package gate_test

import (
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
)

// TestATargetRests: while its target wants nothing a gate grants nothing, keeps the tickets that can wait for the end
// and declines the others as full, since the target will work again; it says when it has to be asked again.
func TestATargetRests(t *testing.T) {
	const rest = 3 * clock.Second
	g := newGate(2)
	g.BackOff(0, rest)
	patient, short := ticket("patient", 1, "a", 10), ticket("short", 1, "a", 10)
	patient.Remaining, short.Remaining = 10*clock.Second, 2*clock.Second
	if v := g.Place(0, 1, patient); v.Kind != control.Queued {
		t.Fatalf("a ticket that can wait: %v %v", v.Kind, v.Reason)
	}
	if v := g.Place(0, 1, short); v.Reason != control.Full {
		t.Errorf("a ticket that can't: %v %v", v.Kind, v.Reason)
	}
	load := g.Load(1000)
	if load.Free != 0 || load.Rest != 2000 {
		t.Errorf("%d free, rest %d ms", load.Free, load.Rest)
	}
	if at, waits := g.NextTick(1000); !waits || at != rest {
		t.Errorf("next tick at %d, %t", at, waits)
	}
	g.Tick(rest - 1)
	if got := granted(g, rest-1); len(got) > 0 {
		t.Errorf("granted %v while it rests", got)
	}
	g.Tick(rest)
	if got := granted(g, rest); !slices.Equal(got, []string{"patient"}) {
		t.Errorf("granted %v at the end", got)
	}
	if load := g.Load(rest); load.Free != 2 || load.Rest != 0 {
		t.Errorf("%d free, rest %d ms at the end", load.Free, load.Rest)
	}
}

// TestAGrantThatIsOutIsUsedDuringARest: its entry has sent the body already.
func TestAGrantThatIsOutIsUsedDuringARest(t *testing.T) {
	g := newGate(1)
	v := g.Place(0, 1, ticket("first", 1, "a", 10))
	g.BackOff(0, clock.Second)
	if v.Kind != control.Granted || !g.Use(10, v.Grant, "first") {
		t.Errorf("verdict %v, or its grant is not good", v.Kind)
	}
}
