package declaration_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
)

// TestMain fixes the seed, so that every run checks the same sets.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestDiffAndApply checks that a change turns one set into the other, up to the order of lists, and that the change is
// empty exactly if the one in the other direction is.
func TestDiffAndApply(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		from, to := drawSet(r), drawSet(r)
		change := declaration.Diff(from, to)
		result := change.Apply(from)
		if remaining := declaration.Diff(result, to); !remaining.Empty() {
			t.Fatalf("after the change %+v the sets still differ: %+v", change, remaining)
		}
		if change.Empty() != reflect.DeepEqual(declaration.Diff(to, from), declaration.Change{}) {
			t.Fatalf("change %+v is empty in one direction only", change)
		}
	})
}

// drawSet draws a set with one to three tiers and some of four targets, with the placements of these. It need not pass
// Set.Check.
func drawSet(r *rapid.T) declaration.Set {
	var s declaration.Set
	for i := range rapid.IntRange(1, 3).Draw(r, "tiers") {
		s.Tiers = append(s.Tiers, declaration.Tier{Name: ids.Tier(fmt.Sprint("tier", i)), DeadlineMS: 1})
	}
	for i := range 4 {
		if rapid.Bool().Draw(r, "target") {
			name := ids.Target(fmt.Sprint("t", i))
			s.Targets = append(s.Targets, declaration.Target{Name: name, Slots: rapid.IntRange(1, 2).Draw(r, "slots")})
			s.Placements = append(s.Placements, declaration.Placement{Service: "m", Target: name})
		}
	}
	return s
}
