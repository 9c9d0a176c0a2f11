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

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

func TestABlockedOutputDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		w := telemetry.NewQueuedWriter(out)
		began := time.Now()
		for range 5000 {
			if _, err := io.WriteString(w, "line\n"); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("writing took %v", took)
		}
		close(out.release)
		w.Close()
		text := out.got.String()
		if n := strings.Count(text, "line\n"); n < 1000 || n > 1100 {
			t.Errorf("%d lines written", n)
		}
		if !strings.Contains(text, "left out") {
			t.Error("nothing says that lines were left out")
		}
	})
}

func TestAFloodStaysUnderItsBoundAndIsTold(t *testing.T) {
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
			t.Errorf("%d lines in 3 s, bound 10 a second", allowed)
		}
		if !s.Allow("Lost") {
			t.Error("a flood of one kind hides another")
		}
		if !strings.Contains(out.String(), "Overloaded=") {
			t.Errorf("what was left out is not told: %s", out.String())
		}
	})
}

func TestFigures(t *testing.T) {
	f := telemetry.NewPrometheusMetrics()
	f.Count(telemetry.Request{Service: "s", Account: "a", Tier: 1, Outcome: "answered", First: 30, Held: 200})
	f.Count(telemetry.Request{Service: "s", Account: "a", Tier: 1, Outcome: "answered", First: 40, Held: 300})
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
