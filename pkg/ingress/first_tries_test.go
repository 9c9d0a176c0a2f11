package ingress

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// TestSinceFirstTry guards against a request that comes back and is taken for a first try, and against a first try that
// is taken for a later one, as callers have different deadlines or change them.
func TestSinceFirstTry(t *testing.T) {
	repeat := func(n int, deadlines ...clock.Millis) []clock.Millis {
		var all []clock.Millis
		for range n {
			all = append(all, deadlines...)
		}
		return all
	}
	scenarios := []struct {
		name          string
		seen          []clock.Millis // deadlines of earlier requests, in order
		deadline      clock.Millis
		before, other clock.Millis // time since the first try: of deadline, and then of a deadline of 12 s
	}{
		{"nothing is known", nil, 9_000, 0, 0},
		{"too little is known", repeat(1, 12_000), 9_000, 0, 0},
		{"all first tries have the same deadline", repeat(20, 12_000), 9_000, 3_000, 0},
		{"a few ms less, for the connection", repeat(20, 12_000), 11_997, 0, 0},
		{"most come back", repeat(20, 12_000, 8_000, 7_000), 7_000, 5_000, 0},
		{"callers have different deadlines", repeat(20, 12_000, 11_000, 10_000, 9_000, 8_000, 7_000, 6_000, 5_000), 7_000, 0, 0},
		{"one caller waits far longer", append(repeat(20, 12_000), 60_000), 9_000, 0, 0},
		{"callers begin to wait longer", append(repeat(20, 12_000), repeat(10, 15_000)...), 12_000, 3_000, 3_000},
		{"callers begin to wait less", append(repeat(200, 15_000), repeat(900, 12_000)...), 9_000, 3_000, 0},
		{"no deadline", repeat(20, 12_000), 0, 0, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			tries := newFirstTries()
			route := &routing.Route{Name: "r"}
			for _, d := range s.seen {
				tries.sinceFirstTry(route, d)
			}
			if got := tries.sinceFirstTry(route, s.deadline); got != s.before {
				t.Errorf("a deadline of %d: first try %d ms ago, want %d", s.deadline, got, s.before)
			}
			if got := tries.sinceFirstTry(route, 12_000); got != s.other {
				t.Errorf("a deadline of 12 s: first try %d ms ago, want %d", got, s.other)
			}
		})
	}
}

// TestRemovedRoutesAreDropped guards against memory that grows with each route that ever existed.
func TestRemovedRoutesAreDropped(t *testing.T) {
	tries := newFirstTries()
	for _, name := range []string{"kept", "gone"} {
		tries.sinceFirstTry(&routing.Route{Name: name}, 1_000)
	}
	tries.retain(func(route string) bool { return route == "kept" })
	if len(tries.routes) != 1 || tries.routes["kept"] == nil {
		t.Errorf("left: %v", tries.routes)
	}
}
