// Package loadmodel simulates a described load on a planner in virtual time, without a
// network: callers of all tiers with limited patience who return after the time that a refusal
// names, targets of different speed factors with limited slots, bursts, outages and
// restarts of the planner. It reports what callers get, and an upper bound of what the best possible
// order of work could have given them.
package loadmodel

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Kind is a kind of request. Requests of a kind differ in size.
type Kind struct {
	Name string       `json:"name"`
	Tier ids.TierRank `json:"tier"`
	// Account is the client account of the callers; if any kind has one, accounts of equal weight share each tier.
	Account ids.Account `json:"account,omitempty"`
	// PerSecond is the rate of new callers.
	PerSecond float64 `json:"per_second"`
	// Prompt and Events are the median size, in tokens and in events of the answer; Spread is the standard
	// deviation of the size's logarithm. Work, if set, is the median time to the first event in ms at a target of speed
	// factor 1 in place of Speed.FirstEvent; it grows with the size, too.
	Prompt ids.Tokens `json:"prompt_tokens"`
	Work   float64    `json:"work_ms,omitempty"`
	Events int        `json:"events"`
	Spread float64    `json:"spread"`
	// Objective is the time limit for the first event, from the caller's first try on.
	Objective clock.Millis `json:"objective_ms"`
	// Deadline is the time after the first try from which an answer is useless.
	Deadline clock.Millis `json:"deadline_ms"`
	// Patience is how long a caller waits for the first event of a try; 0 means until the deadline.
	Patience clock.Millis `json:"patience_ms"`
	// MaxReturns is how often a refused caller tries again at most.
	MaxReturns int `json:"returns"`
	// Worth is the value of an answer of median size within the objective, LateWorth that of a later one, in any unit
	// that all kinds share.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
}

// TargetGroup is a number of equal targets.
type TargetGroup struct {
	Count int `json:"count"`
	Slots int `json:"slots"`
	// Factor is the speed factor: their runs take so many times as long.
	Factor float64 `json:"factor"`
	// Crowded is how many times as long first events take if all slots are taken; it rises from 1 at half of the slots. 0
	// means that the number of running requests does not matter.
	Crowded float64 `json:"crowded,omitempty"`
}

// Passing slows some of the targets for a while, and then others: in each period of For each target is slowed with
// probability Fraction. If Reported is set, targets report it with first events, by what held up to Delay earlier. Lost is
// the fraction of reports that do not arrive.
type Passing struct {
	Fraction float64      `json:"share"`
	Factor   float64      `json:"times"`
	For      clock.Millis `json:"for_ms"`
	Reported bool         `json:"reported"`
	Delay    clock.Millis `json:"delay_ms"`
	Lost     float64      `json:"lost"`
}

// Speed gives the times of a target of speed factor 1, in milliseconds.
type Speed struct {
	// FirstEvent is the time to the first event of a request without a prompt, and PerThousandTokens what each
	// 1,000 tokens of the prompts that the target is prefilling add to it.
	FirstEvent        float64 `json:"first_ms"`
	PerThousandTokens float64 `json:"first_per_1000_tokens_ms"`
	// Event is the time for each event of the answer after that.
	Event float64 `json:"event_ms"`
}

// Burst multiplies the rate of callers of a kind, or of all kinds if Kind is empty, by Factor for a time.
type Burst struct {
	// At is the time since the start of the simulation.
	At     clock.Millis `json:"at_ms"`
	For    clock.Millis `json:"for_ms"`
	Factor float64      `json:"times"`
	Kind   string       `json:"kind,omitempty"`
}

// Outage stops a fraction of the targets for a time; the requests that run there are lost.
type Outage struct {
	// At is the time since the start of the simulation.
	At       clock.Millis `json:"at_ms"`
	For      clock.Millis `json:"for_ms"`
	Fraction float64      `json:"share"`
}

// Load is the description of a load.
type Load struct {
	// Length is the time within which new callers arrive.
	Length  clock.Millis  `json:"length_ms"`
	Kinds   []Kind        `json:"kinds"`
	Targets []TargetGroup `json:"targets"`
	Speed   Speed         `json:"speed"`
	Bursts  []Burst       `json:"bursts"`
	// Passing is nil if no target is slowed for a while.
	Passing *Passing `json:"passing,omitempty"`
	Outages []Outage `json:"outages"`
	// Restarts are the times, since the start of the simulation, at which the planner is replaced.
	Restarts []clock.Millis `json:"planner_restarts_ms"`
	// Seed determines all random draws; the same seed gives the same results.
	Seed uint64 `json:"seed"`
	// Off are the planner's mechanisms that are switched off.
	Off ablation.Set `json:"-"`
}

// Read reads and checks a description of a load in JSON. Unknown fields are rejected.
func Read(from io.Reader) (Load, error) {
	var l Load
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&l); err != nil {
		return l, fmt.Errorf("decoding the description of a load: %w", err)
	}
	return l, l.check()
}

// check returns an error that names every fault of the load, or nil.
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
		require(k.PerSecond >= 0 && k.Objective > 0 && k.Deadline >= k.Objective, "kind "+k.Name+" needs per_second of at least 0, objective_ms above 0 and deadline_ms of at least objective_ms")
	}
	for _, t := range l.Targets {
		require(t.Count > 0 && t.Slots > 0 && t.Factor > 0, "targets need count, slots and factor above 0")
	}
	if s := l.Passing; s != nil {
		require(s.For > 0 && s.Factor > 0, "passing needs for_ms and times above 0")
	}
	for _, o := range l.Outages {
		require(o.Fraction > 0 && o.Fraction <= 1, "an outage needs a share above 0 and at most 1")
	}
	return errors.Join(faults...)
}

// burstFactor returns the factor by which bursts raise the rate of a kind's callers at a time.
func (l *Load) burstFactor(at clock.Millis, kind string) float64 {
	x := 1.0
	for _, b := range l.Bursts {
		if (b.Kind == "" || b.Kind == kind) && at >= b.At && at < b.At+b.For {
			x *= b.Factor
		}
	}
	return x
}
