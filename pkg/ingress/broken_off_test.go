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

// These tests guard against the cause `Left` for callers whose time was over. Of twelve streams that ended at their
// callers' deadline on one day, eight were logged as `Left` and four as `Deadline`; four of the eight had run for
// 14,993 to 15,000 ms of the 15,000 ms that their callers wait. `Left` then does not show callers who leave early
// because they waited too long.
//
// A caller's clock starts when it connects, that of the entry when the request is read. The caller closes its
// connection at its deadline, and the entry reads the close a few ms before its own timer. In virtual time the same
// stream had `Left` or `Deadline` depending on whether the caller's clock started 1 ms before or after the entry's.

// causeOf returns the cause in the log line of the request that was not answered, "none" if there is no such line.
func (b *testbed) causeOf() string {
	synctest.Wait()
	for _, line := range b.logs.AllEntries() {
		if line.Message == "request not answered" {
			return fmt.Sprint(line.Data["cause"])
		}
	}
	return "none"
}

// trickles streams events until its caller closes the connection, so that the stream outlasts the caller's time.
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

// longBody is the length of an answer that is longer than maxBuffered, and longPart how much of it is sent at once.
const (
	longBody = 1<<20 + 1<<19
	longPart = 1<<20 + 1<<18
)

// longAnswer sends a part of a long answer, and after a pause the rest; without a rest it closes the connection then.
func longAnswer(pause time.Duration, rest bool) scriptedTarget {
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

// TestCauseLeftOnlyBeforeCallersDeadline has callers leave at moments around their deadline, at each stage of an
// answer.
func TestCauseLeftOnlyBeforeCallersDeadline(t *testing.T) {
	const callerTime = 4 * time.Second // until the caller's deadline
	cases := []struct {
		name   string
		path   string
		engine scriptedTarget
		leaves time.Duration // when the caller leaves, from the arrival of its request at the entry; 0 if it stays
		cause  string
	}{
		{"its clock began 1 ms before the entry's", "/stream/a", trickles, callerTime - time.Millisecond, "Deadline"},
		{"its clock began 7 ms before the entry's", "/stream/a", trickles, callerTime - 7*time.Millisecond, "Deadline"},
		{"its clock began 40 ms before the entry's", "/stream/a", trickles, callerTime - 40*time.Millisecond, "Deadline"},
		{"its clock began with the entry's", "/stream/a", trickles, callerTime, "Deadline"},
		{"it never closes the connection", "/stream/a", trickles, 0, "Deadline"},
		{"it leaves half a second early", "/stream/a", trickles, callerTime - 500*time.Millisecond, "Left"},
		{"it leaves soon", "/stream/a", trickles, 600 * time.Millisecond, "Left"},
		{"before the first event, at the end", "/stream/a", silent, callerTime - 7*time.Millisecond, "Deadline"},
		{"before the first event, half-way", "/stream/a", silent, callerTime / 2, "Left"},
		{"a stream that may be resumed, at the end", "/resume/a", trickles, callerTime - 7*time.Millisecond, "Deadline"},
		{"a call, at the end", "/unsafe/a", silent, callerTime - 7*time.Millisecond, "Deadline"},
		{"a call, half-way", "/unsafe/a", silent, callerTime / 2, "Left"},
		{"a long answer, at the end", "/unsafe/a", longAnswer(8*time.Second, true), callerTime - 7*time.Millisecond, "Deadline"},
		{"a long answer, half-way", "/unsafe/a", longAnswer(8*time.Second, true), callerTime / 2, "Left"},
		{"a long answer, and it never closes", "/unsafe/a", longAnswer(8*time.Second, true), 0, "Deadline"},
		{"a long answer that its target breaks off", "/unsafe/a", longAnswer(time.Second, false), 0, "Lost"},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, s.engine)
				ctx := context.Background()
				if s.leaves > 0 {
					limited, cancel := context.WithTimeout(ctx, s.leaves)
					defer cancel()
					ctx = limited
				}
				got := b.call(ctx, s.path, map[string]string{"Wait": fmt.Sprint(callerTime.Milliseconds())})
				if got.complete && got.status == http.StatusOK {
					t.Errorf("the answer is complete after %v", got.took)
				}
				if cause := b.causeOf(); cause != s.cause {
					t.Errorf("cause %s, want %s", cause, s.cause)
				}
			})
		})
	}
}

// breaksLater is a target that breaks off after 0.7 s without an event.
func breaksLater(c net.Conn, r *http.Request) bool {
	time.Sleep(700 * time.Millisecond)
	return false
}

// TestBrokenOffAnswerIsLoggedAndCounted guards against answers that stop in the middle without a trace of who ended
// them: the request's line had the cause `Lost` and "broken off" in the trail whether the target, its restart or the
// entry itself had ended the answer, and no metric counted them by that.
func TestBrokenOffAnswerIsLoggedAndCounted(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		engines []scriptedTarget
		during  func(*testbed) // 700 ms after the start of the request
		by      string         // "" if there is no such line
		silence int64          // ms since the last event
	}{
		{"its target", "/stream/a", []scriptedTarget{streams(4)}, nil, "Target", 20},
		{"its target, and the next one", "/resume/a", []scriptedTarget{streams(4), streams(7)}, nil, "Target", 20},
		{"its target, in a long answer", "/unsafe/a", []scriptedTarget{longAnswer(time.Second, false)}, nil, "Target", 1000},
		{"a restart of its target", "/stream/a", []scriptedTarget{stallsAfter(3)}, (*testbed).restart, "NewStart", 700},
		{"its deadline", "/stream/a", []scriptedTarget{stallsAfter(3)}, nil, "Deadline", 2000},
		{"the end of the entry", "/stream/a", []scriptedTarget{stallsAfter(3)}, func(b *testbed) { b.controller.End() }, "Entry", 700},
		{"its caller", "/stream/a", []scriptedTarget{stallsAfter(3)}, nil, "Caller", 900},
		{"this entry, as the VM of its target is gone", "/resume/a", []scriptedTarget{stallsAfter(3), breaksLater}, func(b *testbed) { _ = b.listeners[0].Close() }, "GivenUp", 1700},
		{"none, as another target went on", "/resume/a", []scriptedTarget{streams(4), streams(0)}, nil, "", 0},
		{"none, as the answer had not begun", "/unsafe/a", []scriptedTarget{closesUnanswered}, nil, "", 0},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, s.engines...)
				b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
				if s.during != nil {
					time.AfterFunc(700*time.Millisecond, func() { s.during(b) })
				}
				ctx := context.Background()
				if s.by == "Caller" {
					limited, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
					defer cancel()
					ctx = limited
				}
				b.call(ctx, s.path, map[string]string{"Wait": "2000"})
				synctest.Wait()
				b.checkBrokenOff(s.by, s.silence)
			})
		})
	}
}

// checkBrokenOff checks the log line and the metric of an answer that was broken off: who ended it, and how many ms
// after its last event. If by is empty, there must be no such line.
func (b *testbed) checkBrokenOff(by string, silence int64) {
	b.t.Helper()
	lines := 0
	for _, line := range b.logs.AllEntries() {
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
	metrics := httptest.NewRecorder()
	b.metrics.Prometheus.ServeHTTP(metrics, nil)
	if count := fmt.Sprintf("quaydock_answers_broken_off_total{by=%q} 1\n", by); by != "" && !strings.Contains(metrics.Body.String(), count) {
		b.t.Errorf("no %s", count)
	}
}
