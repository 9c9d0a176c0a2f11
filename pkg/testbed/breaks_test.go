package testbed_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
	"quaydock/pkg/testbed"
)

var breakSeeds = flag.Uint64("breaks", 20, "number of random series of connection breaks to run")

// TestRandomConnectionBreaks breaks and delays connections between entries, agents and targets, removes targets
// from the declarations and restores them, and drains and replaces agents, all at random from a seed. The targets
// work throughout and deadlines are long, so no answer may be truncated and no outcome may be unknown.
func TestRandomConnectionBreaks(t *testing.T) {
	endings := make(map[testbed.Ending]int)
	for seed := uint64(1); seed <= *breakSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			for ending, n := range runRandomBreaks(t, seed) {
				endings[ending] += n
			}
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
	t.Logf("%d series: %v", *breakSeeds, endings)
}

// runRandomBreaks runs one series and returns the number of calls by how they ended. Of two calls in three the
// answer is a stream.
func runRandomBreaks(t *testing.T, seed uint64) map[testbed.Ending]int {
	const (
		targets = 3
		calls   = 40
		length  = 15 * time.Second
	)
	conns := newBreakableConns()
	steady := engines(targets)
	for i := range steady {
		steady[i].StepMS = 20
	}
	var logs logBuffer
	bed := startTestbed(t, testbed.Options{Entries: 2, Engines: steady, Slots: 4, Seed: seed, Wrap: conns.wrap, Logs: &logs})
	s := &scenario{t: t, bed: bed, conns: conns}
	s.actions.Go(func() { s.breakRandomly(rand.New(rand.NewPCG(seed, 5)), targets, length) })
	random := rand.New(rand.NewPCG(seed, 6))
	at := make([]time.Duration, calls)
	tokens := make([]int, calls)
	for i := range at {
		at[i] = time.Duration(random.Int64N(int64(length)))
		tokens[i] = 1 + random.IntN(300)
	}
	callers := newCallers(t, bed)
	answers := parallel(calls, func(i int) testbed.Answer {
		time.Sleep(at[i])
		return callers[i%2].Chat(context.Background(), fmt.Sprint("call ", i), tokens[i], i%3 > 0, http.Header{"Quaydock-Deadline-Ms": {"100000"}})
	})
	s.actions.Wait()
	endings := checkAnswers(t, bed, answers)
	for i, a := range answers {
		// If the connection to the target broke while the call was being sent, the agent cannot know whether it arrived.
		lostInTransit := a.Ending == testbed.Unknown && bed.Runs(a.Request) == 0
		if a.Ending != testbed.Complete && a.Ending != testbed.NotRun && !lostInTransit {
			t.Errorf("seed %d: call %d ended %v, %q; logs:\n%s", seed, i, a.Ending, a.Code, logs.String())
		}
	}
	return endings
}

// logBuffer collects the log lines of all processes of a testbed.
type logBuffer struct {
	mu  sync.Mutex
	all strings.Builder
}

// Write appends a log line.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

// String returns all lines so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// breakRandomly breaks or delays the connections to a random address, removes and restores a target, or replaces an
// agent, at random moments for a length of time.
func (s *scenario) breakRandomly(random *rand.Rand, targets int, length time.Duration) {
	const maxHold = 3 * clock.Second
	for until := time.Now().Add(length); time.Now().Before(until); {
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		i := random.IntN(targets)
		addresses := []string{testbed.ControlAddress(i), testbed.DataAddress(i), testbed.TargetAddress(i)}
		address := addresses[random.IntN(len(addresses))]
		switch random.IntN(6) {
		case 0, 1:
			s.conns.breakAll(address)
		case 2:
			s.conns.hold(address, clock.Millis(random.Int64N(int64(maxHold))))
			s.conns.breakAll(address)
		case 3:
			s.conns.hold(address, clock.Millis(random.Int64N(int64(maxHold))))
		case 4:
			s.removeAndRestore(i)
		default:
			s.drain(i)
			next, err := s.bed.StartAgent(i)
			if err != nil {
				s.t.Error(err)
				return
			}
			s.bed.Agents[i] = next
		}
	}
}

// removeAndRestore removes a target from the declarations and declares it again 2 s later.
func (s *scenario) removeAndRestore(i int) {
	o := newOperator(s.t, s.bed)
	all := s.bed.Declarations()
	for _, without := range []bool{true, false} {
		state := o.read()
		set := all
		if without {
			set.Targets = slices.DeleteFunc(slices.Clone(all.Targets), func(t declaration.Target) bool { return t.Name == testbed.TargetName(i) })
			set.Placements = slices.DeleteFunc(slices.Clone(all.Placements), func(p declaration.Placement) bool { return p.Target == testbed.TargetName(i) })
		}
		change := declaration.Diff(state.Set, set)
		change.Who = "operator"
		if err := o.publish(state, change); err != nil {
			s.t.Error(err)
		}
		time.Sleep(2 * time.Second)
	}
}
