package testbed_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"quaydock/pkg/declaration"
	"quaydock/pkg/refusal"
	"quaydock/pkg/settings"
	"quaydock/pkg/testbed"
)

// TestMalformed: each request that cannot be served gets its status, a stable error code in
// the OpenAI format, a request id and a true "not run".
func TestMalformed(t *testing.T) {
	const chat = "/v1/chat/completions"
	const good = `{"model":"chart-small","messages":[]}`
	scenarios := []struct {
		name   string
		method string
		path   string
		body   string
		header http.Header
		status int          // of the refusal
		code   refusal.Code // in its body
	}{
		{"invalid JSON", "POST", chat, `{`, nil, 400, refusal.CodeMalformed},
		{"an array", "POST", chat, `[]`, nil, 400, refusal.CodeMalformed},
		{"empty", "POST", chat, ``, nil, 400, refusal.CodeMalformed},
		{"no model", "POST", chat, `{"messages":[]}`, nil, 400, refusal.CodeMalformed},
		{"model of another type", "POST", chat, `{"model":5,"messages":[]}`, nil, 400, refusal.CodeMalformed},
		{"messages of another type", "POST", chat, `{"model":"chart-small","messages":"x"}`, nil, 400, refusal.CodeMalformed},
		{"negative max_tokens", "POST", chat, `{"model":"chart-small","messages":[],"max_tokens":-1}`, nil, 400, refusal.CodeMalformed},
		{"prompt of another type", "POST", "/v1/completions", `{"model":"chart-small","prompt":{}}`, nil, 400, refusal.CodeMalformed},
		{"unknown model", "POST", chat, `{"model":"none","messages":[]}`, nil, 404, refusal.CodeNoModel},
		{"a plain service as a model", "POST", chat, `{"model":"depths","messages":[]}`, nil, 404, refusal.CodeNoModel},
		{"unknown service", "GET", "/services/none/x", ``, nil, 404, refusal.CodeNoService},
		{"unknown path", "GET", "/v2/none", ``, nil, 404, refusal.CodeNotFound},
		{"wrong method", "GET", chat, ``, nil, 404, refusal.CodeNotFound},
		{"too large", "POST", chat, good + strings.Repeat(" ", 2000), nil, 413, refusal.CodeBodyTooLarge},
		{"no key", "POST", chat, good, http.Header{"Authorization": {""}}, 401, refusal.CodeNoKey},
		{"other authorization scheme", "POST", chat, good, http.Header{"Authorization": {"Basic x"}}, 401, refusal.CodeNoKey},
		{"unknown key", "POST", chat, good, http.Header{"Authorization": {"Bearer x"}}, 401, refusal.CodeBadKey},
		{"unknown tier", "POST", chat, good, http.Header{"Quaydock-Tier": {"none"}}, 400, refusal.CodeMalformed},
		{"tier above the account's", "POST", chat, good, http.Header{"Quaydock-Tier": {"pilot"}}, 403, refusal.CodeTierNotAllowed},
		{"deadline not a number", "POST", chat, good, http.Header{"Quaydock-Deadline-Ms": {"soon"}}, 400, refusal.CodeMalformed},
		{"deadline below 1", "POST", chat, good, http.Header{"Quaydock-Deadline-Ms": {"0"}}, 400, refusal.CodeMalformed},
		{"no-repeat not a boolean", "POST", chat, good, http.Header{"Quaydock-No-Repeat": {"perhaps"}}, 400, refusal.CodeMalformed},
		{"long idempotency key", "POST", chat, good, http.Header{"Idempotency-Key": {strings.Repeat("k", 300)}}, 400, refusal.CodeMalformed},
	}
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Plain: true, Slots: 1,
			Adjust: func(s *settings.Settings) {
				if s.Entry != nil {
					s.Entry.Limits.BodyBytes = 1000
				}
			},
			Declare: func(set *declaration.Set) { set.Accounts[0].HighestTier = "notice" },
		})
		caller := newCaller(t, bed)
		for _, s := range scenarios {
			answer := caller.Do(context.Background(), s.method, s.path, s.body, s.header)
			if answer.Status != s.status || answer.Code != string(s.code) {
				t.Errorf("%s: status %d, code %q, want %d, %q", s.name, answer.Status, answer.Code, s.status, s.code)
			}
			if answer.Ending != testbed.NotRun || answer.Request == "" {
				t.Errorf("%s: ended %v with request id %q", s.name, answer.Ending, answer.Request)
			}
		}
		if runs := bed.Engines[0].AllRuns(); len(runs) != 0 {
			t.Errorf("%d requests ran", len(runs))
		}
	})
}

// TestPlainService: a plain service gets method, path, query and body as they were
// sent, and its answer is returned unchanged.
func TestPlainService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Plain: true, Slots: 1})
		caller := newCaller(t, bed)
		answer := caller.Do(context.Background(), "PUT", "/services/depths/berths/a%2Fb?x=1&y=2", "body", nil)
		const want = `{"method":"PUT","path":"/berths/a/b","query":"x=1\u0026y=2","body":"body"}` + "\n"
		if answer.Status != http.StatusOK || answer.Body != want {
			t.Errorf("status %d, body %s", answer.Status, answer.Body)
		}
		if runs := bed.Runs(answer.Request); runs != 1 {
			t.Errorf("%d runs, want 1", runs)
		}
	})
}

// TestShedding: when all targets of a service are full with higher tiers, lower tiers are shed
// with a Retry-After header, and the higher ones are all served.
func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(2), Slots: 2, Adjust: func(s *settings.Settings) {
			for i := range s.Agents {
				s.Agents[i].QueueMinTokens = 100 // short queues, so that requests are shed
				s.Agents[i].QueueTimeMS = 1
			}
		}})
		caller := newCaller(t, bed)
		tiers := []string{"pilot", "tag"}
		answers := parallel(40, func(i int) testbed.Answer {
			tier := tiers[i%2]
			if i >= 14 {
				tier = "tag" // the 7 of tier pilot among the first 14 must all be served
			}
			return caller.Chat(context.Background(), "x", 20, true, http.Header{"Quaydock-Tier": {tier}})
		})
		endings := checkAnswers(t, bed, answers)
		if endings[testbed.NotRun] == 0 {
			t.Error("nothing was shed")
		}
		for i, a := range answers {
			if i < 14 && i%2 == 0 && a.Ending != testbed.Complete {
				t.Errorf("a request of tier pilot ended %v: %s", a.Ending, a.Body)
			}
			if a.Ending == testbed.NotRun && (a.Code != "overloaded" || a.RetryAfter == "") {
				t.Errorf("refused with code %q, Retry-After %q", a.Code, a.RetryAfter)
			}
		}
	})
}
