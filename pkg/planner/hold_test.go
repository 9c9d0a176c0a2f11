package planner_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// engines plays engines that read a prompt in pieces between the tokens of the
// streams beside it: reading takes 10 ms for 1,000 tokens, an event 20 ms, and
// each event is held up by 100 ms at the most, all times the engine's factor.
type engines struct {
	p       *planner.Planner
	now     clock.Millis
	next    uint64
	factors map[ids.Target]float64
}

const (
	playedRead  = 0.01 // ms a token
	playedEvent = 20.0
	playedMost  = 100.0
)

// stream submits a stream and returns where it was placed.
func (e *engines) stream(prompt ids.Tokens) (planner.JobID, ids.Target) {
	e.next++
	j := job(e.next, 0)
	j.Prompt, j.Events, j.Gap = prompt, 20, 400
	j.Arrived, j.Objective, j.Deadline = e.now, 2*clock.Second, e.now+20*clock.Second
	e.p.Submit(e.now, j)
	for _, d := range e.p.Decisions() {
		if g, ok := d.(planner.Grant); ok && g.ID == j.ID {
			return j.ID, g.Incarnation.Target
		}
	}
	return j.ID, ""
}

func (e *engines) begin(id planner.JobID, at ids.Target, prompt ids.Tokens) {
	e.now += clock.Millis(e.factors[at] * (playedRead*float64(prompt) + 1))
	e.p.Begin(e.now, id, nil)
}

func (e *engines) finish(id planner.JobID, at ids.Target, heldBy ids.Tokens) {
	longest := e.factors[at] * (playedEvent + min(playedMost, playedRead*float64(heldBy)))
	e.now += clock.Millis(20 * playedEvent * e.factors[at])
	e.p.Finish(e.now, id, planner.Served, planner.StreamStats{Events: 20, Longest: clock.Millis(longest)})
}

// learn has each engine serve pairs of streams, the second of which holds up
// the first with its prompt.
func (e *engines) learn(rounds int, held ids.Tokens) {
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

// TestALongPromptWaitsRatherThanHoldStreamsUp has room on a slow engine only,
// beside a stream: a short prompt goes there, and a long one, which would keep
// that stream from being in time, waits for the fast engine.
func TestALongPromptWaitsRatherThanHoldStreamsUp(t *testing.T) {
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
			e.learn(200, 1000)
			taken := make(map[ids.Target]int)
			for range 3 {
				id, at := e.stream(200)
				e.begin(id, at, 200)
				taken[at]++
			}
			if taken["t0"] != 2 || taken["t1"] != 1 {
				t.Fatalf("placed %v to begin with", taken)
			}
			if _, at := e.stream(s.prompt); at != s.want {
				t.Errorf("placed on %q, want %q", at, s.want)
			}
		})
	}
}

// TestHowLongReadingHoldsStreamsUpIsLearned has engines that hold an event up by
// 100 ms and no more, however long the prompt. Once that is known, a prompt of
// any length goes beside a stream.
func TestHowLongReadingHoldsStreamsUpIsLearned(t *testing.T) {
	const long = 60_000 // 600 ms to read, more than a stream may pause
	e := newEngines(4, 1)
	e.learn(300, long)
	id, at := e.stream(200)
	e.begin(id, at, 200)
	if _, at := e.stream(long); at == "" {
		t.Errorf("a long prompt waits, although it holds nothing up; believed: %+v", e.p.Summary(e.now))
	}
	if hold := e.p.Summary(e.now).PrefillStall; hold < 0.7*playedMost || hold > 1.5*playedMost {
		t.Errorf("the longest hold is taken for %.0f ms, it is %.0f", hold, playedMost)
	}
}
