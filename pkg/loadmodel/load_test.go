package loadmodel_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/loadmodel"
)

// TestInvalidDescriptionsAreRefused: a description with a fault gives an error that names it, not a simulation.
func TestInvalidDescriptionsAreRefused(t *testing.T) {
	// The error must contain says.
	scenarios := []struct{ name, text, says string }{
		{"no length", `{"kinds": [{"name": "a", "objective_ms": 1, "deadline_ms": 1}], "targets": [{"count": 1, "slots": 1, "factor": 1}]}`, "length_ms"},
		{"unknown field", `{"length": 1}`, "unknown field"},
		{"a target without slots", `{"length_ms": 1, "kinds": [{"name": "a", "objective_ms": 1, "deadline_ms": 1}], "targets": [{"count": 1, "factor": 1}]}`, "slots"},
		{"a deadline before the objective", `{"length_ms": 1, "kinds": [{"name": "a", "objective_ms": 9, "deadline_ms": 1}], "targets": [{"count": 1, "slots": 1, "factor": 1}]}`, "kind a"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := loadmodel.Read(strings.NewReader(s.text))
			if err == nil || !strings.Contains(err.Error(), s.says) {
				t.Errorf("got error %v, want one that contains %q", err, s.says)
			}
		})
	}
}

// TestExampleLoadIsSimulated simulates the example load of the repository twice. The results must be equal, and every
// caller must be counted once.
func TestExampleLoadIsSimulated(t *testing.T) {
	file, err := os.Open("../../examples/loads/overload.json")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	load, err := loadmodel.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	first, again := loadmodel.Simulate(load, loadmodel.Observer{}), loadmodel.Simulate(load, loadmodel.Observer{})
	if first.Total() != again.Total() {
		t.Error("two simulations with the same seed differ")
	}
	if all := first.Total(); all.Callers != all.InTime+all.Late+all.Refused+all.RefusedAgain+all.Lost {
		t.Errorf("%d callers, but their results do not add up to that: %+v", all.Callers, all)
	}
}

func ExampleUpperBound() {
	load := loadmodel.Load{
		Length:  4 * clock.Second,
		Kinds:   []loadmodel.Kind{{Name: "tag", PerSecond: 20, Prompt: 1000, Events: 5, Objective: 500, Deadline: 2000, Worth: 1, LateWorth: 0.3}},
		Targets: []loadmodel.TargetGroup{{Count: 1, Slots: 2, Factor: 1}}, // two slots, half of what the callers need
		Speed:   loadmodel.Speed{FirstEvent: 50, PerThousandTokens: 50, Event: 20},
		Seed:    1,
	}
	earned := loadmodel.UpperBound(load).Total().EarnedFraction()
	fmt.Println(earned > 0.4 && earned < 0.65)
	// Output: true
}
