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

// TestOneThatEndsSoonTakesOnlyWhatIsShort has an entry that has to end in six seconds: a
// route whose answers take one second is served, one whose answers take three is told to
// come back, and so is one of which nothing is known.
func TestOneThatEndsSoonTakesOnlyWhatIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		takes := map[string]time.Duration{"/unsafe/": time.Second, "/resume/": 3 * time.Second}
		b := newBed(t, freely{}, func(c net.Conn, r *http.Request) bool {
			for prefix, long := range takes {
				if strings.HasPrefix(r.URL.Path, prefix) {
					time.Sleep(long)
				}
			}
			return says(200, "", "yes")(c, r)
		})
		for prefix := range takes {
			b.call(context.Background(), prefix+"a", nil)
		}
		b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now(), EndsAt: b.clock.Now() + 6*clock.Second})
		scenarios := []struct {
			path string
			want int
		}{
			{"/resume/a", http.StatusServiceUnavailable},
			{"/safe/a", http.StatusServiceUnavailable}, // none was answered yet
			{"/unsafe/a", http.StatusOK},
		}
		before := len(b.arrived())
		for _, s := range scenarios {
			got := b.call(context.Background(), s.path, nil)
			if got.status != s.want {
				t.Errorf("%s: status %d, want %d", s.path, got.status, s.want)
			}
			if s.want != http.StatusOK && got.header.Get("Retry-After") == "" {
				t.Errorf("%s: not told when to come back", s.path)
			}
		}
		if n := len(b.arrived()) - before; n != 1 {
			t.Errorf("%d requests reached the target", n)
		}
		// With 4.8 s left answers of a second still fit, but the next may take up to the
		// request's 5 s, and would be cut.
		takes["/unsafe/"] = 4900 * time.Millisecond
		time.Sleep(200 * time.Millisecond)
		b.view.Confirmed(b.clock.Now())
		if got := b.call(context.Background(), "/unsafe/a", nil); got.status != http.StatusServiceUnavailable {
			t.Errorf("with less time left than it may take: status %d", got.status)
		}
	})
}

// TestLessIsTakenFromAMomentOn has an entry that is told once, at its signal, from when on it
// takes less: no timer has to go off for that, which on a paused VM it does too late.
func TestLessIsTakenFromAMomentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, freely{}, says(200, "", "yes"))
		b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now() + clock.Second, EndsAt: b.clock.Now() + 3*clock.Second})
		scenarios := []struct {
			after time.Duration
			want  int
		}{{0, http.StatusOK}, {990 * time.Millisecond, http.StatusOK}, {20 * time.Millisecond, http.StatusServiceUnavailable}}
		for _, s := range scenarios {
			time.Sleep(s.after)
			if got := b.call(context.Background(), "/unsafe/a", nil); got.status != s.want {
				t.Errorf("%v later: status %d, want %d", s.after, got.status, s.want)
			}
		}
	})
}

func TestALeavingEntryClosesItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, freely{}, says(200, "", "yes"))
		b.keep = true // or the caller itself would have them closed
		b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now() + clock.Second, EndsAt: b.clock.Now() + clock.Minute})
		if got := b.call(context.Background(), "/unsafe/a", nil); got.status != 200 || !got.closes {
			t.Errorf("status %d, closes %t", got.status, got.closes)
		}
	})
}

func TestRunningCountsWhatIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, freely{}, silent)
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
