package planner_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// engines simulates engines that read a prompt in chunks between the tokens of concurrent streams: reading takes 10
// ms per 1,000 tokens, an event 20 ms, and each event is delayed by at most 100 ms, all times the engine's factor.
type engines struct {
	p       *planner.Planner
	now     clock.Millis
	next    uint64
	factors map[ids.Target]float64
}

const (
	simulatedRead     = 0.01  // ms per prompt token
	simulatedEvent    = 20.0  // ms per event
	simulatedMaxStall = 100.0 // longest delay of one event by prompts that are read, in ms
)

// stream submits a stream of 20 events, each at most 400 ms after the one before to be in time. It returns the target
// that the stream was assigned to, or "" if it waits.
func (e *engines) stream(prompt ids.Tokens) (planner.JobID, ids.Target) {
	e.next++
	j := job(e.next, 0)
	j.Prompt, j.Events, j.MaxEventGap = prompt, 20, 400
	j.Arrived, j.Objective, j.Deadline = e.now, 2*clock.Second, e.now+20*clock.Second
	e.p.Submit(e.now, j)
	for _, d := range e.p.Decisions() {
		if g, ok := d.(planner.Grant); ok && g.ID == j.ID {
			return j.ID, g.Incarnation.Target
		}
	}
	return j.ID, ""
}

// begin lets the time pass that an engine reads a prompt, and records the first event.
func (e *engines) begin(id planner.JobID, at ids.Target, prompt ids.Tokens) {
	e.now += clock.Millis(e.factors[at] * (simulatedRead*float64(prompt) + 1))
	e.p.RecordFirstEvent(e.now, id, nil)
}

// finish lets a stream of 20 events pass, with one gap by a prompt of delayedBy tokens that was read beside it.
func (e *engines) finish(id planner.JobID, at ids.Target, delayedBy ids.Tokens) {
	longest := e.factors[at] * (simulatedEvent + min(simulatedMaxStall, simulatedRead*float64(delayedBy)))
	e.now += clock.Millis(20 * simulatedEvent * e.factors[at])
	e.p.Finish(e.now, id, planner.Served, planner.StreamStats{Events: 20, LongestGap: clock.Millis(longest)})
}

// serveOverlappingPairs has the engines serve pairs of streams, the second of which delays the first with its prompt of
// held tokens if both are on one engine.
func (e *engines) serveOverlappingPairs(rounds int, held ids.Tokens) {
	for i := range rounds {
		prompt := ids.Tokens(500 + 500*(i%4))
		first, at := e.stream(prompt)
		if at == "" {
			continue
		}
		e.begin(first, at, prompt)
		second, beside := e.stream(held)
		if beside == "" {
			e.finish(first, at, 0)
			continue
		}
		e.begin(second, beside, held)
		if beside == at {
			e.finish(first, at, held)
		} else {
			e.finish(first, at, 0)
		}
		e.finish(second, beside, 0)
	}
}

// newEngines returns engines of these factors with a number of slots each, before any request.
func newEngines(slots int, factors ...float64) *engines {
	e := &engines{now: start, factors: make(map[ids.Target]float64)}
	all := make([]int, len(factors))
	for i, f := range factors {
		all[i] = slots
		e.factors[ids.Target(fmt.Sprintf("t%d", i))] = f
	}
	e.p = newPlanner(all...)
	return e
}

// TestLongPromptWaitsRatherThanStallStreams has free slots on a slow engine only, beside a stream: a short prompt
// goes there, and a long one, which would delay that stream beyond its allowed gap, waits for the fast engine.
func TestLongPromptWaitsRatherThanStallStreams(t *testing.T) {
	scenarios := []struct {
		name   string
		prompt ids.Tokens
		want   ids.Target
	}{
		{"a short prompt", 300, "t1"},
		{"a long prompt", 30_000, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			e := newEngines(2, 1, 8)
			e.serveOverlappingPairs(200, 1000)
			taken := make(map[ids.Target]int)
			for range 3 {
				id, at := e.stream(200)
				e.begin(id, at, 200)
				taken[at]++
			}
			if taken["t0"] != 2 || taken["t1"] != 1 {
				t.Fatalf("first three streams on %v, want 2 on t0 and 1 on t1", taken)
			}
			if _, at := e.stream(s.prompt); at != s.want {
				t.Errorf("placed on %q, want %q", at, s.want)
			}
		})
	}
}

// TestPrefillStallIsLearned has engines that delay an event by 100 ms at most, however long the prompt. Once that
// is learned, a prompt of any length is placed beside a stream.
func TestPrefillStallIsLearned(t *testing.T) {
	const long = 60_000 // 600 ms to read, more than the gap that a stream allows
	e := newEngines(4, 1)
	e.serveOverlappingPairs(300, long)
	id, at := e.stream(200)
	e.begin(id, at, 200)
	if _, at := e.stream(long); at == "" {
		t.Errorf("a long prompt waits although it delays no stream; planner: %+v", e.p.Summary(e.now))
	}
	if hold := e.p.Summary(e.now).PrefillStall; hold < 0.7*simulatedMaxStall || hold > 1.5*simulatedMaxStall {
		t.Errorf("estimated prefill stall %.0f ms, want about %.0f", hold, simulatedMaxStall)
	}
}
