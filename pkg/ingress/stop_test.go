package ingress_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ingress"
)

// An entry has to end in 6 s. Requests of a route whose answers take 1 s are served; those of a route whose answers
// take 3 s, or that has not been answered yet, are told to come back.
func TestDrainAdmitsOnlyShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		durations := map[string]time.Duration{"/unsafe/": time.Second, "/resume/": 3 * time.Second}
		b := newTestbed(t, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			for prefix, duration := range durations {
				if strings.HasPrefix(r.URL.Path, prefix) {
					time.Sleep(duration)
				}
			}
			return replies(200, "", "yes")(c, r)
		})
		for prefix := range durations {
			b.call(context.Background(), prefix+"a", nil)
		}
		b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now(), EndsAt: b.clock.Now() + 6*clock.Second})
		scenarios := []struct {
			path string
			want int // status
		}{
			{"/resume/a", http.StatusServiceUnavailable},
			{"/safe/a", http.StatusServiceUnavailable}, // none has been answered yet
			{"/unsafe/a", http.StatusOK},
		}
		before := len(b.arrived())
		for _, s := range scenarios {
			got := b.call(context.Background(), s.path, nil)
			if got.status != s.want {
				t.Errorf("%s: status %d, want %d", s.path, got.status, s.want)
			}
			if s.want != http.StatusOK && got.header.Get("Retry-After") == "" {
				t.Errorf("%s: no Retry-After", s.path)
			}
		}
		if n := len(b.arrived()) - before; n != 1 {
			t.Errorf("%d requests reached the target", n)
		}
		// With 4.8 s left an answer of 1 s still fits, but the next one may take up to the request's 5 s, and would be
		// broken off.
		durations["/unsafe/"] = 4900 * time.Millisecond
		time.Sleep(200 * time.Millisecond)
		b.view.Confirmed(b.clock.Now())
		if got := b.call(context.Background(), "/unsafe/a", nil); got.status != http.StatusServiceUnavailable {
			t.Errorf("less time left than the request may take: status %d", got.status)
		}
	})
}

// An entry learns at its signal when the restriction will begin. It must begin without a timer, which fires too late
// on a paused VM.
func TestDrainRestrictionBeginsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, replies(200, "", "yes"))
		b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now() + clock.Second, EndsAt: b.clock.Now() + 3*clock.Second})
		scenarios := []struct {
			after time.Duration // since the request before
			want  int           // status
		}{{0, http.StatusOK}, {990 * time.Millisecond, http.StatusOK}, {20 * time.Millisecond, http.StatusServiceUnavailable}}
		for _, s := range scenarios {
			time.Sleep(s.after)
			if got := b.call(context.Background(), "/unsafe/a", nil); got.status != s.want {
				t.Errorf("%v later: status %d, want %d", s.after, got.status, s.want)
			}
		}
	})
}

// TestLeavingEntryClosesConnections guards against callers that keep their connections to an entry that drains.
func TestLeavingEntryClosesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, replies(200, "", "yes"))
		b.keepAlive = true // otherwise the caller itself asks for the close
		b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now() + clock.Second, EndsAt: b.clock.Now() + clock.Minute})
		if got := b.call(context.Background(), "/unsafe/a", nil); got.status != 200 || !got.closes {
			t.Errorf("status %d, closes %t", got.status, got.closes)
		}
	})
}

// TestRunningCountsRequestsInProgress guards against a drain that does not wait for a request, or waits for one that
// has ended.
func TestRunningCountsRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, silent)
		time.AfterFunc(clock.Second.Duration(), func() {
			if n := b.controller.Running(); n != 1 {
				t.Errorf("%d running", n)
			}
		})
		b.call(context.Background(), "/unsafe/a", nil)
		time.Sleep(time.Second)
		if n := b.controller.Running(); n != 0 {
			t.Errorf("%d running at the end", n)
		}
	})
}
