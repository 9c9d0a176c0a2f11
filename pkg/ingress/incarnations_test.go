package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ingress"
	"quaydock/pkg/routing"
)

// The starts of the first target's two incarnations. The second one is lower, as if the clock of its VM had been set
// back in between.
const (
	firstStart  ids.Start = 5000
	secondStart ids.Start = 4000
)

// restart lists the first target as restarted. Its connections stay open and silent, as those to a VM that was
// partitioned and came back.
func (b *testbed) restart() {
	b.updateFirst(func(t *routing.Target) { t.Start = secondStart })
}

// updateFirst publishes a list of targets in which the first one is changed.
func (b *testbed) updateFirst(change func(*routing.Target)) {
	b.mu.Lock()
	first := *b.targets[0]
	change(&first)
	b.targets = append([]*routing.Target{&first}, b.targets[1:]...)
	b.mu.Unlock()
	b.view.SetDirectory(routing.NewDirectory(b.listed()))
}

// expireFirst publishes a list without the first target, as if its row had expired.
func (b *testbed) expireFirst() {
	b.view.SetDirectory(routing.NewDirectory(b.listed()[1:]))
}

// startOf returns the start of the incarnation that a connection leads to, 0 if its target has none.
func (b *testbed) startOf(c net.Conn) ids.Start {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started[c]
}

// perIncarnation behaves as former in a target's first incarnation and as next in the second. Nothing answers on a
// connection to the first one after the restart.
func perIncarnation(b **testbed, former, next scriptedTarget) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		switch {
		case (*b).startOf(c) == secondStart:
			return next(c, r)
		case (*b).listed()[0].Start == secondStart:
			return silent(c, r)
		}
		return former(c, r)
	}
}

// stallsAfter sends the events of a stream up to the nth, and then neither another event nor the end of the stream.
func stallsAfter(n int) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		for i := last + 1; i <= n; i++ {
			text := events(i)[i-1]
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		return silent(c, r)
	}
}

// repliesLate answers after 0.4 s, which is after the restart.
func repliesLate(c net.Conn, r *http.Request) bool {
	time.Sleep(400 * time.Millisecond)
	return replies(200, "", "late")(c, r)
}

// TestTargetRestartsUnderSameID guards against callers that wait until their deadline and get 504 or a stream that
// stops. The VM of an engine was partitioned, and the engine's process ended and was started again under its id while
// it ran requests. No connection was reset, and nothing showed that the list named another process than the one the
// requests were sent to. The list has the new start: exchanges with the former incarnation end then, and are retried
// only where the route allows it.
func TestTargetRestartsUnderSameID(t *testing.T) {
	allEvents := strings.Join(events(10), "")
	scenarios := []struct {
		name     string
		path     string
		former   scriptedTarget
		status   int
		body     string // compared if the status is 200
		complete bool
		starts   []ids.Start // of the incarnations at which the request arrived, in order
		last     string      // id of the event after which the last arrival was to go on
	}{
		{"sent", "/unsafe/a", silent, 502, "", true, []ids.Start{firstStart}, ""},
		{"sent, and may be repeated", "/safe/a", silent, 200, "next", true, []ids.Start{firstStart, secondStart}, ""},
		{"sent, a late answer of the former incarnation", "/unsafe/a", repliesLate, 502, "", true, []ids.Start{firstStart}, ""},
		{"sent, a stream", "/stream/a", silent, 502, "", true, []ids.Start{firstStart}, ""},
		{"the first event", "/stream/a", stallsAfter(1), 200, strings.Join(events(1), ""), false, []ids.Start{firstStart}, ""},
		{"the first event, resumable", "/resume/a", stallsAfter(1), 200, allEvents, true, []ids.Start{firstStart, secondStart}, "1"},
		{"in the middle", "/stream/a", stallsAfter(4), 200, strings.Join(events(4), ""), false, []ids.Start{firstStart}, ""},
		{"in the middle, resumable", "/resume/a", stallsAfter(4), 200, allEvents, true, []ids.Start{firstStart, secondStart}, "4"},
		{"after the last event, before the end", "/stream/a", stallsAfter(10), 200, allEvents, false, []ids.Start{firstStart}, ""},
		{"after the last event, resumable", "/resume/a", stallsAfter(10), 200, allEvents, true, []ids.Start{firstStart, secondStart}, "10"},
	}
	next := func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/resume/") {
			return streams(0)(c, r)
		}
		return replies(200, "", "next")(c, r)
	}
	for _, s := range scenarios {
		for _, stopping := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, entry stops %t", s.name, stopping), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var b *testbed
					b = newTestbed(t, fakeMeter{}, perIncarnation(&b, s.former, next))
					b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
					replies := make(chan reply, 1)
					go func() { replies <- b.call(context.Background(), s.path, nil) }()
					time.Sleep(100 * time.Millisecond)
					if stopping {
						b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now() + clock.Second, EndsAt: b.clock.Now() + clock.Minute})
					}
					b.restart()
					got := <-replies
					if got.status != s.status || got.complete != s.complete || s.status == 200 && got.body != s.body {
						t.Errorf("status %d, complete %t, body %q", got.status, got.complete, got.body)
					}
					if limit := 400 * time.Millisecond; got.took > limit {
						t.Errorf("answered after %v, want within %v", got.took, limit)
					}
					b.checkIncarnations(s.starts, s.last)
				})
			})
		}
	}
}

// checkIncarnations checks the starts of the incarnations at which requests arrived, in order, and the id of the event
// after which the last of them was to go on.
func (b *testbed) checkIncarnations(want []ids.Start, last string) {
	b.t.Helper()
	var starts []ids.Start
	for _, a := range b.arrived() {
		starts = append(starts, a.start)
	}
	if !slices.Equal(starts, want) {
		b.t.Errorf("arrived at incarnations %v, want %v", starts, want)
		return
	}
	if got := b.arrived()[len(starts)-1].header.Get("Last"); got != last {
		b.t.Errorf("resumed after event %q, want %q", got, last)
	}
}

// TestLogOfLostRequestNamesRestart checks the log line of a request whose target was restarted: it has the cause, and
// the target under the id by which all other lines name it.
func TestLogOfLostRequestNamesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, silent)
		b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
		time.AfterFunc(100*time.Millisecond, b.restart)
		b.call(context.Background(), "/unsafe/a", nil)
		synctest.Wait()
		line := b.logs.LastEntry()
		if line == nil || line.Message != "request not answered" {
			t.Fatalf("the last line is %v", line)
		}
		if got := fmt.Sprint(line.Data["targets"]); got != "[t1]" {
			t.Errorf("targets %s", got)
		}
		if got := fmt.Sprint(line.Data["error"]); !strings.HasSuffix(got, "the target has started again") {
			t.Errorf("error %q", got)
		}
		if got := fmt.Sprint(line.Data["trail"]); got != "[+0 ms placed on t1 +100 ms broken off without an answer at t1]" {
			t.Errorf("trail %s", got)
		}
	})
}

// TestUnsentRequestIsPlacedAgainAfterRestart guards against a request that runs at a new incarnation although it was
// assigned to the former one, as the target was restarted between the grant and the sending. The planner had not
// counted the request there, so that a target with all slots of both incarnations taken ran twice its slots.
func TestUnsentRequestIsPlacedAgainAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, replies(200, "", "yes"))
		b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
		b.scheduler.placed = func() {
			b.scheduler.placed = nil
			b.restart()
		}
		if got := b.call(context.Background(), "/unsafe/a", nil); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
		b.checkIncarnations([]ids.Start{secondStart}, "")
		b.scheduler.mu.Lock()
		defer b.scheduler.mu.Unlock()
		if want := []string{"t1 Unreached", "t1 Served"}; !slices.Equal(b.scheduler.outcomes, want) {
			t.Errorf("assignments ended %v, want %v", b.scheduler.outcomes, want)
		}
	})
}

// TestConnectionOfFormerIncarnationNotReused guards against a request that is sent on an idle connection to a process
// that has ended, and is reported as possibly run, although the target was restarted long before.
func TestConnectionOfFormerIncarnationNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b *testbed
		b = newTestbed(t, fakeMeter{}, perIncarnation(&b, replies(200, "", "former"), replies(200, "", "next")))
		b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
		for i, want := range []string{"former", "next"} {
			if i > 0 {
				b.restart()
			}
			if got := b.call(context.Background(), "/unsafe/a", nil); got.status != 200 || got.body != want {
				t.Errorf("status %d, body %q, want %q", got.status, got.body, want)
			}
		}
		b.checkIncarnations([]ids.Start{firstStart, secondStart}, "")
	})
}

// TestTargetRowExpiresAndReturns: the row of a target expires while it runs a request, as when the store is
// unreachable, and comes back. The request goes on if the target is the same incarnation, and ends if it is not.
func TestTargetRowExpiresAndReturns(t *testing.T) {
	scenarios := []struct {
		name   string
		start  ids.Start // in the row that comes back
		status int
	}{
		{"the same incarnation", firstStart, 200},
		{"another incarnation", secondStart, 502},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, repliesLate)
				b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
				replies := make(chan reply, 1)
				go func() { replies <- b.call(context.Background(), "/unsafe/a", nil) }()
				time.Sleep(100 * time.Millisecond)
				b.expireFirst()
				time.Sleep(200 * time.Millisecond)
				b.updateFirst(func(t *routing.Target) { t.Start = s.start })
				if got := <-replies; got.status != s.status {
					t.Errorf("status %d, want %d", got.status, s.status)
				}
				b.checkIncarnations([]ids.Start{firstStart}, "")
			})
		})
	}
}

// TestConnectionBreaksBeforeRestartIsListed: the target's connections break and its address refuses connections before
// the list has the new start. A request that may not be repeated is reported as lost, and is not sent again when the
// new list arrives.
func TestConnectionBreaksBeforeRestartIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		breaks := func(c net.Conn, _ *http.Request) bool {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")
			return false
		}
		b := newTestbed(t, fakeMeter{}, breaks)
		b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
		if got := b.call(context.Background(), "/unsafe/a", nil); got.status != 502 {
			t.Errorf("status %d", got.status)
		}
		b.restart()
		time.Sleep(time.Second)
		b.checkIncarnations([]ids.Start{firstStart}, "")
	})
}
