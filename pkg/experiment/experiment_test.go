package experiment_test

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"
	"testing/synctest"

	"quaydock/pkg/experiment"
)

var (
	scenarioName = flag.String("scenario", "short", "the scenario: a file name in examples/experiments without extension, or all")
	seed         = flag.Uint64("seed", 1, "random seed; the same seed repeats a run")
	policy       = flag.String("policy", "", "run only this policy; all if empty")
)

const scenariosDir = "../../examples/experiments/"

// TestExperiment prints the table of results of a scenario. It checks only the invariants that Result.Violations
// counts, never a measured value.
func TestExperiment(t *testing.T) {
	names := []string{scenariosDir + *scenarioName + ".json"}
	if *scenarioName == "all" {
		var err error
		if names, err = filepath.Glob(scenariosDir + "*.json"); err != nil {
			t.Fatal(err)
		}
	}
	policies := experiment.Policies()
	if *policy != "" {
		policies = []string{*policy}
	}
	for _, name := range names {
		s, err := experiment.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		var results []*experiment.Result
		for _, p := range policies {
			results = append(results, runOne(t, s, p))
		}
		fmt.Println(experiment.Table(results))
	}
}

// runOne runs a scenario under a policy in virtual time, and fails the test for violations of invariants.
func runOne(t *testing.T, s experiment.Scenario, policy string) *experiment.Result {
	var result *experiment.Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		if result, err = experiment.Run(s, policy, *seed); err != nil {
			t.Fatal(err)
		}
	})
	if result.Violations > 0 {
		t.Errorf("scenario %s, policy %s: %d violations of invariants", s.Name, policy, result.Violations)
	}
	return result
}
