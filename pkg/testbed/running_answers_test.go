package testbed_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
	"quaydock/pkg/testbed"
)

// An answer whose connection between entry, agent and target breaks is resumed where it broke off. The tests below
// guard against answers that ended in the middle with "answer_cut" or "outcome_unknown" although their target was
// healthy, because what a resume needs had been discarded. This happened in five ways:
//   - breaks were counted over the length of an answer instead of as a streak (cases that break repeatedly);
//   - the time after which an unread answer is discarded ran on from an earlier break (a break long after an earlier
//     one);
//   - the session with an agent was closed when its target was removed or got another address, while answers still
//     needed it;
//   - a target's finished answer was dropped while its reader was slow;
//   - a draining agent did not wait for a reader that was reconnecting (a break just before the end of a drain).

// scenario is one running answer and the actions on the deployment meanwhile.
type scenario struct {
	t       *testing.T
	bed     *testbed.Bed
	conns   *breakableConns
	actions sync.WaitGroup
}

// at runs do after a delay.
func (s *scenario) at(after time.Duration, do func()) {
	s.actions.Go(func() {
		time.Sleep(after)
		do()
	})
}

// breakAt breaks the connections to an address at the given times from now.
func (s *scenario) breakAt(address string, moments ...time.Duration) {
	for _, m := range moments {
		s.at(m, func() {
			if s.conns.breakAll(address) == 0 {
				s.t.Errorf("no connection to %s to break after %v", address, m)
			}
		})
	}
}

// declare publishes a change of the declarations after a second.
func (s *scenario) declare(change func(*declaration.Set)) {
	s.at(time.Second, func() {
		o := newOperator(s.t, s.bed)
		state := o.read()
		set := state.Set
		set.Accounts = slices.Clone(set.Accounts)
		set.Targets = slices.Clone(set.Targets)
		set.Placements = slices.Clone(set.Placements)
		set.Services = slices.Clone(set.Services)
		change(&set)
		diff := declaration.Diff(state.Set, set)
		diff.Who = "operator"
		if err := o.publish(state, diff); err != nil {
			s.t.Error(err)
		}
	})
}

// removeFirstTarget removes target 0 and its placement.
func removeFirstTarget(set *declaration.Set) {
	set.Targets = set.Targets[1:]
	set.Placements = set.Placements[1:]
}

// removeFirstPlacement removes the placement of target 0.
func removeFirstPlacement(set *declaration.Set) {
	set.Placements = set.Placements[1:]
}

// every returns n times, a step apart, the first after one step.
func every(step time.Duration, n int) []time.Duration {
	moments := make([]time.Duration, n)
	for i := range moments {
		moments[i] = time.Duration(i+1) * step
	}
	return moments
}

// TestRunningAnswerSurvivesFailures: whatever fails between the caller and a target that works, and however often,
// the caller gets a complete answer.
func TestRunningAnswerSurvivesFailures(t *testing.T) {
	control, data, target := testbed.ControlAddress(0), testbed.DataAddress(0), testbed.TargetAddress(0)
	cases := []struct {
		name string
		act  func(*scenario) // schedules the failures, from the sending of the request on
	}{
		{"no failure", func(*scenario) {}},
		{"target stalls for 10 s", func(s *scenario) {
			s.at(time.Second, func() { s.bed.Engines[0].SlowDown(500) })
			s.at(1100*time.Millisecond, func() { s.bed.Engines[0].SlowDown(1) })
		}},
		{"data connection breaks", func(s *scenario) { s.breakAt(data, time.Second) }},
		{"data connection breaks repeatedly", func(s *scenario) { s.breakAt(data, every(time.Second, 18)...) }},
		{"target connection breaks", func(s *scenario) { s.breakAt(target, time.Second) }},
		{"target connection breaks repeatedly", func(s *scenario) { s.breakAt(target, every(2*time.Second, 9)...) }},
		{"data and target connections break repeatedly", func(s *scenario) {
			s.breakAt(data, every(time.Second, 18)...)
			s.breakAt(target, every(2*time.Second, 9)...)
		}},
		{"data connection breaks again long after an earlier break", func(s *scenario) {
			s.breakAt(data, time.Second, 15900*time.Millisecond)
			s.at(15*time.Second, func() { s.conns.hold(data, 1500) })
		}},
		{"control connection breaks", func(s *scenario) { s.breakAt(control, time.Second) }},
		{"control messages are delayed for 8 s", func(s *scenario) { s.at(time.Second, func() { s.conns.hold(control, 8*clock.Second) }) }},
		{"control messages are delayed for 6 s and data connection breaks", func(s *scenario) {
			s.at(time.Second, func() { s.conns.hold(control, 6*clock.Second) })
			s.breakAt(data, 2*time.Second)
		}},
		{"all connections break at once", func(s *scenario) {
			s.breakAt(control, time.Second)
			s.breakAt(data, time.Second)
			s.breakAt(target, time.Second)
		}},
		{"target is removed", func(s *scenario) { s.declare(removeFirstTarget) }},
		{"target is removed and data connection breaks", func(s *scenario) {
			s.declare(removeFirstTarget)
			s.breakAt(data, 8*time.Second)
		}},
		{"target is removed and target connection breaks", func(s *scenario) {
			s.declare(removeFirstTarget)
			s.breakAt(target, 8*time.Second)
		}},
		{"target is removed, control connection breaks, then data connection breaks", func(s *scenario) {
			s.declare(removeFirstTarget)
			s.at(7*time.Second, func() { s.conns.breakAll(control) })
			s.breakAt(data, 8*time.Second)
		}},
		{"placement is removed and data connection breaks", func(s *scenario) {
			s.declare(removeFirstPlacement)
			s.breakAt(data, 8*time.Second)
		}},
		{"service is removed and data connection breaks", func(s *scenario) {
			s.declare(func(set *declaration.Set) {
				removeFirstPlacement(set)
				set.Services = set.Services[1:]
			})
			s.breakAt(data, 8*time.Second)
		}},
		{"agent address changes and data connection breaks", func(s *scenario) {
			s.declare(func(set *declaration.Set) {
				set.Targets[0].AgentControl, set.Targets[0].AgentData = "10.0.9.1:81", "10.0.9.1:82"
			})
			s.breakAt(data, 8*time.Second)
		}},
		{"target address changes and target connection breaks", func(s *scenario) {
			s.declare(func(set *declaration.Set) { set.Targets[0].Address = "http://10.0.9.1:80" })
			s.breakAt(target, 8*time.Second)
		}},
		{"slots are reduced and data connection breaks", func(s *scenario) {
			s.declare(func(set *declaration.Set) { set.Targets[0].Slots = 1 })
			s.breakAt(data, 8*time.Second)
		}},
		{"account is removed and data connection breaks", func(s *scenario) {
			s.declare(func(set *declaration.Set) { set.Accounts = nil })
			s.breakAt(data, 8*time.Second)
		}},
		{"table is unreachable and data connection breaks", func(s *scenario) {
			s.at(time.Second, func() { s.bed.Table.SetDown(true) })
			s.breakAt(data, 8*time.Second)
		}},
		{"target asks for back-off and data connection breaks", func(s *scenario) {
			s.at(time.Second, func() { s.bed.Engines[0].Reject(10 * time.Second) })
			s.breakAt(data, 8*time.Second)
		}},
		{"agent is drained", func(s *scenario) { s.at(time.Second, func() { s.drain(0) }) }},
		{"agent is drained and data connection breaks", func(s *scenario) {
			s.at(time.Second, func() { s.drain(0) })
			s.breakAt(data, 8*time.Second)
		}},
		{"agent is drained and data connection breaks just before the end", func(s *scenario) {
			s.at(time.Second, func() { s.drain(0) })
			s.breakAt(data, 19900*time.Millisecond)
			s.at(19800*time.Millisecond, func() { s.conns.hold(data, 1000) })
		}},
		{"entry is drained and data connection breaks", func(s *scenario) {
			s.at(time.Second, func() { _ = testbed.Drain(context.Background(), s.bed.Entries[0]) })
			s.breakAt(data, 8*time.Second)
		}},
	}
	const tokens = 1000 // 20 s
	steady := engines(1)
	steady[0].StepMS = 20
	for _, stream := range []bool{true, false} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s, stream %t", c.name, stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					conns := newBreakableConns()
					bed := startTestbed(t, testbed.Options{Entries: 1, Engines: steady, Slots: 2, Wrap: conns.wrap})
					s := &scenario{t: t, bed: bed, conns: conns}
					c.act(s)
					long := http.Header{"Quaydock-Deadline-Ms": {"100000"}}
					answer := newCaller(t, bed).Chat(context.Background(), "long", tokens, stream, long)
					s.actions.Wait()
					checkInvariants(t, bed, answer)
					if answer.Ending != testbed.Complete {
						t.Errorf("ended %v with %d of %d tokens, code %q, end %q", answer.Ending, answer.Tokens, tokens, answer.Code, lastLine(answer.Body))
					}
				})
			})
		}
	}
}

// TestSlowCallerGetsCompleteAnswer: a caller reads slowly, so that its answer waits at the agent long after the
// target has finished it. The data connection breaks meanwhile, and the caller still gets the complete answer.
func TestSlowCallerGetsCompleteAnswer(t *testing.T) {
	const (
		tokens = 1000    // 4 s, 190 kB
		piece  = 4 << 10 // bytes that are read at once
		pause  = 3 * time.Second
	)
	for _, after := range []time.Duration{2 * time.Second, 10 * time.Second, 22 * time.Second, 60 * time.Second, 80 * time.Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conns := newBreakableConns()
				bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2, Wrap: conns.wrap})
				s := &scenario{t: t, bed: bed, conns: conns}
				s.breakAt(testbed.DataAddress(0), after)
				start := time.Now()
				body := s.readSlowly(tokens, piece, pause)
				s.actions.Wait()
				if !strings.HasSuffix(body, "data: [DONE]\n\n") || strings.Count(body, `"delta"`) != tokens {
					t.Errorf("%d of %d tokens after %v, end %q", strings.Count(body, `"delta"`), tokens, time.Since(start), lastLine(body))
				}
			})
		})
	}
}

// readSlowly requests a stream, reads it piece by piece with a pause after each, and returns the body.
func (s *scenario) readSlowly(tokens, piece int, pause time.Duration) string {
	s.t.Helper()
	conn, err := s.bed.Network.Dial(context.Background(), testbed.EntryAddress(0))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[]}`, testbed.Model, tokens)
	call, err := http.NewRequest(http.MethodPost, "http://entry/v1/chat/completions", strings.NewReader(request))
	if err != nil {
		s.t.Fatal(err)
	}
	call.Header.Set("Authorization", "Bearer "+testbed.Key)
	call.Header.Set("Quaydock-Deadline-Ms", "200000")
	if err := call.Write(conn); err != nil {
		s.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, piece), call)
	if err != nil {
		s.t.Fatal(err)
	}
	var body strings.Builder
	for {
		_, err := io.CopyN(&body, response.Body, int64(piece))
		if err != nil {
			return body.String()
		}
		time.Sleep(pause)
	}
}

// lastLine returns the first 300 bytes of a text's last line.
func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	last := lines[len(lines)-1]
	return last[:min(len(last), 300)]
}

// drain drains the agent of target i.
func (s *scenario) drain(i int) {
	if err := testbed.Drain(context.Background(), s.bed.Agents[i]); err != nil {
		s.t.Error(err)
	}
}

// TestUnreadAnswerIsKept: an entry loses its connection in the middle of an answer. The target finishes the answer, and
// many other answers are finished and read before the entry reconnects. Its answer must still be kept.
func TestUnreadAnswerIsKept(t *testing.T) {
	const (
		others = 90 // of 256 KiB each in the agent's memory
		tokens = 1500
		few    = 600 // tokens of an answer that fits in that memory unread
	)
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: others + 1})
		agent := newAgentClient(t, bed.Network)
		const id ids.Request = "waits"
		grant := agent.requestGrant(id).Grant
		partial := agent.begin(id, grant, few)
		taken, err := io.CopyN(io.Discard, partial.Body, 10_000)
		if err != nil {
			t.Fatal(err)
		}
		_ = partial.Body.Close()
		for _, a := range parallel(others, func(i int) testbed.Answer {
			return newCaller(t, bed).Chat(context.Background(), fmt.Sprint("other ", i), tokens, true, nil)
		}) {
			if a.Ending != testbed.Complete {
				t.Errorf("ended %v: %s", a.Ending, a.Code)
			}
		}
		resumed := agent.resume(id, grant, taken)
		defer func() { _ = resumed.Body.Close() }()
		body, err := io.ReadAll(resumed.Body)
		if resumed.StatusCode != http.StatusOK || err != nil || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
			t.Errorf("status %d, %d bytes, %v", resumed.StatusCode, len(body), err)
		}
	})
}
