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

// Policies are what an experiment compares: ours, and the baselines.
func Policies() []string {
	return []string{"late-binding", "round-robin", "least-load", "power-of-two"}
}

const (
	ours = "late-binding"
	// unbounded is the room of a baseline's agent: its engine queues by itself.
	unbounded = 1 << 20
	settle    = 5 * clock.Second
)

// run is one scenario under one policy.
type run struct {
	scenario Scenario
	policy   string
	bed      *testbed.Bed
	callers  []*testbed.Caller
	result   *Result
	mu       sync.Mutex
	shared   map[sharedText]bool
}

// Run runs a scenario under a policy. It is to be called in virtual time.
func Run(s Scenario, policy string, seed uint64) (*Result, error) {
	r := &run{scenario: s, policy: policy, result: newResult(&s, policy), shared: make(map[sharedText]bool)}
	if err := r.start(seed); err != nil {
		return nil, err
	}
	defer r.bed.Close()
	for i := range s.Entries {
		caller := testbed.NewCaller(r.bed.Network, testbed.EntryAddress(i))
		defer caller.Close()
		r.callers = append(r.callers, caller)
	}
	time.Sleep(settle.Duration())
	r.offer(arrivals(&s, seed))
	r.finish()
	return r.result, nil
}

func (r *run) start(seed uint64) error {
	engines := r.scenario.engines()
	bed, err := testbed.Start(testbed.Options{
		Entries: r.scenario.Entries,
		Engines: engines,
		Seed:    seed,
		Adjust: func(s *settings.Settings) {
			if s.Entry != nil {
				s.Entry.Policy = r.policy
				if r.policy != ours {
					s.Entry.TicketsPerRequest = 1
				}
			}
		},
		Declare: func(set *declaration.Set) { r.declare(set, engines) },
	})
	if err != nil {
		return fmt.Errorf("starting the bed: %w", err)
	}
	r.bed = bed
	return nil
}

func (r *run) declare(set *declaration.Set, engines []settings.EngineStandIn) {
	for i := range set.Targets {
		set.Targets[i].Slots = unbounded
		if r.policy == ours {
			set.Targets[i].Slots = engines[i].MaxBatch
		}
	}
}

// offer sends every request at its time, whatever became of those before.
func (r *run) offer(list []arrival) {
	begun := time.Now()
	var running sync.WaitGroup
	for _, e := range r.scenario.Events {
		running.Go(func() {
			time.Sleep(time.Until(begun.Add(e.AtMS.Duration())))
			r.strike(e)
		})
	}
	for i, a := range list {
		if wait := time.Until(begun.Add(a.at.Duration())); wait > 0 {
			time.Sleep(wait)
		}
		running.Go(func() { r.call(i, a) })
	}
	running.Wait()
}

func (r *run) strike(e Event) {
	for i := e.First; i < e.Last; i++ {
		if e.SlowDown > 0 {
			r.bed.Engines[i].SlowDown(e.SlowDown)
			continue
		}
		r.bed.Agents[i].Close()
		r.bed.Engines[i].CutAll()
	}
}

func (r *run) call(i int, a arrival) {
	class := &r.scenario.Classes[a.class]
	header := http.Header{
		"Quaydock-Tier":        {string(class.Tier)},
		"Quaydock-Deadline-Ms": {fmt.Sprint(int64(class.DeadlineMS))},
	}
	prompt := a.prompt(i, class)
	begun := time.Now()
	answer := r.callers[a.entry].Chat(context.Background(), prompt, a.tokens, false, header)
	r.note(a, answer, begun, time.Since(begun))
}

func (r *run) note(a arrival, answer testbed.Answer, begun time.Time, took time.Duration) {
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
	case answer.Ending == testbed.Crossed:
		r.result.Violations++
	}
	if answer.Ending == testbed.Whole && took <= class.DeadlineMS.Duration() {
		t.Good++
		t.GoodTokens += a.tokens
	}
	if answer.Code != "" {
		r.result.Refusals[answer.Code+" ("+answer.Ending.String()+")"]++
	}
	if answer.Ending == testbed.Whole {
		r.noteNeeded(a, class)
	}
	r.noteFirst(t, answer.Request, begun)
}

// noteNeeded counts the prompt work that a whole answer needed: its own part of
// the prompt, and the shared part once for each text.
func (r *run) noteNeeded(a arrival, class *Class) {
	needed := formBytes + class.PromptBytes - class.SharedBytes
	key := sharedText{class.Tier, a.family}
	if a.family >= 0 && !r.shared[key] {
		r.shared[key] = true
		needed += class.SharedBytes
	}
	r.result.NeededPrompt += needed / bytesPerToken
}

// sharedText names one text that prompts begin with.
type sharedText struct {
	tier   ids.Tier
	family int
}

const (
	bytesPerToken = 4
	// formBytes is what the form of a chat adds to a prompt.
	formBytes = len(`[{"role":"user","content":" request 1000 "}]`)
)

func (r *run) noteFirst(t *TierResult, request string, begun time.Time) {
	for _, e := range r.bed.Engines {
		if at, made := e.FirstToken(request); made {
			// A time beyond the histogram's bound counts as the bound.
			_ = t.First.RecordValue(min(at.Sub(begun).Milliseconds(), maxFirstMS))
			return
		}
	}
}

func (r *run) finish() {
	for _, e := range r.bed.Engines {
		r.result.ComputedPrompt += e.Computed()
	}
}
