package testbed_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/settings"
	"quaydock/pkg/testbed"
)

// agentClient calls the agent of the first target as an entry does.
type agentClient struct {
	t       *testing.T
	control *control.Client
	data    *http.Client
}

// newAgentClient opens a session with the agent of the first target.
func newAgentClient(t *testing.T, net network.Network) *agentClient {
	t.Helper()
	conn, err := net.Dial(context.Background(), testbed.ControlAddress(0))
	if err != nil {
		t.Fatal(err)
	}
	c := &agentClient{t: t, control: control.NewClient(conn), data: &http.Client{Transport: network.NewTransport(net, network.TransportOptions{})}}
	t.Cleanup(func() {
		c.control.Close()
		c.data.CloseIdleConnections()
	})
	return c
}

// requestGrant places a ticket and returns the agent's verdict on it.
func (c *agentClient) requestGrant(id ids.Request) control.Verdict {
	c.t.Helper()
	ticket := control.Ticket{Request: id, Service: testbed.Model, Remaining: 10_000, Decode: 10} // 10 s, 10 tokens
	reply, err := c.control.Place(context.Background(), &control.PlaceArgs{Tickets: []control.Ticket{ticket}})
	if err != nil {
		c.t.Fatal(err)
	}
	return reply.Verdicts[0]
}

// dispatch sends a request body under a grant and returns the status and the grant outcome
// that the agent reports.
func (c *agentClient) dispatch(id ids.Request, grant ids.Grant) (status int, fate string) {
	c.t.Helper()
	response := c.begin(id, grant, 3)
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get(control.HeaderFate)
}

// begin sends a request body under a grant and returns the open response. The answer is a stream if it has more
// than three tokens.
func (c *agentClient) begin(id ids.Request, grant ids.Grant, tokens int) *http.Response {
	c.t.Helper()
	body := fmt.Sprintf(`{"model":"chart-small","stream":%t,"max_tokens":%d}`, tokens > 3, tokens)
	return c.send(http.MethodPost, control.PathDispatch, id, grant, body, http.Header{
		control.HeaderMethod: {http.MethodPost}, control.HeaderPath: {"/v1/chat/completions"},
	})
}

// resume requests an answer from an offset on.
func (c *agentClient) resume(id ids.Request, grant ids.Grant, offset int64) *http.Response {
	c.t.Helper()
	return c.send(http.MethodGet, control.PathAnswer, id, grant, "", http.Header{control.HeaderOffset: {fmt.Sprint(offset)}})
}

// send calls a path of the agent's data port for a request and its grant.
func (c *agentClient) send(method, path string, id ids.Request, grant ids.Grant, body string, header http.Header) *http.Response {
	c.t.Helper()
	call, err := http.NewRequest(method, "http://"+testbed.DataAddress(0)+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	call.Header = header
	call.Header.Set(control.HeaderRequest, string(id))
	call.Header.Set(control.HeaderGrant, grant.String())
	response, err := c.data.Do(call)
	if err != nil {
		c.t.Fatal(err)
	}
	return response
}

// fate queries the agent for the outcome of a grant.
func (c *agentClient) fate(id ids.Request, grant ids.Grant) control.Fate {
	c.t.Helper()
	reply, err := c.control.Outcome(context.Background(), &control.OutcomeArgs{Request: id, Grant: grant})
	if err != nil {
		c.t.Fatal(err)
	}
	return reply.Fate
}

// TestGrants uses grants twice, late, for another request, after a query for their
// outcome, and after their agent was replaced.
func TestGrants(t *testing.T) {
	const id, other ids.Request = "request-1", "request-2"
	scenarios := []struct {
		name string
		// between runs between the grant and the dispatch that is checked.
		between func(t *testing.T, c *agentClient, bed *testbed.Bed, grant ids.Grant)
		as      ids.Request // the request that the checked dispatch names
		status  int         // of that dispatch
		fate    string      // that the agent reports with it; empty for none
		runs    int         // of both requests together, at the engine
	}{
		{name: "used once", as: id, status: http.StatusOK, runs: 1},
		{name: "used twice", as: id, status: http.StatusConflict, runs: 1,
			between: func(t *testing.T, c *agentClient, _ *testbed.Bed, grant ids.Grant) {
				if status, _ := c.dispatch(id, grant); status != http.StatusOK {
					t.Errorf("the first use has status %d, want 200", status)
				}
			}},
		{name: "used again after a minute", as: id, status: http.StatusConflict, runs: 1,
			between: func(_ *testing.T, c *agentClient, _ *testbed.Bed, grant ids.Grant) {
				c.dispatch(id, grant)
				time.Sleep(time.Minute)
			}},
		{name: "expired", as: id, status: http.StatusConflict, fate: control.FateNeverDispatched,
			between: func(*testing.T, *agentClient, *testbed.Bed, ids.Grant) { time.Sleep(3 * time.Second) }},
		{name: "for another request", as: other, status: http.StatusConflict},
		{name: "used after a query for its outcome", as: id, status: http.StatusConflict, fate: control.FateNeverDispatched,
			between: func(t *testing.T, c *agentClient, _ *testbed.Bed, grant ids.Grant) {
				if fate := c.fate(id, grant); fate != control.FateNever {
					t.Errorf("fate %v, want never", fate)
				}
			}},
		{name: "granted by an agent that was replaced", as: id, status: http.StatusConflict, fate: control.FateNeverDispatched,
			between: func(t *testing.T, _ *agentClient, bed *testbed.Bed, _ ids.Grant) {
				bed.Agents[0].Close()
				next, err := bed.StartAgent(0)
				if err != nil {
					t.Fatal(err)
				}
				bed.Agents[0] = next
				time.Sleep(5 * time.Second)
			}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bed := startTestbed(t, testbed.Options{Engines: engines(1), Slots: 1})
				c := newAgentClient(t, bed.Network)
				verdict := c.requestGrant(id)
				if verdict.Kind != control.Granted {
					t.Fatalf("verdict %v, want granted", verdict)
				}
				if s.between != nil {
					s.between(t, c, bed, verdict.Grant)
				}
				status, fate := c.dispatch(s.as, verdict.Grant)
				if status != s.status || fate != s.fate {
					t.Errorf("status %d, fate %q, want %d, %q", status, fate, s.status, s.fate)
				}
				if runs := bed.Runs(string(id)) + bed.Runs(string(other)); runs != s.runs {
					t.Errorf("%d runs, want %d", runs, s.runs)
				}
			})
		})
	}
}

// TestOutcomeOfDispatched: a dispatched grant is never reported as unused, whatever request is named and however often.
func TestOutcomeOfDispatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Engines: engines(1), Slots: 1})
		c := newAgentClient(t, bed.Network)
		grant := c.requestGrant("request-1").Grant
		c.dispatch("request-1", grant)
		for range 3 {
			if fate := c.fate("request-1", grant); fate != control.FateDispatched {
				t.Errorf("fate %v, want dispatched", fate)
			}
		}
		if fate := c.fate("request-2", grant); fate != control.FateUnknown {
			t.Errorf("fate for another request %v, want unknown", fate)
		}
	})
}

// TestDelayedMessages delays each message in turn by 25 s, which is longer than every time-out. Each request still
// gets its own complete answer and runs once, or is refused with a true outcome: one that is reported as not run has
// not run. Of this, checkAnswers checks that none runs twice, gets the answer of another or is wrongly reported as not
// run; it accepts a refusal with an unknown outcome, and a truncated answer.
func TestDelayedMessages(t *testing.T) {
	for _, address := range []string{testbed.ControlAddress(0), testbed.DataAddress(0), testbed.TargetAddress(0)} {
		for _, direction := range []network.Direction{network.Request, network.Reply} {
			for message := range 16 {
				faults := network.NewFaults(network.Fault{
					Address: address, Direction: direction, Message: message, Effect: network.Delay, Length: 25_000,
				})
				synctest.Test(t, func(t *testing.T) {
					bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2, Faults: faults})
					caller := newCaller(t, bed)
					answers := parallel(3, func(i int) testbed.Answer {
						return caller.Chat(context.Background(), fmt.Sprint("request ", i), 5, i == 0, nil)
					})
					time.Sleep(time.Minute)
					checkAnswers(t, bed, answers)
				})
			}
		}
	}
}

// TestAnswerOfAnotherRequestIsDetected: an entry detects that an agent sends the answer of another request.
func TestAnswerOfAnotherRequestIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2, Adjust: func(s *settings.Settings) {
			s.StrictInvariants = false // the violation is what is tested
		}})
		listener, err := bed.Network.Listen(testbed.DataAddress(0))
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(control.HeaderRequest, "another")
			w.Header().Set(control.HeaderGrant, r.Header.Get(control.HeaderGrant))
			w.Header().Set(control.HeaderStatus, "200")
			_, _ = w.Write([]byte("somebody else's answer"))
		})}
		t.Cleanup(func() { _ = server.Close() })
		go func() { _ = server.Serve(listener) }()
		answer := newCaller(t, bed).Chat(context.Background(), "mine", 5, true, nil)
		if answer.Ending == testbed.Complete || answer.Ending == testbed.Misattributed {
			t.Errorf("ended %v with %q", answer.Ending, answer.Body)
		}
		if n := bed.Entries[0].Metrics.Violations.Get("OwnAnswer"); n == nil {
			t.Error("no violation of OwnAnswer was counted")
		}
	})
}
