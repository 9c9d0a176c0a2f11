// Package loadmodel plays a described load against a planner in virtual time, without a
// network: callers by tier with first tries, patience and returns after what they were
// told, unlike targets whose places are taken by what they were given, bursts, outages and
// planners that begin anew. It tells what callers get, and what the best possible order
// could have given them.
package loadmodel

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Kind is a kind of request. Requests of a kind differ in size.
type Kind struct {
	Name string       `json:"name"`
	Tier ids.TierRank `json:"tier"`
	// PerSecond is how many callers ask a second.
	PerSecond float64 `json:"per_second"`
	// Prompt and Events are the middle size; Spread is the standard deviation of its
	// logarithm.
	Prompt ids.Tokens `json:"prompt_tokens"`
	Events int        `json:"events"`
	Spread float64    `json:"spread"`
	// Objective is for the first event, by the caller's first try.
	Objective clock.Millis `json:"objective_ms"`
	Deadline  clock.Millis `json:"deadline_ms"`
	// Patience is for how long a caller waits for a first sign; 0 if to the deadline.
	Patience clock.Millis `json:"patience_ms"`
	// Returns is how often a caller comes back.
	Returns int `json:"returns"`
	// Worth is what an answer in time is worth, Late one after the objective.
	Worth float64 `json:"worth"`
	Late  float64 `json:"late_worth"`
}

// TargetGroup are some alike.
type TargetGroup struct {
	Count int `json:"count"`
	Slots int `json:"slots"`
	// Factor is how much slower than the others they are.
	Factor float64 `json:"factor"`
}

// Speed is how long a target of factor 1 takes.
type Speed struct {
	First         float64 `json:"first_ms"`
	ThousandToken float64 `json:"first_per_1000_tokens_ms"`
	Event         float64 `json:"event_ms"`
}

// Burst multiplies the callers of a kind, or of all kinds, for a while.
type Burst struct {
	At    clock.Millis `json:"at_ms"`
	For   clock.Millis `json:"for_ms"`
	Times float64      `json:"times"`
	Kind  string       `json:"kind,omitempty"`
}

// Outage takes a share of the targets away for a while; what runs there is lost.
type Outage struct {
	At    clock.Millis `json:"at_ms"`
	For   clock.Millis `json:"for_ms"`
	Share float64      `json:"share"`
}

// Load is what is played.
type Load struct {
	Length   clock.Millis   `json:"length_ms"`
	Kinds    []Kind         `json:"kinds"`
	Targets  []TargetGroup  `json:"targets"`
	Speed    Speed          `json:"speed"`
	Bursts   []Burst        `json:"bursts"`
	Outages  []Outage       `json:"outages"`
	Restarts []clock.Millis `json:"planner_restarts_ms"`
	Seed     uint64         `json:"seed"`
}

// Read reads and checks a description of a load.
func Read(from io.Reader) (Load, error) {
	var l Load
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&l); err != nil {
		return l, fmt.Errorf("description of a load: %w", err)
	}
	return l, l.check()
}

func (l *Load) check() error {
	var faults []error
	require := func(holds bool, what string) {
		if !holds {
			faults = append(faults, errors.New("load: "+what))
		}
	}
	require(l.Length > 0, "length_ms is not above 0")
	require(len(l.Kinds) > 0, "there are no kinds")
	require(len(l.Targets) > 0, "there are no targets")
	for _, k := range l.Kinds {
		require(k.PerSecond >= 0 && k.Objective > 0 && k.Deadline >= k.Objective, "kind "+k.Name+" needs per_second, objective_ms and a deadline_ms behind it")
	}
	for _, t := range l.Targets {
		require(t.Count > 0 && t.Slots > 0 && t.Factor > 0, "targets need count, slots and factor above 0")
	}
	for _, o := range l.Outages {
		require(o.Share > 0 && o.Share <= 1, "an outage needs a share above 0, 1 at the most")
	}
	return errors.Join(faults...)
}

// times is how much more a kind's callers ask at a moment than usual.
func (l *Load) times(at clock.Millis, kind string) float64 {
	x := 1.0
	for _, b := range l.Bursts {
		if (b.Kind == "" || b.Kind == kind) && at >= b.At && at < b.At+b.For {
			x *= b.Times
		}
	}
	return x
}
