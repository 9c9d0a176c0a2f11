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
	scenarioName = flag.String("scenario", "short", "the scenario, by its file in examples/experiments; or all")
	seed         = flag.Uint64("seed", 1, "repeats a run")
	policy       = flag.String("policy", "", "only this policy")
)

const folder = "../../examples/experiments/"

// TestExperiment prints the table of a scenario. Its checks are the invariants,
// never a figure.
func TestExperiment(t *testing.T) {
	names := []string{folder + *scenarioName + ".json"}
	if *scenarioName == "all" {
		var err error
		if names, err = filepath.Glob(folder + "*.json"); err != nil {
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

func runOne(t *testing.T, s experiment.Scenario, policy string) *experiment.Result {
	var result *experiment.Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		if result, err = experiment.Run(s, policy, *seed); err != nil {
			t.Fatal(err)
		}
	})
	if result.Violations > 0 {
		t.Errorf("%s under %s: %d violations", s.Name, policy, result.Violations)
	}
	return result
}
