// Package experiment runs a workload on a test bed in virtual time under different scheduling policies, and reports
// goodput by tier and wasted prefill.
package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/settings"
	"quaydock/pkg/testbed"
)

// Scenario describes one experiment. The files in examples/experiments have its JSON form.
type Scenario struct {
	Name    string `json:"name"`
	Entries int    `json:"entries"`
	// DurationMS is the time within which requests arrive.
	DurationMS clock.Millis `json:"duration_ms"`
	// Load is the offered work as a fraction of the capacity of all engines; above 1 they are overloaded.
	Load    float64       `json:"load"`
	Engines []EngineGroup `json:"engines"`
	Classes []Class       `json:"classes"`
	Events  []Event       `json:"events,omitempty"`
}

// EngineGroup is a number of identical engines. All fields but Count are those of settings.EngineStandIn.
type EngineGroup struct {
	Count          int          `json:"count"`
	StepMS         clock.Millis `json:"step_ms"`
	PrefillPerStep int          `json:"prefill_per_step"`
	MaxBatch       int          `json:"max_batch"`
	CacheTokens    int          `json:"cache_tokens,omitempty"`
}

// Class is a class of requests.
type Class struct {
	Tier ids.Tier `json:"tier"`
	// Account has no effect: all requests are those of the test bed's only client account.
	Account ids.Account `json:"account"`
	// Fraction is the weight of the class among all requests; the sum need not be 1.
	Fraction float64 `json:"share"`
	// PromptBytes is the length of a prompt, without the text that numbers it.
	PromptBytes int `json:"prompt_bytes"`
	// The first SharedBytes of a prompt are one of SharedTexts different texts.
	SharedBytes int `json:"shared_bytes,omitempty"`
	SharedTexts int `json:"families,omitempty"`
	// Tokens is the mean length of an answer; lengths are distributed exponentially.
	Tokens float64 `json:"tokens"`
	// DeadlineMS is the deadline that callers set, from the sending of the request. Only answers within it count as
	// in time.
	DeadlineMS clock.Millis `json:"deadline_ms"`
}

// Event changes the deployment while the workload runs.
type Event struct {
	// AtMS is the time since the start of the workload.
	AtMS clock.Millis `json:"at_ms"`
	// The event affects the engines from index FirstEngine up to but excluding EndEngine.
	FirstEngine int `json:"first"`
	EndEngine   int `json:"last"`
	// SlowDown is the factor by which the steps of these engines take longer. 0 closes their agents and aborts all
	// running answers.
	SlowDown int `json:"slow_down"`
}

// Load reads the scenario file at path. Unknown fields are an error.
func Load(path string) (Scenario, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("reading the scenario: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	var s Scenario
	if err := d.Decode(&s); err != nil {
		return Scenario{}, fmt.Errorf("parsing scenario %s: %w", path, err)
	}
	return s, nil
}

// engines returns the settings of the engines of all groups.
func (s *Scenario) engines() []settings.EngineStandIn {
	var list []settings.EngineStandIn
	for _, g := range s.Engines {
		for range g.Count {
			list = append(list, settings.EngineStandIn{
				Model: testbed.Model, StepMS: g.StepMS, PrefillPerStep: g.PrefillPerStep, MaxBatch: g.MaxBatch, CacheTokens: g.CacheTokens,
			})
		}
	}
	return list
}

// arrivalsPerSecond returns the request rate at which the offered work is Load times the capacity of the engines.
// An engine makes one token for each slot of its batch in each step.
func (s *Scenario) arrivalsPerSecond() float64 {
	var tokens, perRequest, fractions float64
	for _, g := range s.Engines {
		tokens += float64(g.Count) * float64(g.MaxBatch) * float64(clock.Second) / float64(g.StepMS)
	}
	for _, c := range s.Classes {
		perRequest += c.Fraction * (c.Tokens + 1) // one more step for the prompt
		fractions += c.Fraction
	}
	return s.Load * tokens / (perRequest / fractions)
}
