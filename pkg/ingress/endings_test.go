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

// What callers saw: the connection to a target that had started again was silent, and the entry read of its next life. A call that
// may be repeated got 502, and a stream that may be resumed was cut behind its last event, although the next life was listed,
// and free. It came in 2 of 320 such calls and streams.
//
// The order of events: the news of the list ends the exchanges with the former life; the request looks for another target, by the
// list in force; then the new list comes into force.
//
// The evidence: with 50 ms between the news and the list in force each such call and stream ends so.

// TestAListIsInForceBeforeItEndsAnything has the news of a list take a while to be told to all.
func TestAListIsInForceBeforeItEndsAnything(t *testing.T) {
	cases := []struct {
		name, path string
		former     engine
		body, last string
	}{
		{"a call", "/safe/a", silent, "next", ""},
		{"a stream before its first event", "/resume/a", silent, strings.Join(events(10), ""), ""},
		{"a stream in the middle", "/resume/a", stallsAfter(4), strings.Join(events(10), ""), "4"},
		{"a stream behind its last event", "/resume/a", stallsAfter(10), strings.Join(events(10), ""), "10"},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				next := streams(0)
				if s.path == "/safe/a" {
					next = says(200, "", "next")
				}
				var b *bed
				b = newBed(t, freely{}, perIncarnation(&b, s.former, next))
				b.list(func(t *routing.Target) { t.Start = formerStart })
				b.view.Watch(func(d *routing.Directory) {
					if d.Target("t1").Start == secondStart {
						time.Sleep(50 * time.Millisecond) // nobody else waits for the view's lock
					}
				})
				time.AfterFunc(100*time.Millisecond, b.restart)
				got := b.call(context.Background(), s.path, nil)
				if got.status != 200 || !got.whole || got.body != s.body {
					t.Errorf("status %d, whole %t, body %q", got.status, got.whole, got.body)
				}
				b.checkIncarnations([]ids.Start{formerStart, secondStart}, s.last)
			})
		})
	}
}

// What callers saw: a stream was cut in the middle while its target worked, at an entry that had no descriptor left.
//
// The order of events: the target is silent for a second; another one is asked on a connection that is at hand, and takes its
// time; meanwhile the entry finds out whether the VM of the first one still answers. It can't make a connection for that, takes this for
// the VM's silence, and gives the first target up for the other one, which then breaks off.
//
// The evidence: the same with one descriptor more, so that the question is answered, ends whole from the first target; and the
// line of the cut answer says that its target was given up.

// TestWhatThisEntryLacksSaysNothingOfATarget has connections fail for reasons of this end alone, and for one of the other.
func TestWhatThisEntryLacksSaysNothingOfATarget(t *testing.T) {
	cases := []struct {
		name string
		err  error
		cut  bool
	}{
		{"no descriptor left for the process", syscall.EMFILE, false},
		{"no descriptor left for the VM", syscall.ENFILE, false},
		{"no memory", syscall.ENOMEM, false},
		{"no room in buffers", syscall.ENOBUFS, false},
		{"no port left", syscall.EADDRNOTAVAIL, false},
		{"nobody listens", syscall.ECONNREFUSED, true},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// An earlier call leaves a connection to both targets.
				earlier := func(then, before engine) engine {
					return func(c net.Conn, r *http.Request) bool {
						if r.Header.Get("Id") == "earlier" {
							return before(c, r)
						}
						return then(c, r)
					}
				}
				b := newBed(t, freely{}, earlier(pausesMidStream(3*time.Second), says(503, "Not-Run: 1\r\n", "")), earlier(breaksLater, says(200, "", "yes")))
				b.call(context.Background(), "/safe/a", map[string]string{"Id": "earlier"})
				time.AfterFunc(500*time.Millisecond, func() { b.dialer.set(0, s.err) })
				got := b.call(context.Background(), "/resume/a", nil)
				if cut := !got.whole; cut != s.cut {
					t.Errorf("status %d, whole %t after %v, body %q", got.status, got.whole, got.took, got.body)
				}
			})
		})
	}
}

// serveCallers has a server with real connections of callers before the controller.
func (b *bed) serveCallers(shares descriptors.Shares) *ingress.Server {
	handlers := ingress.Handlers{Serve: b.controller, TurnAway: http.HandlerFunc(b.controller.TurnAway), Context: b.controller.Context()}
	server := ingress.NewServer(commontest.New(b.reach), handlers, shares)
	listener, err := b.reach.Listen(serverAt)
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

// TestConnectionsOfAnswersUnderWay: what changes for callers' connections, limits, a crowd beyond the share, a stop, leaves
// those alone on which an answer is under way.
func TestConnectionsOfAnswersUnderWay(t *testing.T) {
	cases := []struct {
		name string
		do   func(b *bed, s *ingress.Server)
	}{
		{"limits are lowered", func(_ *bed, s *ingress.Server) {
			s.SetLimits(routing.Limits{HeaderBytes: 1, HeaderTime: 1, IdleTime: 1, BodyBytes: 1})
		}},
		{"limits are changed often", func(_ *bed, s *ingress.Server) {
			for n := range 20 {
				s.SetLimits(routing.Limits{HeaderBytes: 4096, HeaderTime: 1000, IdleTime: clock.Millis(n + 1)})
			}
		}},
		{"a crowd comes", func(b *bed, _ *ingress.Server) {
			for range 20 {
				c := dial(b.t, b.reach)
				go func() { askFor(c, "/safe/b") }()
			}
		}},
		{"the entry is stopped", func(b *bed, s *ingress.Server) {
			b.controller.Leave(ingress.Stop{Narrows: b.clock.Now(), Ends: b.clock.Now() + 8*clock.Second})
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
					b := newBed(t, freely{}, pausesAt(at, 3*time.Second))
					server := b.serveCallers(descriptors.Shares{Callers: 2, Turned: 2, Extra: 1})
					time.AfterFunc(300*time.Millisecond, func() { s.do(b, server) })
					if got := bodyOn(dial(t, b.reach), path); got != completeAnswer(at, path) {
						t.Errorf("%d bytes", len(got))
					}
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}

// bodyOn makes a request on a connection, and returns the body of its answer if that is whole.
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
