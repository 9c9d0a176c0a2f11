package gate_test

import (
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
)

// TestNoGrantsDuringBackoff checks that during its target's back-off a gate grants nothing, keeps the tickets that can
// wait for the end and declines the others as full, since the target will work again; NextTick returns the end of the
// back-off.
func TestNoGrantsDuringBackoff(t *testing.T) {
	const backoff = 3 * clock.Second
	g := newGate(2)
	g.BackOff(0, backoff)
	patient, short := ticket("patient", 1, "a", 10), ticket("short", 1, "a", 10)
	patient.Remaining, short.Remaining = 10*clock.Second, 2*clock.Second
	if v := g.Place(0, 1, patient); v.Kind != control.Queued {
		t.Fatalf("a ticket that can wait: %v %v", v.Kind, v.Reason)
	}
	if v := g.Place(0, 1, short); v.Reason != control.Full {
		t.Errorf("a ticket that can't wait: %v %v", v.Kind, v.Reason)
	}
	load := g.Load(1000)
	if load.Free != 0 || load.Rest != 2000 {
		t.Errorf("%d free, back-off %d ms", load.Free, load.Rest)
	}
	if at, waits := g.NextTick(1000); !waits || at != backoff {
		t.Errorf("next tick at %d, %t", at, waits)
	}
	g.Tick(backoff - 1)
	if got := useAllGrants(g, backoff-1); len(got) > 0 {
		t.Errorf("granted %v during the back-off", got)
	}
	g.Tick(backoff)
	if got := useAllGrants(g, backoff); !slices.Equal(got, []string{"patient"}) {
		t.Errorf("granted %v after the back-off", got)
	}
	if load := g.Load(backoff); load.Free != 2 || load.Rest != 0 {
		t.Errorf("%d free, back-off %d ms at the end", load.Free, load.Rest)
	}
}

// TestOpenGrantIsUsableDuringBackoff: the entry has sent the body already.
func TestOpenGrantIsUsableDuringBackoff(t *testing.T) {
	g := newGate(1)
	v := g.Place(0, 1, ticket("first", 1, "a", 10))
	g.BackOff(0, clock.Second)
	if v.Kind != control.Granted || !g.Use(10, v.Grant, "first") {
		t.Errorf("verdict %v, or its grant is not usable", v.Kind)
	}
}
