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

// saidNo is what a target says for which no way may lead to it.
var saidNo = []struct {
	name   string
	advice advisory.Advice
}{
	{"leaves", advisory.Advice{Leaving: true}},
	{"rests", advisory.Advice{Backoff: 10 * clock.Second}},
}

// TestNoWayLeadsToATargetThatHasSaidNo: whoever gives the places may not know what a target has told this
// entry: a home that has not heard it, or one that is cut off, or has just begun, goes on giving the same place. The
// scheduler here gives the first target again and again. The ways to it are all those of a request to a target: its
// first try, a try after one that did not run, a repeat of one that may have run, the rest of a stream that broke
// off, and what a caller resumes itself; on routes of each kind, and also where the target says so only once the place
// is given.
func TestNoWayLeadsToATargetThatHasSaidNo(t *testing.T) {
	whole := strings.Join(events(10), "")
	scenarios := []struct {
		name    string
		path    string
		header  map[string]string
		engines []engine
		said    int // the target that has said so, from 1
		placed  int // it says so once so many places are given, 0 for before
		status  int
		body    string
		at      []string // where the request arrives
	}{
		{"first try, repeatable", "/safe/a", nil, []engine{says(200, "", "no"), says(200, "", "yes")}, 1, 0, 200, "yes", []string{"t2"}},
		{"first try, not repeatable", "/unsafe/a", nil, []engine{says(200, "", "no"), says(200, "", "yes")}, 1, 0, 200, "yes", []string{"t2"}},
		{"first try, without a key", "/open/a", nil, []engine{says(200, "", "no"), says(200, "", "yes")}, 1, 0, 200, "yes", []string{"t2"}},
		{"first try, a stream", "/stream/a", nil, []engine{streams(0), streams(0)}, 1, 0, 200, whole, []string{"t2"}},
		{"first try, resumable", "/resume/a", nil, []engine{streams(0), streams(0)}, 1, 0, 200, whole, []string{"t2"}},
		{"resumed by its caller", "/resume/a", map[string]string{"Last": "4"}, []engine{streams(0), streams(0)}, 1, 0, 200, strings.Join(events(10)[4:], ""), []string{"t2"}},
		{"once the place is given", "/safe/a", nil, []engine{says(200, "", "no"), says(200, "", "yes")}, 1, 1, 200, "yes", []string{"t2"}},
		{"once the place is given, not repeatable", "/unsafe/a", nil, []engine{says(200, "", "no"), says(200, "", "yes")}, 1, 1, 200, "yes", []string{"t2"}},
		{"after one that did not run", "/unsafe/a", nil, []engine{says(503, "Not-Run: 1\r\n", ""), says(200, "", "no"), says(200, "", "yes")}, 2, 0, 200, "yes", []string{"t1", "t3"}},
		{"a repeat", "/safe/a", nil, []engine{closes, says(200, "", "no"), says(200, "", "yes")}, 2, 0, 200, "yes", []string{"t1", "t3"}},
		{"a repeat, once its place is given", "/safe/a", nil, []engine{closes, says(200, "", "no"), says(200, "", "yes")}, 2, 2, 200, "yes", []string{"t1", "t3"}},
		{"the rest of a stream", "/resume/a", nil, []engine{streams(5), streams(0), streams(0)}, 2, 0, 200, whole, []string{"t1", "t3"}},
		{"nowhere else to go", "/safe/a", nil, []engine{says(200, "", "no")}, 1, 0, 503, "", nil},
	}
	for _, s := range scenarios {
		for _, said := range saidNo {
			t.Run(fmt.Sprintf("%s, it %s", s.name, said.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBed(t, freely{}, s.engines...)
					says := func() {
						b.advice.Observe(ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("t", s.said))}, 0, "earlier", said.advice)
					}
					places := 0
					b.scheduler.placed = func() {
						if places++; places == s.placed {
							says()
						}
					}
					if s.placed == 0 {
						says()
					}
					got := b.call(context.Background(), s.path, s.header)
					if got.status != s.status || s.status == 200 && got.body != s.body {
						t.Errorf("status %d, body %q", got.status, got.body)
					}
					var at []string
					for _, a := range b.arrived() {
						at = append(at, a.target)
					}
					if !slices.Equal(at, s.at) {
						t.Errorf("arrived at %v, want %v", at, s.at)
					}
				})
			})
		}
	}
}

// TestWhichAnswersSayIt has a target say in an answer of some kind that it leaves and wants rest, and sends one
// more request 3 s later. On a 421 it is another process at the address that says so. Only one that turns a
// request away can ask for rest. A stream says it with its head, while it goes on for longer.
func TestWhichAnswersSayIt(t *testing.T) {
	const both = "Leaving: 1\r\nRest: 5000\r\n"
	stray := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: other\r\n%sContent-Length: 0\r\n\r\n", both)
		return says(200, "", "yes")(c, r)
	}
	broken := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\n%sContent-Length: 9\r\n\r\nhal", r.Header.Get("Id"), both)
		return false
	}
	late := func(c net.Conn, r *http.Request) bool {
		time.Sleep(time.Second) // its caller has left
		return says(200, both, "yes")(c, r)
	}
	stream := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), both)
		time.Sleep(10 * time.Second)
		return false
	}
	scenarios := []struct {
		name          string
		path          string
		first         engine
		leaves, rests bool
	}{
		{"200", "/unsafe/a", says(200, both, "yes"), true, false},
		{"404", "/unsafe/a", says(404, both, ""), true, false},
		{"429, not run", "/unsafe/a", says(429, "Not-Run: 1\r\n"+both, ""), true, false},
		{"500", "/unsafe/a", says(500, both, ""), true, false},
		{"503, not run", "/unsafe/a", says(503, "Not-Run: 1\r\n"+both, ""), true, true},
		{"503, run", "/unsafe/a", says(503, both, ""), true, true},
		{"504", "/unsafe/a", says(504, both, ""), true, false},
		{"421", "/unsafe/a", says(421, both, ""), false, false},
		{"an answer to another request", "/unsafe/a", stray, false, false},
		{"an answer that is broken off", "/unsafe/a", broken, true, false},
		{"an answer to a caller that has left", "/unsafe/a", late, false, false},
		{"a stream that goes on", "/stream/a", stream, true, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, freely{}, s.first)
				ctx, leave := context.WithTimeout(context.Background(), 500*time.Millisecond)
				defer leave()
				b.call(ctx, s.path, nil)
				time.Sleep(3 * time.Second)
				standing := b.advice.Status(ids.TargetIncarnation{Target: "t1"})
				if standing.Leaving != s.leaves || (standing.Backoff > 0) != s.rests {
					t.Errorf("known of it: %+v", standing)
				}
				before := len(b.arrived())
				b.call(context.Background(), "/unsafe/a", map[string]string{"Id": "r2", "Wait": "300"})
				if sent := len(b.arrived()) > before; sent == (s.leaves || s.rests) {
					t.Errorf("one more request was sent: %t", sent)
				}
			})
		})
	}
}

// TestATargetThatHasSaidThatItLeavesMayEnd: a target that had said that it leaves ended while it still ran a
// request, whose account was then watched, and a second such end would have held the request back. What was to
// end says nothing against what ran there.
func TestATargetThatHasSaidThatItLeavesMayEnd(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t, freely{}, silent)
			b.list(func(t *routing.Target) { t.Start = formerStart })
			time.AfterFunc(50*time.Millisecond, func() {
				b.advice.Observe(ids.TargetIncarnation{Target: "t1", Start: formerStart}, 0, "other", advisory.Advice{Leaving: leaves})
			})
			time.AfterFunc(100*time.Millisecond, b.restart)
			b.call(context.Background(), "/unsafe/a", nil)
			blamed := false
			for _, line := range b.lines.AllEntries() {
				blamed = blamed || line.Message == "a target has ended while it ran a request"
			}
			if blamed == leaves {
				t.Errorf("said that it leaves %t, and the request is blamed for its end %t", leaves, blamed)
			}
		})
	}
}

// TestTheWordOfALifeThatWasNotReadYet: a target had started again under its id, which this entry had not read, turned a
// request away and asked for rest. The entry took that for the word of the former life, and sent requests again as
// soon as it read of the new one. Whose word it was is told by the connection, if the clocks of two VMs can't account for
// it: the new life's if that was made since its start. In doubt nothing is sent at first.
func TestTheWordOfALifeThatWasNotReadYet(t *testing.T) {
	scenarios := []struct {
		start time.Duration // from when the connection was made
		sent  bool
	}{
		{-4 * time.Second, false}, {-time.Second, false}, {time.Second, false}, {4 * time.Second, true},
	}
	for _, s := range scenarios {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t, freely{}, says(503, "Not-Run: 1\r\nRest: 5000\r\n", ""))
			b.list(func(t *routing.Target) { t.Start = formerStart })
			b.call(context.Background(), "/unsafe/a", nil)
			b.list(func(t *routing.Target) { t.Start = ids.Start(time.Now().Add(s.start).UnixMilli()) })
			b.call(context.Background(), "/unsafe/a", map[string]string{"Id": "r2", "Wait": "300"})
			if sent := len(b.arrived()) > 1; sent != s.sent {
				t.Errorf("it started %v after the connection, and one more request was sent %t", s.start, sent)
			}
		})
	}
}
