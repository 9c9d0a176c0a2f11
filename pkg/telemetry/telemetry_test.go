package telemetry_test

import (
	"bytes"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/telemetry"
)

// blockedOutput is a writer that blocks until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

// Write appends p to got once the output is released.
func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// TestQueuedWriterDoesNotBlockItsCallers: the output blocks while 5,000 lines are logged. Write drops what does not fit
// into the queue of 1,024 lines, and a line tells how many were dropped.
func TestQueuedWriterDoesNotBlockItsCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		w := telemetry.NewQueuedWriter(out)
		began := time.Now()
		for range 5000 {
			if _, err := io.WriteString(w, "line\n"); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("Write blocked for %v", took)
		}
		close(out.release)
		w.Close()
		text := out.got.String()
		if n := strings.Count(text, "line\n"); n < 1000 || n > 1100 { // 1,024 in the queue, and one being written
			t.Errorf("%d lines written, want 1000 to 1100", n)
		}
		if !strings.Contains(text, "left out") {
			t.Error("no line reports the dropped lines")
		}
	})
}

// TestSamplerLimitsEachKindAndReportsDroppedLines: lines of one kind come 1,000 times a second for 3 s, which
// touch up to four seconds of the clock. At most 10 are allowed in each, and another kind is not affected.
func TestSamplerLimitsEachKindAndReportsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&out)
		s := telemetry.NewSampler(clock.New(), logrus.NewEntry(logger), 10)
		allowed := 0
		for range 3000 {
			if s.Allow("Overloaded") {
				allowed++
			}
			time.Sleep(time.Millisecond)
		}
		if allowed > 40 {
			t.Errorf("%d lines in 3 s, limit 10 a second", allowed)
		}
		if !s.Allow("Lost") {
			t.Error("a flood of one kind suppresses lines of another kind")
		}
		if !strings.Contains(out.String(), "Overloaded=") {
			t.Errorf("dropped lines are not reported: %s", out.String())
		}
	})
}

// TestGaugeGroupIsReadOnceForAllItsGauges guards against a group that is determined anew for each of its gauges, which costs
// a lock each time and mixes values of several moments.
func TestGaugeGroupIsReadOnceForAllItsGauges(t *testing.T) {
	f := telemetry.NewPrometheusMetrics()
	reads := 0
	f.GaugeGroup(func() []telemetry.LabelledValue {
		reads++
		return []telemetry.LabelledValue{
			{Name: "waiting", Label: "service", Labelled: "b", Value: 1.5},
			{Name: "running", Label: "service", Labelled: "b", Value: 2},
			{Name: "waiting", Label: "service", Labelled: "a", Value: 3},
		}
	})
	recorder := httptest.NewRecorder()
	f.ServeHTTP(recorder, nil)
	want := `quaydock_running{service="b"} 2` + "\n" + `quaydock_waiting{service="a"} 3` + "\n" + `quaydock_waiting{service="b"} 1.5` + "\n"
	if !strings.Contains(recorder.Body.String(), want) || reads != 1 {
		t.Errorf("%d reads; want the lines\n%sin\n%s", reads, want, recorder.Body.String())
	}
}

// TestPrometheusMetrics checks the names, labels and values of lines, which operators' tools read.
func TestPrometheusMetrics(t *testing.T) {
	f := telemetry.NewPrometheusMetrics()
	f.Count(telemetry.Request{Service: "s", Account: "a", Tier: 1, Outcome: "answered", FirstEvent: 30, Held: 200})
	f.Count(telemetry.Request{Service: "s", Account: "a", Tier: 1, Outcome: "answered", FirstEvent: 40, Held: 300})
	f.Add("store_calls", "outcome", "ok")
	f.Gauge("waiting", func() float64 { return 7 })
	recorder := httptest.NewRecorder()
	f.ServeHTTP(recorder, nil)
	for _, want := range []string{
		`quaydock_requests_total{service="s",account="a",tier="1",outcome="answered"} 2`,
		`quaydock_first_event_seconds_count{service="s",tier="1"} 2`,
		`quaydock_store_calls_total{outcome="ok"} 1`,
		`quaydock_waiting 7`,
	} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("no line %q in\n%s", want, recorder.Body.String())
		}
	}
}
