package testbed_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/testbed"
)

// TestStatusThatNoAnswerHasReachesNoCaller guards against a caller who gets bytes of an engine in trouble as an answer, and
// against an entry that panics over them.
func TestStatusThatNoAnswerHasReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, length := range []string{"", "Content-Length: 2\r\n"} {
			t.Run(fmt.Sprint(status, " ", length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 1})
					replaceTarget(t, bed, func(w http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							t.Error(err)
							return
						}
						defer func() { _ = conn.Close() }()
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\n"+length+"\r\n{}")
					})
					began := time.Now()
					body := `{"model":"chart-small","messages":[]}`
					answer := newCaller(t, bed).Do(context.Background(), http.MethodPost, "/v1/chat/completions", body, nil)
					if answer.Status != http.StatusBadGateway || answer.Ending != testbed.Unknown {
						t.Errorf("status %d, ended %v", answer.Status, answer.Ending)
					}
					if took := time.Since(began); took > 5*time.Second {
						t.Errorf("took %v", took)
					}
				})
			})
		}
	}
}
