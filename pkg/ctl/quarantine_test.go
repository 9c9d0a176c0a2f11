package ctl_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"quaydock/pkg/ctl"
	"quaydock/pkg/ids"
	"quaydock/pkg/quarantine"
)

// TestQuarantineListsAndReleasesRequests runs quayctl quarantine against an entry that can release one request only.
func TestQuarantineListsAndReleasesRequests(t *testing.T) {
	digest := quarantine.Identify("acme", "/chat/q", []byte("question"))
	held := []quarantine.Report{{
		Record: quarantine.Record{Digest: digest, Account: "acme", Route: "chat", Ends: []quarantine.TargetEnd{{Incarnation: ids.TargetIncarnation{Target: "t1"}}, {Incarnation: ids.TargetIncarnation{Target: "t2"}, Again: true}}},
		For:    61_000, RetryIn: 4000,
	}}
	part := []quarantine.Report{{Record: quarantine.Record{Digest: quarantine.IdentifyPart("lm", 0xfa), Service: "lm", Part: 0xfa, Ends: held[0].Ends}, For: 5000, RetryIn: 1000}}
	scenarios := []struct {
		name    string
		reports []quarantine.Report // of the entry
		args    []string            // after the address
		code    int                 // the exit code
		want    []string            // parts of the output or of the errors
	}{
		{"none", nil, nil, ctl.ExitOK, []string{"no request is held back"}},
		{"one", held, nil, ctl.ExitOK, []string{digest.String(), "acme", "chat", "61 s", "4 s", "t1 t2"}},
		{"a part of prompts", part, nil, ctl.ExitOK, []string{part[0].Digest.String(), "fa", "lm", "5 s", "1 s", "t1 t2"}},
		{"release", held, []string{"-release", digest.String()}, ctl.ExitOK, []string{"let go"}},
		{"release of another request", held, []string{"-release", "abc"}, ctl.ExitFailed, []string{"status 404"}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Method == http.MethodGet:
					_ = json.NewEncoder(w).Encode(s.reports)
				case r.FormValue("digest") == digest.String():
					w.WriteHeader(http.StatusNoContent)
				default:
					w.WriteHeader(http.StatusNotFound)
				}
			}))
			defer server.Close()
			var out, errs bytes.Buffer
			args := append([]string{"quarantine", "-at", strings.TrimPrefix(server.URL, "http://")}, s.args...)
			if code := ctl.Main(args, &out, &errs); code != s.code {
				t.Errorf("exit code %d, want %d: %s", code, s.code, errs.String())
			}
			for _, text := range s.want {
				if !strings.Contains(out.String()+errs.String(), text) {
					t.Errorf("output lacks %q:\n%s%s", text, out.String(), errs.String())
				}
			}
		})
	}
}
