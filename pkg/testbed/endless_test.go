package testbed_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/testbed"
)

// TestHeadWithoutEndIsGivenUp guards against a target whose head has no end, and which fills the memory of its agent.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	const endless = 40 << 20
	for _, piece := range []string{strings.Repeat("x", 1<<10), "A: b\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 1})
			var most atomic.Int64 // that one call took
			replaceTarget(t, bed, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				sent, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Fill: ")
				for err == nil && sent < endless {
					_, err = io.WriteString(conn, piece)
					sent += len(piece)
				}
				most.Store(max(most.Load(), int64(sent)))
			})
			began := time.Now()
			body := `{"model":"chart-small","stream":true,"messages":[]}`
			answer := newCaller(t, bed).Do(context.Background(), http.MethodPost, "/v1/chat/completions", body, nil)
			if took := time.Since(began); answer.Ending == testbed.Complete && answer.Status == http.StatusOK || took > 5*time.Second {
				t.Errorf("status %d, ended %v after %v", answer.Status, answer.Ending, took)
			}
			if n := most.Load(); n == 0 || n > 1<<20 {
				t.Errorf("%d bytes were taken of the head", n)
			}
		})
	}
}
