package ingress_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// blockingAdvice is the advice after which no request may be sent to a target.
var blockingAdvice = []struct {
	name   string
	advice advisory.Advice
}{
	{"is leaving", advisory.Advice{Leaving: true}},
	{"asked for a back-off", advisory.Advice{Backoff: 10 * clock.Second}},
}

// The scheduler may not know what a target has reported to this entry: an owner that has not received it, is
// partitioned or has just started goes on assigning the same target, as the scheduler of this test does. No request
// may be sent to the target then. The test covers the first try, a try after one that did not run, a retry of one that
// may have run, the remainder of a stream that broke off, and a stream that its caller resumes, on routes of each
// kind, also if the advice arrives only after the assignment. The advice is one of blockingAdvice: the target is
// leaving, or asked for a back-off. It was in the answer to another request, "earlier", on a connection of unknown age:
// the test passes 0 as the time at which the connection was made.
func TestNoRequestSentToTargetWithBlockingAdvice(t *testing.T) {
	complete := strings.Join(events(10), "")
	scenarios := []struct {
		name    string
		path    string
		header  map[string]string
		engines []scriptedTarget
		advisor int // the target that has given the advice, from 1
		placed  int // the number of assignments after which it does, 0 for before the first
		status  int
		body    string   // compared if the status is 200
		arrived []string // the targets at which the request arrives
	}{
		{"first try, repeatable", "/safe/a", nil, []scriptedTarget{replies(200, "", "no"), replies(200, "", "yes")}, 1, 0, 200, "yes", []string{"t2"}},
		{"first try, not repeatable", "/unsafe/a", nil, []scriptedTarget{replies(200, "", "no"), replies(200, "", "yes")}, 1, 0, 200, "yes", []string{"t2"}},
		{"first try, without a key", "/open/a", nil, []scriptedTarget{replies(200, "", "no"), replies(200, "", "yes")}, 1, 0, 200, "yes", []string{"t2"}},
		{"first try, a stream", "/stream/a", nil, []scriptedTarget{streams(0), streams(0)}, 1, 0, 200, complete, []string{"t2"}},
		{"first try, resumable", "/resume/a", nil, []scriptedTarget{streams(0), streams(0)}, 1, 0, 200, complete, []string{"t2"}},
		{"stream resumed by its caller", "/resume/a", map[string]string{"Last": "4"}, []scriptedTarget{streams(0), streams(0)}, 1, 0, 200, strings.Join(events(10)[4:], ""), []string{"t2"}},
		{"advice after the assignment", "/safe/a", nil, []scriptedTarget{replies(200, "", "no"), replies(200, "", "yes")}, 1, 1, 200, "yes", []string{"t2"}},
		{"advice after the assignment, not repeatable", "/unsafe/a", nil, []scriptedTarget{replies(200, "", "no"), replies(200, "", "yes")}, 1, 1, 200, "yes", []string{"t2"}},
		{"try after one that did not run", "/unsafe/a", nil, []scriptedTarget{replies(503, "Not-Run: 1\r\n", ""), replies(200, "", "no"), replies(200, "", "yes")}, 2, 0, 200, "yes", []string{"t1", "t3"}},
		{"retry", "/safe/a", nil, []scriptedTarget{closesUnanswered, replies(200, "", "no"), replies(200, "", "yes")}, 2, 0, 200, "yes", []string{"t1", "t3"}},
		{"retry, advice after its assignment", "/safe/a", nil, []scriptedTarget{closesUnanswered, replies(200, "", "no"), replies(200, "", "yes")}, 2, 2, 200, "yes", []string{"t1", "t3"}},
		{"remainder of a stream", "/resume/a", nil, []scriptedTarget{streams(5), streams(0), streams(0)}, 2, 0, 200, complete, []string{"t1", "t3"}},
		{"no other target", "/safe/a", nil, []scriptedTarget{replies(200, "", "no")}, 1, 0, 503, "", nil},
	}
	for _, s := range scenarios {
		for _, blocking := range blockingAdvice {
			t.Run(fmt.Sprintf("%s, target %s", s.name, blocking.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestbed(t, fakeMeter{}, s.engines...)
					advise := func() {
						b.advice.Observe(ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("t", s.advisor))}, 0, "earlier", blocking.advice)
					}
					placed := 0
					b.scheduler.placed = func() {
						if placed++; placed == s.placed {
							advise()
						}
					}
					if s.placed == 0 {
						advise()
					}
					got := b.call(context.Background(), s.path, s.header)
					if got.status != s.status || s.status == 200 && got.body != s.body {
						t.Errorf("status %d, body %q", got.status, got.body)
					}
					var arrived []string
					for _, a := range b.arrived() {
						arrived = append(arrived, a.target)
					}
					if !slices.Equal(arrived, s.arrived) {
						t.Errorf("arrived at %v, want %v", arrived, s.arrived)
					}
				})
			})
		}
	}
}

// A target reports in its answer that it is leaving and asks for a back-off; 3 s later one more request is sent.
// A 421 comes from another process at the address, so its advice doesn't count. A back-off counts only in an answer
// that rejects the request. The advice of a stream counts from its head on, while the stream continues.
func TestAdviceCountsByKindOfAnswer(t *testing.T) {
	const both = "Leaving: 1\r\nRest: 5000\r\n"
	stray := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: other\r\n%sContent-Length: 0\r\n\r\n", both)
		return replies(200, "", "yes")(c, r)
	}
	broken := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\n%sContent-Length: 9\r\n\r\nhal", r.Header.Get("Id"), both)
		return false
	}
	late := func(c net.Conn, r *http.Request) bool {
		time.Sleep(time.Second) // until the caller has left
		return replies(200, both, "yes")(c, r)
	}
	stream := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), both)
		time.Sleep(10 * time.Second)
		return false
	}
	scenarios := []struct {
		name             string
		path             string
		first            scriptedTarget
		leaving, backoff bool // which parts of the advice count
	}{
		{"200", "/unsafe/a", replies(200, both, "yes"), true, false},
		{"404", "/unsafe/a", replies(404, both, ""), true, false},
		{"429, not run", "/unsafe/a", replies(429, "Not-Run: 1\r\n"+both, ""), true, false},
		{"500", "/unsafe/a", replies(500, both, ""), true, false},
		{"503, not run", "/unsafe/a", replies(503, "Not-Run: 1\r\n"+both, ""), true, true},
		{"503, run", "/unsafe/a", replies(503, both, ""), true, true},
		{"504", "/unsafe/a", replies(504, both, ""), true, false},
		{"421", "/unsafe/a", replies(421, both, ""), false, false},
		{"answer to another request", "/unsafe/a", stray, false, false},
		{"answer that is broken off", "/unsafe/a", broken, true, false},
		{"answer after its caller has left", "/unsafe/a", late, false, false},
		{"stream in progress", "/stream/a", stream, true, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, s.first)
				ctx, leave := context.WithTimeout(context.Background(), 500*time.Millisecond)
				defer leave()
				b.call(ctx, s.path, nil)
				time.Sleep(3 * time.Second)
				status := b.advice.Status(ids.TargetIncarnation{Target: "t1"})
				if status.Leaving != s.leaving || (status.Backoff > 0) != s.backoff {
					t.Errorf("advisory status of the target: %+v", status)
				}
				before := len(b.arrived())
				b.call(context.Background(), "/unsafe/a", map[string]string{"Id": "r2", "Wait": "300"})
				if sent := len(b.arrived()) > before; sent == (s.leaving || s.backoff) {
					t.Errorf("one more request was sent: %t", sent)
				}
			})
		})
	}
}

// A target that had reported that it was leaving ended while it still ran a request. The end was blamed on the request:
// its account was watched, and a second such end would have quarantined the request. The end of a leaving target is
// expected, and must not count against the request.
func TestEndOfLeavingTargetIsNotBlamedOnRequest(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(t, fakeMeter{}, silent)
			b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
			time.AfterFunc(50*time.Millisecond, func() {
				b.advice.Observe(ids.TargetIncarnation{Target: "t1", Start: firstStart}, 0, "other", advisory.Advice{Leaving: leaving})
			})
			time.AfterFunc(100*time.Millisecond, b.restart)
			b.call(context.Background(), "/unsafe/a", nil)
			blamed := false
			for _, line := range b.logs.AllEntries() {
				blamed = blamed || line.Message == "a target has ended while it ran a request"
			}
			if blamed == leaving {
				t.Errorf("target leaving %t, request blamed for its end %t", leaving, blamed)
			}
		})
	}
}

// A target had restarted under its id, which this entry had not read yet, rejected a request and asked for a back-off.
// The entry attributed that to the former incarnation, and sent requests again as soon as it read of the new one. The
// advice is the new incarnation's if the connection was made after its start, by more than the clocks of two VMs may
// differ. If that is unclear, nothing is sent at first.
func TestAdviceOfIncarnationNotReadYet(t *testing.T) {
	scenarios := []struct {
		start time.Duration // of the new incarnation, relative to the connection's
		sent  bool          // one more request may be sent at once
	}{
		{-4 * time.Second, false}, {-time.Second, false}, {time.Second, false}, {4 * time.Second, true},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(t, fakeMeter{}, replies(503, "Not-Run: 1\r\nRest: 5000\r\n", ""))
			b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
			b.call(context.Background(), "/unsafe/a", nil)
			b.updateFirst(func(t *routing.Target) { t.Start = ids.Start(time.Now().Add(s.start).UnixMilli()) })
			b.call(context.Background(), "/unsafe/a", map[string]string{"Id": "r2", "Wait": "300"})
			if sent := len(b.arrived()) > 1; sent != s.sent {
				t.Errorf("incarnation started %v after the connection, one more request was sent: %t", s.start, sent)
			}
		})
	}
}
