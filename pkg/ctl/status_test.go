package ctl_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"quaydock/pkg/advisory"
	"quaydock/pkg/buffers"
	"quaydock/pkg/ctl"
	"quaydock/pkg/domains"
	"quaydock/pkg/fairshare"
	"quaydock/pkg/ids"
	"quaydock/pkg/operators"
	"quaydock/pkg/slowdown"
)

// TestStatusShowsTargetAdvice: an entry without advice is told apart from a process that serves no advice, for which
// nothing is printed.
func TestStatusShowsTargetAdvice(t *testing.T) {
	scenarios := []struct {
		name    string
		reports []advisory.Report // nil if the process does not serve the path
		want    []string          // parts of the output
		without string            // must not be in the output
	}{
		{"a process without targets", nil, []string{" ready", `{"links":{}}`}, "own word"},
		{"no advice", []advisory.Report{}, []string{"no target leaves or rests"}, "in the list"},
		{"leaving and backed off", []advisory.Report{
			{Target: "t1", Service: "s", Listed: "ready", Leaving: true}, {Target: "t2", Service: "s", Listed: "leaving", Leaving: true, Backoff: 2500},
		}, []string{"t1      s        ready        leaves", "t2      s        leaving      leaves, rests for 2.5 s"}, "no target"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == operators.PathReady:
					w.WriteHeader(http.StatusNoContent)
				case r.URL.Path == operators.PathMetrics:
					_, _ = w.Write([]byte(`{"links":{}}`))
				case s.reports != nil && r.URL.Path == operators.PathAdvice:
					_ = json.NewEncoder(w).Encode(s.reports)
				default:
					w.WriteHeader(http.StatusNotFound)
				}
			}))
			defer server.Close()
			out := statusOf(t, server)
			checkContains(t, out, s.want)
			checkLacks(t, out, s.without)
		})
	}
}

// TestStatusShowsFailureDomains checks that drained and cold failure domains are printed, and no others.
func TestStatusShowsFailureDomains(t *testing.T) {
	scenarios := []struct {
		name    string
		reports []domains.Report
		want    string // part of the output
		without string // must not be in the output
	}{
		{"drained", []domains.Report{{Domain: "d1", Drained: true, Targets: 17}}, "failure domain d1 is drained: its 17 targets", "cold"},
		{"cold", []domains.Report{{Domain: "d2", Targets: 5, Cold: 3}}, "failure domain d2: 3 of 5 targets are cold", "drained"},
		{"neither drained nor cold", []domains.Report{{Domain: "d3", Targets: 4}}, "ready", "d3"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			out := statusOf(t, serveOnly(t, operators.PathDomains, s.reports))
			if !strings.Contains(out, s.want) || strings.Contains(out, s.without) {
				t.Errorf("output lacks %q, or has unexpected %q:\n%s", s.want, s.without, out)
			}
		})
	}
}

// statusOf returns the output of quayctl status for the process at server.
func statusOf(t *testing.T, server *httptest.Server) string {
	t.Helper()
	var out, errs bytes.Buffer
	if code := ctl.Main([]string{"status", "-at", strings.TrimPrefix(server.URL, "http://")}, &out, &errs); code != ctl.ExitOK {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	return out.String()
}

// checkContains checks that an output has all of these parts.
func checkContains(t *testing.T, out string, want []string) {
	t.Helper()
	for _, text := range want {
		if !strings.Contains(out, text) {
			t.Errorf("output lacks %q:\n%s", text, out)
		}
	}
}

// checkLacks checks that an output has no such part.
func checkLacks(t *testing.T, out, text string) {
	t.Helper()
	if strings.Contains(out, text) {
		t.Errorf("unexpected %q in output:\n%s", text, out)
	}
}

// TestStatusShowsSharesOfAccounts checks that the accounts of a service are printed with what they hold.
func TestStatusShowsSharesOfAccounts(t *testing.T) {
	reports := []fairshare.Report{
		{Service: "s", Tier: 1, Standing: fairshare.Standing{Account: "acme", Class: fairshare.Above, Share: 9, Use: 9.2, Demand: 25}},
		{Service: "s", Tier: 1, Standing: fairshare.Standing{Account: "other", Use: 2, Demand: 2}},
	}
	out := statusOf(t, serveOnly(t, operators.PathAccounts, reports))
	checkContains(t, out, []string{"acme     s        1     9.0       9.2  25.0", "other    s        1     no limit  2.0  2.0"})
}

// TestStatusShowsAccountsOfEachTier guards against accounts of lower tiers that are never shown, as those of a higher
// one fill the list.
func TestStatusShowsAccountsOfEachTier(t *testing.T) {
	var reports []fairshare.Report
	for tier := range ids.TierRank(2) {
		for i := range 23 {
			reports = append(reports, fairshare.Report{Service: "s", Tier: tier, Standing: fairshare.Standing{Account: ids.Account(fmt.Sprintf("a%d-%d", tier, i)), Use: float64(30 - i)}})
		}
	}
	reports = append(reports, fairshare.Report{Service: "u", Tier: 1, Standing: fairshare.Standing{Account: "a", Use: 1}})
	out := statusOf(t, serveOnly(t, operators.PathAccounts, reports))
	checkContains(t, out, []string{"a0-0 ", "a0-19 ", "a1-0 ", "a1-19 ", "3 more   s        0", "3 more   s        1", "a        u        1"})
	if strings.Contains(out, "a0-20 ") || strings.Contains(out, "a1-20 ") || strings.Count(out, " more") != 2 {
		t.Errorf("more than 20 accounts of a tier:\n%s", out)
	}
}

// TestStatusShowsSlowedTargets checks that slowed targets are told apart from a service that has none, and from an entry
// that plans for no service.
func TestStatusShowsSlowedTargets(t *testing.T) {
	slow := slowdown.TargetReport{Target: "t1", Start: 17, Factor: 2.54, Mean: 1.04, Age: 312}
	scenarios := []struct {
		name    string
		reports []slowdown.ServiceReport
		want    []string // parts of the output
		without string   // must not be in the output
	}{
		{"plans for no service", []slowdown.ServiceReport{}, []string{" ready"}, "slowed"},
		{"none is slowed", []slowdown.ServiceReport{{Service: "s", Targets: 4}, {Service: "u", Targets: 2}}, []string{"no target of s, u is slowed by its own reports"}, "times"},
		{"one is slowed", []slowdown.ServiceReport{{Service: "s", Targets: 4, Slowed: 1, Slowest: []slowdown.TargetReport{slow}}, {Service: "u"}},
			[]string{"slowed target  service  start  times  usually  reported", "t1             s        17     2.5    1.0      0.3 s ago", "no target of u is"}, "more"},
		{"more than are named", []slowdown.ServiceReport{{Service: "s", Targets: 40, Slowed: 25, Slowest: []slowdown.TargetReport{slow}}}, []string{"24 more        s"}, "no target"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			out := statusOf(t, serveOnly(t, operators.PathSlowed, s.reports))
			checkContains(t, out, s.want)
			checkLacks(t, out, s.without)
		})
	}
}

// TestStatusShowsBytesHeld checks that what is held is printed beside its bounds, and the callers that are slow to read.
func TestStatusShowsBytesHeld(t *testing.T) {
	const mebibyte = 1 << 20
	limits := buffers.Limits{Total: 20 * mebibyte, Exchange: mebibyte, Bodies: 10 * mebibyte}
	scenarios := []struct {
		name    string
		report  buffers.Report
		want    []string // parts of the output
		without string   // must not be in the output
	}{
		{"nothing", buffers.Report{Limits: limits}, []string{"held: 0.0 of 20.0 MiB (answers 0.0, request bodies 0.0 of 10.0); callers slow to read: 0"}, "behind"},
		{"slow callers", buffers.Report{
			Held: buffers.Usage{Answers: 3 * mebibyte, Bodies: mebibyte / 2, Readers: 8}, Limits: limits,
			Slowest: []buffers.ReaderState{{Held: mebibyte, Untaken: 1250, Behind: 8300}},
		}, []string{
			"held: 3.5 of 20.0 MiB (answers 3.0, request bodies 0.5 of 10.0); callers slow to read: 8",
			"slow caller holds  behind for  took nothing for", "1024 KiB           8.3 s       1.2 s",
		}, "read: 0"},
		{"answers that can't be passed on yet", buffers.Report{
			Held: buffers.Usage{Incoming: 3 * mebibyte / 2}, Limits: buffers.Limits{Total: 20 * mebibyte, Incoming: 5 * mebibyte},
		}, []string{"held of answers that can't be passed on yet: 1.5 of 5.0 MiB"}, "behind"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			out := statusOf(t, serveOnly(t, operators.PathBuffers, s.report))
			checkContains(t, out, s.want)
			checkLacks(t, out, s.without)
		})
	}
	t.Run("another process", func(t *testing.T) {
		if out := statusOf(t, serveOnly(t, "/none", nil)); strings.Contains(out, "held") {
			t.Errorf("unexpected bytes held:\n%s", out)
		}
	})
}

// serveOnly runs a process that is ready and serves one page of the operators' address.
func serveOnly(t *testing.T, path string, document any) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case operators.PathReady:
			w.WriteHeader(http.StatusNoContent)
		case path:
			_ = json.NewEncoder(w).Encode(document)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	t.Cleanup(server.Close)
	return server
}
