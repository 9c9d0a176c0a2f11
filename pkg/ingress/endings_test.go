package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/descriptors"
	"quaydock/pkg/ids"
	"quaydock/pkg/ingress"
	"quaydock/pkg/routing"
)

// TestTargetListInForceBeforeExchangesEnd guards against a request that fails although its restarted target is listed
// and free. A new list ended the exchanges with the former incarnation, the request searched for another target in the
// list in force, and only then the new list came into force. A call that may be repeated got 502, and a stream that may
// be resumed was broken off after its last event: 2 of 320 such calls and streams, and all of them with 50 ms between
// the two steps, as here.
func TestTargetListInForceBeforeExchangesEnd(t *testing.T) {
	cases := []struct {
		name, path string
		former     scriptedTarget // the target's first incarnation
		body, last string         // the whole body, and the id of the event after which the second incarnation goes on
	}{
		{"a call", "/safe/a", silent, "next", ""},
		{"a stream before its first event", "/resume/a", silent, strings.Join(events(10), ""), ""},
		{"a stream in the middle", "/resume/a", stallsAfter(4), strings.Join(events(10), ""), "4"},
		{"a stream after its last event", "/resume/a", stallsAfter(10), strings.Join(events(10), ""), "10"},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				next := streams(0)
				if s.path == "/safe/a" {
					next = replies(200, "", "next")
				}
				var b *testbed
				b = newTestbed(t, fakeMeter{}, perIncarnation(&b, s.former, next))
				b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
				b.view.Watch(func(d *routing.Directory) {
					if d.Target("t1").Start == secondStart {
						time.Sleep(50 * time.Millisecond) // nothing else waits for the view's lock
					}
				})
				time.AfterFunc(100*time.Millisecond, b.restart)
				got := b.call(context.Background(), s.path, nil)
				if got.status != 200 || !got.complete || got.body != s.body {
					t.Errorf("status %d, complete %t, body %q", got.status, got.complete, got.body)
				}
				b.checkIncarnations([]ids.Start{firstStart, secondStart}, s.last)
			})
		})
	}
}

// TestLocalConnectionErrorsDoNotGiveUpTarget has connections fail for local reasons, and for one that is the target's.
// It guards against a stream that is broken off while its target runs it, at an entry without a free descriptor. The
// target was silent for a second, and another one got the request on an idle connection and was slow. The entry probed
// the first target, failed to make the connection, took this for an unreachable VM, and gave the target up for the
// other one, which then broke off. With one more descriptor the probe succeeded, and the first target completed the
// answer.
func TestLocalConnectionErrorsDoNotGiveUpTarget(t *testing.T) {
	cases := []struct {
		name string
		err  error
		cut  bool // the answer is broken off
	}{
		{"no descriptor left for the process", syscall.EMFILE, false},
		{"no descriptor left for the VM", syscall.ENFILE, false},
		{"no memory", syscall.ENOMEM, false},
		{"no buffer space", syscall.ENOBUFS, false},
		{"no port left", syscall.EADDRNOTAVAIL, false},
		{"nothing listens", syscall.ECONNREFUSED, true},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// An earlier call leaves an idle connection to each of the two targets.
				earlier := func(then, before scriptedTarget) scriptedTarget {
					return func(c net.Conn, r *http.Request) bool {
						if r.Header.Get("Id") == "earlier" {
							return before(c, r)
						}
						return then(c, r)
					}
				}
				b := newTestbed(t, fakeMeter{}, earlier(pausesMidStream(3*time.Second), replies(503, "Not-Run: 1\r\n", "")), earlier(breaksLater, replies(200, "", "yes")))
				b.call(context.Background(), "/safe/a", map[string]string{"Id": "earlier"})
				time.AfterFunc(500*time.Millisecond, func() { b.dialer.set(0, s.err) })
				got := b.call(context.Background(), "/resume/a", nil)
				if cut := !got.complete; cut != s.cut {
					t.Errorf("status %d, complete %t after %v, body %q", got.status, got.complete, got.took, got.body)
				}
			})
		})
	}
}

// serveCallers starts a server for callers' connections in front of the controller.
func (b *testbed) serveCallers(shares descriptors.Limits) *ingress.Server {
	handlers := ingress.Handlers{Serve: b.controller, Reject: http.HandlerFunc(b.controller.Reject), Context: b.controller.Context()}
	server := ingress.NewServer(commontest.New(b.network), handlers, shares)
	listener, err := b.network.Listen(serverAt)
	if err != nil {
		b.t.Fatal(err)
	}
	go server.Serve(listener)
	b.t.Cleanup(func() {
		if b.stopped {
			return
		}
		if err := server.Shutdown(context.Background()); err != nil {
			b.t.Error(err)
		}
	})
	synctest.Wait()
	return server
}

// TestConnectionChangesKeepAnswersInProgress: changed limits, many connections beyond the limit, and a drain leave the
// callers' connections alone on which an answer is in progress.
func TestConnectionChangesKeepAnswersInProgress(t *testing.T) {
	cases := []struct {
		name string
		do   func(b *testbed, s *ingress.Server)
	}{
		{"limits are lowered", func(_ *testbed, s *ingress.Server) {
			s.SetLimits(routing.Limits{HeaderBytes: 1, HeaderTime: 1, IdleTime: 1, BodyBytes: 1})
		}},
		{"limits are changed often", func(_ *testbed, s *ingress.Server) {
			for n := range 20 {
				s.SetLimits(routing.Limits{HeaderBytes: 4096, HeaderTime: 1000, IdleTime: clock.Millis(n + 1)})
			}
		}},
		{"more connections than the limit", func(b *testbed, _ *ingress.Server) {
			for range 20 {
				c := dial(b.t, b.network)
				go func() { sendRequestTo(c, "/safe/b") }()
			}
		}},
		{"the entry is drained", func(b *testbed, s *ingress.Server) {
			b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now(), EndsAt: b.clock.Now() + 8*clock.Second})
			b.stopped = true
			go func() { _ = s.Shutdown(context.Background()) }()
		}},
	}
	for _, at := range []requestStep{stepSent, stepHead, stepEvents, stepLastEvent, stepLongBody} {
		path := "/stream/a"
		if at == stepLongBody {
			path = "/unsafe/a"
		}
		for _, s := range cases {
			t.Run(fmt.Sprintf("step %d, %s", at, s.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestbed(t, fakeMeter{}, pausesAt(at, 3*time.Second))
					server := b.serveCallers(descriptors.Limits{Callers: 2, Rejecting: 2, Extra: 1})
					time.AfterFunc(300*time.Millisecond, func() { s.do(b, server) })
					if got := bodyOn(dial(t, b.network), path); got != completeAnswer(at, path) {
						t.Errorf("%d bytes", len(got))
					}
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}

// bodyOn makes a request on a connection, and returns the body of its answer, empty if that is incomplete.
func bodyOn(c net.Conn, path string) string {
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\n\r\n"); err != nil {
		return ""
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return ""
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(body)
}
