package ctl_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"quaydock/pkg/ctl"
	"quaydock/pkg/rollout"
)

// TestRolloutPrintsReports runs quayctl rollout against an entry with these reports.
func TestRolloutPrintsReports(t *testing.T) {
	scenarios := []struct {
		name    string
		reports []rollout.Report // of the entry
		want    []string         // parts of the output
	}{
		{"none", nil, []string{"no roll-out is known"}},
		{"at the entry that evaluates it", []rollout.Report{{
			Service: "s", Version: "v2", State: "running", EndsIn: 4500, Evaluates: true, Fraction: 0.0585, Missing: []string{"3 answers under load"},
			Evidence: rollout.Summary{Requests: 40, Bad: 2, Targets: 5, WorseTargets: 1, Routes: []rollout.RouteSummary{{Route: "r", Requests: 40, Bad: 2, Old: 600, OldBad: 6}}},
		}}, []string{"s to v2: running", "4.5 s", "40, 2 bad; 5 targets, 1 suspect", "route r", "5.9%", "3 answers under load"}},
		{"rolled back, elsewhere", []rollout.Report{{Service: "s", Version: "v2", State: "rolled back", Why: "the order is gone", Reached: 7}},
			[]string{"because", "the order is gone", "at another entry", "7 requests since the order"}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.reports) }))
			defer server.Close()
			var out, errs bytes.Buffer
			code := ctl.Main([]string{"rollout", "-at", strings.TrimPrefix(server.URL, "http://")}, &out, &errs)
			if code != ctl.ExitOK {
				t.Errorf("exit code %d: %s", code, errs.String())
			}
			for _, text := range s.want {
				if !strings.Contains(out.String(), text) {
					t.Errorf("output lacks %q:\n%s", text, out.String())
				}
			}
		})
	}
}
