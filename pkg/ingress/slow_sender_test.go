package ingress_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// TestSlowBodyIsToldAsNotRun guards against a proper request that is refused as a bad one because its body takes longer than
// the time of its route.
func TestSlowBodyIsToldAsNotRun(t *testing.T) {
	scenarios := []struct {
		name    string
		timeout clock.Millis // of the route
		want    time.Duration
	}{
		{"time of the route", 3000, 3 * time.Second},
		{"shorter than the least time for a body", 200, time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, nil, replies(http.StatusOK, "", "answer"))
				b.updateRoute("unsafe", func(r *routing.Route) { r.Timeout = s.timeout })
				c, err := b.network.Dial(t.Context(), entryAt)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				began := time.Now()
				_, _ = fmt.Fprint(c, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\nWait: 10000\r\nContent-Length: 8\r\n\r\nques")
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
				if took := time.Since(began); response.StatusCode != http.StatusRequestTimeout || took != s.want {
					t.Errorf("status %d after %v, want %d after %v", response.StatusCode, took, http.StatusRequestTimeout, s.want)
				}
				if n := len(b.arrived()); n > 0 {
					t.Errorf("%d requests reached a target", n)
				}
			})
		})
	}
}
