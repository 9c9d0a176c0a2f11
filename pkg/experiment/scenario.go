// Package experiment runs a workload on a test bed in virtual time, under one
// policy after the other, and reports goodput by tier and wasted prefill.
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

// Scenario is one experiment, as kept in examples/experiments.
type Scenario struct {
	Name       string       `json:"name"`
	Entries    int          `json:"entries"`
	DurationMS clock.Millis `json:"duration_ms"`
	// Load is the offered work over what all engines can do.
	Load    float64       `json:"load"`
	Engines []EngineGroup `json:"engines"`
	Classes []Class       `json:"classes"`
	Events  []Event       `json:"events,omitempty"`
}

// EngineGroup is a number of equal engines.
type EngineGroup struct {
	Count          int          `json:"count"`
	StepMS         clock.Millis `json:"step_ms"`
	PrefillPerStep int          `json:"prefill_per_step"`
	MaxBatch       int          `json:"max_batch"`
	CacheTokens    int          `json:"cache_tokens,omitempty"`
}

// Class is one kind of request.
type Class struct {
	Tier    ids.Tier    `json:"tier"`
	Account ids.Account `json:"account"`
	// Share is the part of all requests.
	Share       float64 `json:"share"`
	PromptBytes int     `json:"prompt_bytes"`
	// SharedBytes at the beginning of a prompt are one of Families texts.
	SharedBytes int `json:"shared_bytes,omitempty"`
	Families    int `json:"families,omitempty"`
	// Tokens is the mean length of an answer; lengths are exponential.
	Tokens     float64      `json:"tokens"`
	DeadlineMS clock.Millis `json:"deadline_ms"`
}

// Event changes the deployment while the workload runs.
type Event struct {
	AtMS clock.Millis `json:"at_ms"`
	// Engines are the first engine and the one after the last.
	First int `json:"first"`
	Last  int `json:"last"`
	// SlowDown makes their steps take so many times as long; 0 kills them and
	// their agents.
	SlowDown int `json:"slow_down"`
}

// Load reads the scenario at path.
func Load(path string) (Scenario, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	var s Scenario
	if err := d.Decode(&s); err != nil {
		return Scenario{}, fmt.Errorf("scenario %s: %w", path, err)
	}
	return s, nil
}

// engines lists the engines of all groups.
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

// arrivalsPerSecond is the rate at which the offered work is Load times what
// the engines can do: each step gives each place of the batch one token.
func (s *Scenario) arrivalsPerSecond() float64 {
	var tokens, each, shares float64
	for _, g := range s.Engines {
		tokens += float64(g.Count) * float64(g.MaxBatch) * float64(clock.Second) / float64(g.StepMS)
	}
	for _, c := range s.Classes {
		each += c.Share * (c.Tokens + 1) // and a step for the prompt
		shares += c.Share
	}
	return s.Load * tokens / (each / shares)
}
