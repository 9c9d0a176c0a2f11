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

// The two lives of the first target. The second start is the lower one: the clock of its VM was
// set back meanwhile.
const (
	formerStart ids.Start = 5000
	secondStart ids.Start = 4000
)

// restart lists the first target as started again, with nothing but the news of it: its
// connections stay open and silent, as those to a VM that was cut off and came back.
func (b *bed) restart() {
	b.list(func(t *routing.Target) { t.Start = secondStart })
}

// list replaces the list of targets by one in which the first one is changed.
func (b *bed) list(change func(*routing.Target)) {
	b.mu.Lock()
	first := *b.targets[0]
	change(&first)
	b.targets = append([]*routing.Target{&first}, b.targets[1:]...)
	b.mu.Unlock()
	b.view.SetDirectory(routing.NewDirectory(b.listed()))
}

// lapse takes the first target off what is read of the list.
func (b *bed) expireFirst() {
	b.view.SetDirectory(routing.NewDirectory(b.listed()[1:]))
}

// life is the start of the life that a connection leads to, 0 if its target tells none.
func (b *bed) startOf(c net.Conn) ids.Start {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started[c]
}

// perLife answers as one engine in a target's former life and as another in the next. Nobody
// answers any more on a connection to the former life once that is over.
func perIncarnation(b **bed, former, next engine) engine {
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

// stallsAfter sends the events of a stream up to the nth, and then nothing, not even the end.
func stallsAfter(n int) engine {
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

// repliesLate answers after a while, which outlasts the moment of the restart.
func repliesLate(c net.Conn, r *http.Request) bool {
	time.Sleep(400 * time.Millisecond)
	return says(200, "", "late")(c, r)
}

// TestATargetStartsAgainUnderItsID: callers waited until their time was over, got 504 or a
// stream that stopped, because an engine whose VM was cut off had crashed and started again under
// its id while requests were at it: no connection was reset, and nothing told that the list named
// another process than the one that had been asked. The list of targets shows the new start; what
// was sent to the former life ends by that, and is sent again only where it may be repeated.
func TestATargetStartsAgainUnderItsID(t *testing.T) {
	whole := strings.Join(events(10), "")
	scenarios := []struct {
		name   string
		path   string
		former engine
		status int
		body   string // compared if the status is 200
		whole  bool
		lives  []ids.Start // at which the request arrived, in order
		last   string      // Last-Event-Id of the last arrival
	}{
		{"sent", "/unsafe/a", silent, 502, "", true, []ids.Start{formerStart}, ""},
		{"sent, and may be repeated", "/safe/a", silent, 200, "next", true, []ids.Start{formerStart, secondStart}, ""},
		{"sent, a late answer of the former life", "/unsafe/a", repliesLate, 502, "", true, []ids.Start{formerStart}, ""},
		{"sent, a stream", "/stream/a", silent, 502, "", true, []ids.Start{formerStart}, ""},
		{"the first event", "/stream/a", stallsAfter(1), 200, strings.Join(events(1), ""), false, []ids.Start{formerStart}, ""},
		{"the first event, resumable", "/resume/a", stallsAfter(1), 200, whole, true, []ids.Start{formerStart, secondStart}, "1"},
		{"in the middle", "/stream/a", stallsAfter(4), 200, strings.Join(events(4), ""), false, []ids.Start{formerStart}, ""},
		{"in the middle, resumable", "/resume/a", stallsAfter(4), 200, whole, true, []ids.Start{formerStart, secondStart}, "4"},
		{"after the last event, before the end", "/stream/a", stallsAfter(10), 200, whole, false, []ids.Start{formerStart}, ""},
		{"after the last event, resumable", "/resume/a", stallsAfter(10), 200, whole, true, []ids.Start{formerStart, secondStart}, "10"},
	}
	next := func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/resume/") {
			return streams(0)(c, r)
		}
		return says(200, "", "next")(c, r)
	}
	for _, s := range scenarios {
		for _, stopping := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, entry stops %t", s.name, stopping), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var b *bed
					b = newBed(t, freely{}, perIncarnation(&b, s.former, next))
					b.list(func(t *routing.Target) { t.Start = formerStart })
					replies := make(chan reply, 1)
					go func() { replies <- b.call(context.Background(), s.path, nil) }()
					time.Sleep(100 * time.Millisecond)
					if stopping {
						b.controller.Leave(ingress.Stop{Narrows: b.clock.Now() + clock.Second, Ends: b.clock.Now() + clock.Minute})
					}
					b.restart()
					got := <-replies
					if got.status != s.status || got.whole != s.whole || s.status == 200 && got.body != s.body {
						t.Errorf("status %d, whole %t, body %q", got.status, got.whole, got.body)
					}
					if limit := 400 * time.Millisecond; got.took > limit {
						t.Errorf("told after %v, want within %v", got.took, limit)
					}
					b.checkIncarnations(s.lives, s.last)
				})
			})
		}
	}
}

func (b *bed) checkIncarnations(want []ids.Start, last string) {
	b.t.Helper()
	var lives []ids.Start
	for _, a := range b.arrived() {
		lives = append(lives, a.start)
	}
	if !slices.Equal(lives, want) {
		b.t.Errorf("arrived at lives %v, want %v", lives, want)
		return
	}
	if got := b.arrived()[len(lives)-1].header.Get("Last"); got != last {
		b.t.Errorf("went on behind event %q, want %q", got, last)
	}
}

// TestTheLineOfALostRequestTellsTheRestart reads what operators find of a request whose target had
// started again: the cause, and its target under the id by which all other lines name it.
func TestTheLineOfALostRequestTellsTheRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, freely{}, silent)
		b.list(func(t *routing.Target) { t.Start = formerStart })
		time.AfterFunc(100*time.Millisecond, b.restart)
		b.call(context.Background(), "/unsafe/a", nil)
		synctest.Wait()
		line := b.lines.LastEntry()
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

// TestARequestNotSentYetLeavesTheFormerLife: the target of a request had started again between
// the grant and the sending. The request ran at the new life, which no planner had counted there:
// with all places of both lives taken a target had twice its slots.
func TestARequestNotSentYetLeavesTheFormerLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, freely{}, says(200, "", "yes"))
		b.list(func(t *routing.Target) { t.Start = formerStart })
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
		if want := []string{"t1 Unreached", "t1 Served"}; !slices.Equal(b.scheduler.ends, want) {
			t.Errorf("places ended %v, want %v", b.scheduler.ends, want)
		}
	})
}

// TestNoConnectionOfAFormerLifeIsUsedAgain: a request went out on a kept connection to a process
// that was gone, and was told as perhaps run, though the target had long started again.
func TestNoConnectionOfAFormerLifeIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b *bed
		b = newBed(t, freely{}, perIncarnation(&b, says(200, "", "former"), says(200, "", "next")))
		b.list(func(t *routing.Target) { t.Start = formerStart })
		for i, want := range []string{"former", "next"} {
			if i > 0 {
				b.restart()
			}
			if got := b.call(context.Background(), "/unsafe/a", nil); got.status != 200 || got.body != want {
				t.Errorf("status %d, body %q, want %q", got.status, got.body, want)
			}
		}
		b.checkIncarnations([]ids.Start{formerStart, secondStart}, "")
	})
}

// TestAnEntryThatLapses has the entry of a target lapse while a request is at it, as when the store
// is away, and come back: the request goes on if the target is the same process, and ends if
// it is not.
func TestAnEntryThatLapses(t *testing.T) {
	scenarios := []struct {
		name   string
		start  ids.Start
		status int
	}{
		{"the same life", formerStart, 200},
		{"another life", secondStart, 502},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, freely{}, repliesLate)
				b.list(func(t *routing.Target) { t.Start = formerStart })
				replies := make(chan reply, 1)
				go func() { replies <- b.call(context.Background(), "/unsafe/a", nil) }()
				time.Sleep(100 * time.Millisecond)
				b.expireFirst()
				time.Sleep(200 * time.Millisecond)
				b.list(func(t *routing.Target) { t.Start = s.start })
				if got := <-replies; got.status != s.status {
					t.Errorf("status %d, want %d", got.status, s.status)
				}
				b.checkIncarnations([]ids.Start{formerStart}, "")
			})
		})
	}
}

// TestABrokenConnectionShowsTheRestartFirst has the target's connections break and its address
// refuse, before the list tells of the new start: what may not be repeated is told as lost, and goes
// nowhere when the news come.
func TestABrokenConnectionShowsTheRestartFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		breaks := func(c net.Conn, _ *http.Request) bool {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")
			return false
		}
		b := newBed(t, freely{}, breaks)
		b.list(func(t *routing.Target) { t.Start = formerStart })
		if got := b.call(context.Background(), "/unsafe/a", nil); got.status != 502 {
			t.Errorf("status %d", got.status)
		}
		b.restart()
		time.Sleep(time.Second)
		b.checkIncarnations([]ids.Start{formerStart}, "")
	})
}
