package testbed_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	"quaydock/pkg/settings"
	"quaydock/pkg/testbed"
)

// TestTrace: a sampled request has one trace with a span for each hop; the trace context is passed on through
// net/rpc and HTTP.
func TestTrace(t *testing.T) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 1, Adjust: func(s *settings.Settings) {
			s.Trace = settings.Trace{Exporter: "file", File: filepath.Join(folder, string(s.Process)), Ratio: 1}
		}})
		if answer := newCaller(t, bed).Chat(context.Background(), "traced", 3, true, nil); answer.Ending != testbed.Complete {
			t.Fatalf("ended %v", answer.Ending)
		}
	})
	traces := make(map[string]string)
	for _, process := range []string{"entry-1", "agent-1"} {
		for name, trace := range spans(t, filepath.Join(folder, process)) {
			traces[name] = trace
		}
	}
	for _, name := range []string{"entry.request", "entry.dispatch", "agent.place", "agent.target"} {
		if traces[name] == "" || traces[name] != traces["entry.request"] {
			t.Errorf("span %s has trace %q, the request %q", name, traces[name], traces["entry.request"])
		}
	}
}

// spans returns the trace id of each span, by span name.
func spans(t *testing.T, file string) map[string]string {
	t.Helper()
	document, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]string)
	for d := json.NewDecoder(bytes.NewReader(document)); d.More(); {
		var span struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		if err := d.Decode(&span); err != nil {
			t.Fatal(err)
		}
		found[span.Name] = span.SpanContext.TraceID
	}
	return found
}
