package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
	"quaydock/pkg/settings"
	"quaydock/pkg/testbed"
)

// Policies lists the policies that an experiment compares: late binding first, then the baselines.
func Policies() []string {
	return []string{"late-binding", "round-robin", "least-load", "power-of-two"}
}

const (
	// lateBinding is the policy of the system itself; all others are baselines to compare it with.
	lateBinding = "late-binding"
	// unlimitedSlots is the slot count of targets under a baseline policy: there the engine queues requests itself.
	unlimitedSlots = 1 << 20
	// settleTime is the time from the start of the test bed to that of the workload.
	settleTime = 5 * clock.Second
)

// run is the execution of one scenario under one policy.
type run struct {
	scenario     Scenario
	policy       string
	bed          *testbed.Bed
	callers      []*testbed.Caller // one for each entry
	result       *Result
	mu           sync.Mutex          // guards result and countedTexts
	countedTexts map[sharedText]bool // those that NeededPrompt includes
}

// Run runs a scenario under a policy and returns when every request has ended. It sleeps for the duration of the
// scenario: call it in virtual time.
func Run(s Scenario, policy string, seed uint64) (*Result, error) {
	r := &run{scenario: s, policy: policy, result: newResult(&s, policy), countedTexts: make(map[sharedText]bool)}
	if err := r.start(seed); err != nil {
		return nil, err
	}
	defer r.bed.Close()
	for i := range s.Entries {
		caller := testbed.NewCaller(r.bed.Network, testbed.EntryAddress(i))
		defer caller.Close()
		r.callers = append(r.callers, caller)
	}
	time.Sleep(settleTime.Duration())
	r.sendAll(arrivals(&s, seed))
	r.finish()
	return r.result, nil
}

// start starts the test bed. A baseline policy sends one ticket per request, as it has chosen one target.
func (r *run) start(seed uint64) error {
	engines := r.scenario.engines()
	bed, err := testbed.Start(testbed.Options{
		Entries: r.scenario.Entries,
		Engines: engines,
		Seed:    seed,
		Adjust: func(s *settings.Settings) {
			if s.Entry != nil {
				s.Entry.Policy = r.policy
				if r.policy != lateBinding {
					s.Entry.TicketsPerRequest = 1
				}
			}
		},
		Declare: func(set *declaration.Set) { r.setSlots(set, engines) },
	})
	if err != nil {
		return fmt.Errorf("starting the test bed: %w", err)
	}
	r.bed = bed
	return nil
}

// setSlots gives targets as many slots as their engine's batch under late binding, else unlimitedSlots.
func (r *run) setSlots(set *declaration.Set, engines []settings.EngineStandIn) {
	for i := range set.Targets {
		set.Targets[i].Slots = unlimitedSlots
		if r.policy == lateBinding {
			set.Targets[i].Slots = engines[i].MaxBatch
		}
	}
}

// sendAll sends every request at its arrival time, without waiting for earlier ones to end, and applies the events.
func (r *run) sendAll(list []arrival) {
	start := time.Now()
	var running sync.WaitGroup
	for _, e := range r.scenario.Events {
		running.Go(func() {
			time.Sleep(time.Until(start.Add(e.AtMS.Duration())))
			r.applyEvent(e)
		})
	}
	for i, a := range list {
		if wait := time.Until(start.Add(a.at.Duration())); wait > 0 {
			time.Sleep(wait)
		}
		running.Go(func() { r.send(i, a) })
	}
	running.Wait()
}

// applyEvent applies an event. An agent that it closes is not replaced.
func (r *run) applyEvent(e Event) {
	for i := e.FirstEngine; i < e.EndEngine; i++ {
		if e.SlowDown > 0 {
			r.bed.Engines[i].SlowDown(e.SlowDown)
			continue
		}
		r.bed.Agents[i].Close()
		r.bed.Engines[i].AbortAll()
	}
}

// send sends the i-th request and records its answer.
func (r *run) send(i int, a arrival) {
	class := &r.scenario.Classes[a.class]
	header := http.Header{
		"Quaydock-Tier":        {string(class.Tier)},
		"Quaydock-Deadline-Ms": {fmt.Sprint(int64(class.DeadlineMS))},
	}
	prompt := a.prompt(i, class)
	start := time.Now()
	answer := r.callers[a.entry].Chat(context.Background(), prompt, a.tokens, false, header)
	r.record(a, answer, start, time.Since(start))
}

// record counts an answer in the results of its tier. A request that ran more than once, one that ran although its
// caller was told that it did not, and an answer that is not the request's own are violations.
func (r *run) record(a arrival, answer testbed.Answer, start time.Time, took time.Duration) {
	class := &r.scenario.Classes[a.class]
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.result.Tiers[class.Tier]
	t.Offered++
	t.OfferedTokens += a.tokens
	runs := r.bed.Runs(answer.Request)
	switch {
	case answer.Request != "" && runs > 1:
		r.result.Violations++
	case answer.Ending == testbed.NotRun && runs > 0:
		r.result.Violations++
	case answer.Ending == testbed.Misattributed:
		r.result.Violations++
	}
	if answer.Ending == testbed.Complete && took <= class.DeadlineMS.Duration() {
		t.InTime++
		t.InTimeTokens += a.tokens
	}
	if answer.Code != "" {
		r.result.Refusals[answer.Code+" ("+answer.Ending.String()+")"]++
	}
	if answer.Ending == testbed.Complete {
		r.recordNeededPrompt(a, class)
	}
	r.recordFirstToken(t, answer.Request, start)
}

// recordNeededPrompt counts the prompt tokens that a complete answer needed: the part of the prompt that is its
// own, and the shared text if no earlier answer has counted it.
func (r *run) recordNeededPrompt(a arrival, class *Class) {
	needed := chatOverheadBytes + class.PromptBytes - class.SharedBytes
	key := sharedText{class.Tier, a.textIndex}
	if a.textIndex >= 0 && !r.countedTexts[key] {
		r.countedTexts[key] = true
		needed += class.SharedBytes
	}
	r.result.NeededPrompt += needed / bytesPerToken
}

// sharedText identifies one of the texts that prompts of a tier begin with.
type sharedText struct {
	tier  ids.Tier
	index int
}

const (
	// bytesPerToken is the length of a prompt's token in the stand-in engine.
	bytesPerToken = 4
	// chatOverheadBytes is by how much the chat format lengthens a prompt.
	chatOverheadBytes = len(`[{"role":"user","content":" request 1000 "}]`)
)

// recordFirstToken records the time from start to the first token of a request, if any engine generated one.
func (r *run) recordFirstToken(t *TierResult, request string, start time.Time) {
	for _, e := range r.bed.Engines {
		if at, found := e.FirstToken(request); found {
			// Times above the histogram's limit count as the limit.
			_ = t.FirstTokenMS.RecordValue(min(at.Sub(start).Milliseconds(), maxFirstTokenMS))
			return
		}
	}
}

// finish adds up the prompt tokens that the engines computed.
func (r *run) finish() {
	for _, e := range r.bed.Engines {
		r.result.ComputedPrompt += e.ComputedPromptTokens()
	}
}
