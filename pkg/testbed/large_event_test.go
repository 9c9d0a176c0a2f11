package testbed_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"quaydock/pkg/testbed"
)

// TestLargeEvents: an event is forwarded whatever its length, and a caller can see that an answer broke off in the
// middle of one.
//
// Events are forwarded only when complete, so that a truncated answer can end with an error event. An event above
// the buffer limit of 1 MiB for that used to end the stream, although its engine went on, and the call was logged
// as cancelled by its caller.
func TestLargeEvents(t *testing.T) {
	cases := []struct {
		name       string
		length     int // of the event in the middle
		truncateAt int // number of its bytes that are sent before the answer breaks off; 0 for a complete answer
	}{
		{"small", 1 << 10, 0},
		{"large", 3 << 20, 0},
		{"small, truncated", 1 << 10, 100},
		{"large, truncated early", 3 << 20, 1 << 19},
		{"large, truncated late", 3 << 20, 2 << 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 1})
				middle := fmt.Sprintf("data: {\"delta\":%q}\n\n", strings.Repeat("x", c.length))
				const small = "data: {\"delta\":1}\n\n"
				complete := small + middle + small + "data: [DONE]\n\n"
				replaceTarget(t, bed, func(w http.ResponseWriter, r *http.Request) {
					if r.Method != http.MethodPost {
						http.NotFound(w, r)
						return
					}
					w.Header().Set("Content-Type", "text/event-stream")
					if c.truncateAt > 0 {
						_, _ = w.Write([]byte(complete[:len(small)+c.truncateAt]))
						_ = http.NewResponseController(w).Flush()
						panic(http.ErrAbortHandler)
					}
					_, _ = w.Write([]byte(complete))
				})
				body := `{"model":"chart-small","stream":true,"messages":[]}`
				answer := newCaller(t, bed).Do(context.Background(), http.MethodPost, "/v1/chat/completions", body, nil)
				switch {
				case c.truncateAt == 0 && (answer.Ending != testbed.Complete || answer.Body != complete):
					t.Errorf("ended %v with %d of %d bytes", answer.Ending, len(answer.Body), len(complete))
				case c.truncateAt > 0 && strings.Contains(answer.Body, "[DONE]"):
					t.Error("a truncated answer looks complete")
				case c.truncateAt > 0 && answer.Ending != testbed.Truncated && !strings.Contains(answer.Body, `"code":"answer_cut"`):
					t.Errorf("truncated answer ended %v with %q", answer.Ending, lastLine(answer.Body))
				}
			})
		})
	}
}
