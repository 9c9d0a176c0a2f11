package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// What operators saw: of twelve streams that ended at the end of their callers' time on one day, eight read `Left` in the logs and
// four `Deadline`; four of the eight had been held for 14,993 to 15,000 ms of the 15,000 that their callers wait. So `Left` told
// nothing of callers who go before their time is over, whom somebody made wait too long.
//
// The order of events: a caller's clock begins when it connects, that of the entry when the request is read. The caller
// closes its connection as its time is over, and the entry reads the close a few ms before its own timer.
//
// The evidence: in virtual time the same stream reads `Left` or `Deadline` by whether the caller's clock began 1 ms
// before or after the entry's.

// causeOf is why the newest request was not answered, as the logs tell it.
func (b *bed) causeOf() string {
	synctest.Wait()
	for _, line := range b.lines.AllEntries() {
		if line.Message == "request not answered" {
			return fmt.Sprint(line.Data["cause"])
		}
	}
	return "none"
}

// trickles streams events as slowly as it takes for the stream to outlast its caller's time.
func trickles(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	for n := 1; ; n++ {
		text := fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// longBody is an answer that is longer than what an entry reads whole, and longPart what is sent of it at once.
const (
	longBody = 1<<20 + 1<<19
	longPart = 1<<20 + 1<<18
)

// answersLong sends a part of a long answer, and the rest a while later; without a rest it closes the connection then.
func longAnswer(pause time.Duration, rest bool) engine {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), longBody)
		_, _ = io.WriteString(c, strings.Repeat("a", longPart))
		time.Sleep(pause)
		if !rest {
			return false
		}
		_, err := io.WriteString(c, strings.Repeat("a", longBody-longPart))
		return err == nil
	}
}

func TestLeftIsACallerThatWentBeforeItsTime(t *testing.T) {
	const time4 = 4 * time.Second // that the caller has
	cases := []struct {
		name   string
		path   string
		engine engine
		leaves time.Duration // the caller, behind the start of its request at the entry; 0 if it stays
		cause  string
	}{
		{"its clock began 1 ms before the entry's", "/stream/a", trickles, time4 - time.Millisecond, "Deadline"},
		{"its clock began 7 ms before the entry's", "/stream/a", trickles, time4 - 7*time.Millisecond, "Deadline"},
		{"its clock began 40 ms before the entry's", "/stream/a", trickles, time4 - 40*time.Millisecond, "Deadline"},
		{"its clock began with the entry's", "/stream/a", trickles, time4, "Deadline"},
		{"it never closes", "/stream/a", trickles, 0, "Deadline"},
		{"it goes half a second before", "/stream/a", trickles, time4 - 500*time.Millisecond, "Left"},
		{"it goes at once", "/stream/a", trickles, 600 * time.Millisecond, "Left"},
		{"before the first event, at the end", "/stream/a", silent, time4 - 7*time.Millisecond, "Deadline"},
		{"before the first event, half-way", "/stream/a", silent, time4 / 2, "Left"},
		{"a stream that may be resumed, at the end", "/resume/a", trickles, time4 - 7*time.Millisecond, "Deadline"},
		{"a call, at the end", "/unsafe/a", silent, time4 - 7*time.Millisecond, "Deadline"},
		{"a call, half-way", "/unsafe/a", silent, time4 / 2, "Left"},
		{"a long answer, at the end", "/unsafe/a", longAnswer(8*time.Second, true), time4 - 7*time.Millisecond, "Deadline"},
		{"a long answer, half-way", "/unsafe/a", longAnswer(8*time.Second, true), time4 / 2, "Left"},
		{"a long answer, and it never closes", "/unsafe/a", longAnswer(8*time.Second, true), 0, "Deadline"},
		{"a long answer that its target breaks off", "/unsafe/a", longAnswer(time.Second, false), 0, "Lost"},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, freely{}, s.engine)
				ctx := context.Background()
				if s.leaves > 0 {
					limited, leave := context.WithTimeout(ctx, s.leaves)
					defer leave()
					ctx = limited
				}
				got := b.call(ctx, s.path, map[string]string{"Wait": fmt.Sprint(time4.Milliseconds())})
				if got.whole && got.status == http.StatusOK {
					t.Errorf("the answer is whole, after %v", got.took)
				}
				if cause := b.causeOf(); cause != s.cause {
					t.Errorf("cause %s, want %s", cause, s.cause)
				}
			})
		})
	}
}

// What operators saw: a caller told of an answer that had stopped in the middle, and its request's line read
// `Lost` with "broken off" in the trail, whoever had ended it: the target, a new start of it, or the entry itself; no figure told
// how often that comes, by which end.

// breaksLater is an answer of a target that gives no event before it breaks off.
func breaksLater(c net.Conn, r *http.Request) bool {
	time.Sleep(700 * time.Millisecond)
	return false
}

func TestAnAnswerThatIsBrokenOffHasItsLine(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		engines []engine
		during  func(*bed) // 700 ms behind the start of the request
		by      string     // "" if there is no such line
		silence int64      // ms since the last event
	}{
		{"its target", "/stream/a", []engine{streams(4)}, nil, "Target", 20},
		{"its target, and the next one", "/resume/a", []engine{streams(4), streams(7)}, nil, "Target", 20},
		{"its target, in a long answer", "/unsafe/a", []engine{longAnswer(time.Second, false)}, nil, "Target", 1000},
		{"a new start of its target", "/stream/a", []engine{stallsAfter(3)}, (*bed).restart, "NewStart", 700},
		{"the end of its time", "/stream/a", []engine{stallsAfter(3)}, nil, "Deadline", 2000},
		{"the entry's end", "/stream/a", []engine{stallsAfter(3)}, func(b *bed) { b.controller.End() }, "Entry", 700},
		{"its caller", "/stream/a", []engine{stallsAfter(3)}, nil, "Caller", 900},
		{"this entry, as the VM of its target is gone", "/resume/a", []engine{stallsAfter(3), breaksLater}, func(b *bed) { _ = b.listeners[0].Close() }, "GivenUp", 1700},
		{"none, as another target went on", "/resume/a", []engine{streams(4), streams(0)}, nil, "", 0},
		{"none, as it had not begun", "/unsafe/a", []engine{closes}, nil, "", 0},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, freely{}, s.engines...)
				b.list(func(t *routing.Target) { t.Start = formerStart })
				if s.during != nil {
					time.AfterFunc(700*time.Millisecond, func() { s.during(b) })
				}
				ctx := context.Background()
				if s.by == "Caller" {
					limited, leave := context.WithTimeout(ctx, 900*time.Millisecond)
					defer leave()
					ctx = limited
				}
				b.call(ctx, s.path, map[string]string{"Wait": "2000"})
				synctest.Wait()
				b.checkBrokenOff(s.by, s.silence)
			})
		})
	}
}

// checkBrokenOff looks for the one line and the count of an answer that was broken off.
func (b *bed) checkBrokenOff(by string, silence int64) {
	b.t.Helper()
	lines := 0
	for _, line := range b.lines.AllEntries() {
		if line.Message != "an answer that had begun was broken off" {
			continue
		}
		lines++
		if fmt.Sprint(line.Data["ended_by"]) != by || line.Data["silence_ms"] != silence || line.Data["request"] != "r1" {
			b.t.Errorf("the line is %v", line.Data)
		}
		if targets, _ := line.Data["targets"].([]ids.Target); len(targets) == 0 {
			b.t.Error("the line names no target")
		}
	}
	if want := min(1, len(by)); lines != want {
		b.t.Errorf("%d lines, want %d", lines, want)
	}
	figures := httptest.NewRecorder()
	b.metrics.Figures.ServeHTTP(figures, nil)
	if count := fmt.Sprintf("quaydock_answers_broken_off_total{by=%q} 1\n", by); by != "" && !strings.Contains(figures.Body.String(), count) {
		b.t.Errorf("no %s", count)
	}
}
