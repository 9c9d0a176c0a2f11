package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/buffers"
	"quaydock/pkg/ingress"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// eventBytes and eventInterval are the size and the interval of the events of a pacedTarget. In a tenth of a second they
// fill the buffers of the connections.
const (
	eventBytes    = 16 << 10
	eventInterval = 10 * time.Millisecond
)

// pacedTarget streams events at its own pace, and records for each of its answers how long it took.
type pacedTarget struct {
	events  int // of a whole stream
	cut     int // the event before which the stream is broken off; 0 for none
	mu      sync.Mutex
	answers []time.Duration // from the request to the end of the answer
	broken  []time.Duration // from the request to the end of the connection, of the others
}

// script is the target's scriptedTarget.
func (p *pacedTarget) script(c net.Conn, r *http.Request) bool {
	began := time.Now()
	whole := p.stream(c, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole {
		p.answers = append(p.answers, time.Since(began))
	} else {
		p.broken = append(p.broken, time.Since(began))
	}
	return whole
}

// stream streams one answer, and reports whether it is whole.
func (p *pacedTarget) stream(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	for n := last + 1; n <= p.events; n++ {
		if n == p.cut {
			return false
		}
		text := bigEvent(n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(eventInterval)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// took returns how long the answers of the target took.
func (p *pacedTarget) took() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.answers)
}

// bigEvent returns an event of eventBytes with a number.
func bigEvent(n int) string {
	head := fmt.Sprintf("id: %d\ndata: ", n)
	return head + strings.Repeat(string(rune('a'+n%26)), eventBytes-len(head)-2) + "\n\n"
}

// bigEvents returns the first n events of a pacedTarget.
func bigEvents(n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		text.WriteString(bigEvent(i))
	}
	return text.String()
}

// callAndPause makes one request, pauses before it reads the answer, and then reads it whole.
func (b *testbed) callAndPause(path string, pause time.Duration, header map[string]string) reply {
	c, err := b.network.Dial(context.Background(), entryAt)
	if err != nil {
		b.t.Error(err)
		return reply{}
	}
	defer func() { _ = c.Close() }()
	began := time.Now()
	extra := ""
	for name, value := range header {
		extra += name + ": " + value + "\r\n"
	}
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nKey: key\r\nId: r1\r\n%sContent-Length: 8\r\n\r\nquestion", path, extra)
	time.Sleep(pause)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{took: time.Since(began)}
	}
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), complete: err == nil, took: time.Since(began)}
}

// TestPausingCallerDoesNotHoldUpItsTarget guards against answers that lie unread at a target while callers pause.
func TestPausingCallerDoesNotHoldUpItsTarget(t *testing.T) {
	const events = 40
	for _, path := range []string{"/stream/a", "/resume/a"} {
		for _, pause := range []time.Duration{time.Second, 4 * time.Second} {
			for _, callers := range []int{1, 60} {
				t.Run(fmt.Sprintf("%s, %v, %d callers", path, pause, callers), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						target := &pacedTarget{events: events}
						b := newTestbed(t, fakeMeter{}, target.script)
						var all sync.WaitGroup
						for range callers {
							all.Go(func() {
								got := b.callAndPause(path, pause, nil)
								if got.status != http.StatusOK || !got.complete || got.body != bigEvents(events) {
									t.Errorf("status %d, complete %t, %d bytes", got.status, got.complete, len(got.body))
								}
							})
						}
						time.Sleep(pause - time.Millisecond)
						took := target.took()
						if len(took) != callers || slices.Max(took) > events*eventInterval+5*time.Millisecond {
							t.Errorf("%d answers were read while the callers paused, after %v", len(took), took)
						}
						b.checkOutcomes(callers, "t1 Served")
						all.Wait()
					})
				})
			}
		}
	}
}

// checkOutcomes checks that so many assignments have ended, all with the same outcome.
func (b *testbed) checkOutcomes(n int, outcome string) {
	b.t.Helper()
	b.scheduler.mu.Lock()
	defer b.scheduler.mu.Unlock()
	if want := slices.Repeat([]string{outcome}, n); !slices.Equal(b.scheduler.outcomes, want) {
		b.t.Errorf("outcomes %v, want %d of %s", b.scheduler.outcomes, n, outcome)
	}
}

// TestPausingCallerGetsItsWholePlainAnswer covers answers that are no streams, read at once or in part.
func TestPausingCallerGetsItsWholePlainAnswer(t *testing.T) {
	for _, length := range []int{100, 5000, 300_000, 1 << 20, 1<<20 + 1, 3 << 20} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := strings.Repeat("0123456789", length/10+1)[:length]
				b := newTestbed(t, fakeMeter{}, replies(200, "", body))
				var got reply
				var call sync.WaitGroup
				call.Go(func() { got = b.callAndPause("/safe/a", 4*time.Second, nil) })
				time.Sleep(time.Second)
				if length <= 2<<20 {
					b.checkOutcomes(1, "t1 Served")
				}
				call.Wait()
				if got.status != http.StatusOK || !got.complete || got.body != body {
					t.Errorf("status %d, complete %t, %d bytes", got.status, got.complete, len(got.body))
				}
			})
		})
	}
}

// TestPauseOfCallerIsNotItsTargets guards against a caller's pause that counts as a gap of its target, also where the
// limit of the buffer makes the target wait.
func TestPauseOfCallerIsNotItsTargets(t *testing.T) {
	for _, limit := range []int{1 << 20, 64 << 10} {
		t.Run(strconv.Itoa(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target, other := &pacedTarget{events: 40}, &pacedTarget{events: 40}
				b := newTestbedWithin(t, buffers.Limits{Total: 1 << 24, Exchange: limit, Bodies: 1 << 20}, fakeMeter{}, target.script, other.script)
				b.updateRoute("resume", func(r *routing.Route) { r.EventGap = 100 })
				if got := b.callAndPause("/resume/a", 4*time.Second, nil); !got.complete || got.body != bigEvents(40) {
					t.Errorf("complete %t, %d bytes", got.complete, len(got.body))
				}
				synctest.Wait()
				b.checkOutcomes(1, "t1 Served")
				if gap := b.scheduler.stats[0].LongestGap; gap > 2*10 {
					t.Errorf("the longest gap is %d ms", gap)
				}
				if late := b.metrics.Requests.Get("answered_late"); late != nil {
					t.Errorf("%v answers are late", late)
				}
				if len(b.arrived()) != 1 || b.logged("another target was looked for, as one was silent") > 0 {
					t.Errorf("%d arrivals, and a search", len(b.arrived()))
				}
			})
		})
	}
}

// updateRoute changes a route of the testbed.
func (b *testbed) updateRoute(name string, change func(*routing.Route)) {
	for i, r := range b.routes {
		if r.Name == name {
			changed := *r
			change(&changed)
			b.routes[i] = &changed
		}
	}
	b.configure(2)
}

// logged returns how many lines with a message were logged.
func (b *testbed) logged(message string) int {
	n := 0
	for _, line := range b.logs.AllEntries() {
		if line.Message == message {
			n++
		}
	}
	return n
}

// TestOnlySlowestReadersAreBrokenOff has hundreds of callers that pause for 1 s or 4 s, or read nothing at all, so that
// their answers don't fit into the account.
func TestOnlySlowestReadersAreBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stuck, pausing, events = 100, 200, 10
		limits := buffers.LimitsFor(112)
		target := &pacedTarget{events: events}
		b := newTestbedWithin(t, limits, fakeMeter{}, target.script)
		var mu sync.Mutex
		broken, whole, late := 0, 0, 0
		call := func(pause time.Duration) {
			got := b.callAndPause("/stream/a", pause, nil)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.complete && got.body == bigEvents(events) && pause > 5*time.Second:
				late++
			case got.complete && got.body == bigEvents(events):
				whole++
			case got.complete:
				t.Error("an answer that was broken off looks whole")
			case pause < 5*time.Second:
				t.Errorf("the answer of a caller that paused for %v is broken off", pause)
			default:
				broken++
			}
		}
		var all sync.WaitGroup
		for range stuck {
			all.Go(func() { call(9 * time.Second) }) // longer than the route's time
		}
		time.Sleep(time.Second)
		for i := range pausing {
			all.Go(func() { call([]time.Duration{time.Second, 3 * time.Second}[i%2]) })
			time.Sleep(5 * time.Millisecond)
			if held := b.buffers.Usage(); held.Answers+held.Bodies > limits.Total {
				t.Fatalf("%+v is held, more than %d", held, limits.Total)
			}
		}
		all.Wait()
		synctest.Wait()
		if whole != pausing || broken+late != stuck || broken == 0 || late == 0 {
			t.Errorf("%d whole, %d late, %d broken off", whole, late, broken)
		}
		if n := b.metrics.Requests.Get("SlowReader"); n == nil || n.String() != strconv.Itoa(broken) {
			t.Errorf("%v readers are broken off, want %d", n, broken)
		}
	})
}

// TestPlainAnswersCountForTheirCallers has callers that never read a long plain answer beside streams whose callers only
// pause, and guards against these being broken off in place of those.
func TestPlainAnswersCountForTheirCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stuck, pausing, events = 12, 60, 10
		target, plain := &pacedTarget{events: events}, replies(200, "", strings.Repeat("a", 1_000_000))
		b := newTestbedWithin(t, buffers.Limits{Total: 16 << 20, Exchange: 1 << 20, Bodies: 1 << 20}, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			if strings.HasPrefix(r.URL.Path, "/safe") {
				return plain(c, r)
			}
			return target.script(c, r)
		})
		var all sync.WaitGroup
		for range stuck {
			all.Go(func() { b.callAndPause("/safe/a", 4*time.Second, nil) })
		}
		time.Sleep(time.Second)
		for range pausing {
			all.Go(func() {
				if got := b.callAndPause("/stream/a", time.Second, nil); !got.complete || got.body != bigEvents(events) {
					t.Errorf("a caller that paused has %d bytes, complete %t", len(got.body), got.complete)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		if u := b.buffers.Usage(); u.Answers > 16<<20 || u.Readers < pausing {
			t.Errorf("%+v is held", u)
		}
		all.Wait()
	})
}

// TestReaderThatIsBrokenOffIsLoggedAndCounted guards against answers that end in the middle without a trace of why.
func TestReaderThatIsBrokenOffIsLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &pacedTarget{events: 60}
		b := newTestbedWithin(t, buffers.Limits{Total: 256 << 10, Exchange: 1 << 20, Bodies: 1 << 10}, fakeMeter{}, target.script)
		if got := b.callAndPause("/resume/a", 3*time.Second, nil); got.complete {
			t.Error("the answer is complete")
		}
		synctest.Wait()
		if len(b.arrived()) != 1 || len(target.broken) != 1 || target.broken[0] > time.Second {
			t.Errorf("%d arrivals, broken off at the target after %v", len(b.arrived()), target.broken)
		}
		b.checkOutcomes(1, "t1 Abandoned")
		for _, line := range b.logs.AllEntries() {
			if line.Message != "an answer that had begun was broken off" {
				continue
			}
			if line.Data["ended_by"] != "SlowReader" || line.Data["request"] != "r1" || line.Data["held_bytes"].(int) < 128<<10 || line.Data["all_held_bytes"].(int) <= 256<<10 || line.Data["untaken_ms"].(int64) < 100 {
				t.Errorf("the line is %v", line.Data)
			}
		}
		if n := b.logged("an answer that had begun was broken off"); n != 1 {
			t.Errorf("%d lines", n)
		}
		var text strings.Builder
		b.metrics.Prometheus.ServeHTTP(newTextResponse(&text), nil)
		if !strings.Contains(text.String(), `quaydock_answers_broken_off_total{by="SlowReader"} 1`) {
			t.Error("it is not counted")
		}
	})
}

// TestReaderOfPlainAnswerThatIsBrokenOffIsNotItsTargets guards against a target that is blamed for a caller that does
// not read a long answer.
func TestReaderOfPlainAnswerThatIsBrokenOffIsNotItsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := buffers.Limits{Total: 3 << 20, Exchange: 4 << 20, Bodies: 1 << 10}
		b := newTestbedWithin(t, limits, fakeMeter{}, replies(200, "", strings.Repeat("a", 6<<20)))
		if got := b.callAndPause("/safe/a", 3*time.Second, nil); got.complete {
			t.Error("the answer is complete")
		}
		synctest.Wait()
		b.checkOutcomes(1, "t1 Abandoned")
		if cause := b.causeOf(); cause != "SlowReader" {
			t.Errorf("cause %s", cause)
		}
	})
}

// textResponse is an http.ResponseWriter into a text.
type textResponse struct {
	io.Writer
	header http.Header
}

func newTextResponse(to io.Writer) textResponse { return textResponse{to, make(http.Header)} }

func (r textResponse) Header() http.Header { return r.header }
func (textResponse) WriteHeader(int)       {}

// TestCallerThatLeavesWithBufferedAnswerEndsExchange guards against targets that work on for callers who have left.
func TestCallerThatLeavesWithBufferedAnswerEndsExchange(t *testing.T) {
	for _, limit := range []int{1 << 20, 64 << 10} { // also while the target waits for room
		t.Run(strconv.Itoa(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &pacedTarget{events: 1000}
				b := newTestbedWithin(t, buffers.Limits{Total: 1 << 24, Exchange: limit, Bodies: 1 << 20}, fakeMeter{}, target.script)
				c, _ := b.network.Dial(context.Background(), entryAt)
				_, _ = io.WriteString(c, "POST /resume/a HTTP/1.1\r\nHost: h\r\nKey: key\r\nId: r1\r\nContent-Length: 8\r\n\r\nquestion")
				time.Sleep(500 * time.Millisecond)
				if b.buffers.Usage().Readers != 1 {
					t.Error("nothing is buffered")
				}
				_ = c.Close()
				time.Sleep(2 * eventInterval)
				if target.mu.Lock(); len(target.broken) != 1 {
					t.Error("the target still works on the request")
				}
				target.mu.Unlock()
				if cause := b.causeOf(); cause != "Left" {
					t.Errorf("cause %s", cause)
				}
				b.checkOutcomes(1, "t1 Abandoned")
			})
		})
	}
}

// TestFailedWriteEndsExchangeWithSilentTarget guards against a target that works on, in silence, for a caller who has
// left. net/http no longer notices that itself after a further byte of the caller.
func TestFailedWriteEndsExchangeWithSilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Duration, 1)
		b := newTestbed(t, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			text := strings.Repeat("data: a\n\n", 1<<15) // more than the connection takes
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Id"), len(text), text)
			began := time.Now()
			_, _ = c.Read(make([]byte, 1))
			ended <- time.Since(began)
			return false
		})
		c, _ := b.network.Dial(context.Background(), entryAt)
		_, _ = io.WriteString(c, "POST /stream/a HTTP/1.1\r\nHost: h\r\nKey: key\r\nId: r1\r\nContent-Length: 8\r\n\r\nquestion")
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(c, "\r\n")
		time.Sleep(time.Millisecond)
		_ = c.Close()
		if after := <-ended; after > time.Second {
			t.Errorf("the exchange ended after %v", after)
		}
		synctest.Wait()
		if cause := b.causeOf(); cause != "Left" {
			t.Errorf("cause %s", cause)
		}
	})
}

// TestStreamGoesOnBehindBufferedEvents has a target break off while the caller pauses.
func TestStreamGoesOnBehindBufferedEvents(t *testing.T) {
	cases := []struct {
		path   string
		others []scriptedTarget
		want   int // events that the caller gets
		whole  bool
	}{
		{"/resume/a", []scriptedTarget{(&pacedTarget{events: 40}).script}, 40, true},
		{"/resume/a", nil, 29, false},
		{"/stream/a", []scriptedTarget{(&pacedTarget{events: 40}).script}, 29, false},
	}
	for _, s := range cases {
		t.Run(fmt.Sprintf("%s, %d others", s.path, len(s.others)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &pacedTarget{events: 40, cut: 30}
				b := newTestbed(t, fakeMeter{}, append([]scriptedTarget{target.script}, s.others...)...)
				got := b.callAndPause(s.path, 2*time.Second, nil)
				if got.complete != s.whole || got.body != bigEvents(s.want) {
					t.Errorf("complete %t, %d bytes, want %t, %d", got.complete, len(got.body), s.whole, s.want*eventBytes)
				}
				if arrivals := b.arrived(); len(arrivals) != 1+len(s.others) && s.whole {
					t.Errorf("%d arrivals", len(arrivals))
				}
			})
		})
	}
}

// TestEndsWhileCallerPauses covers the ends of a request whose answer its caller has not taken yet. With the large limit
// the target has completed it.
func TestEndsWhileCallerPauses(t *testing.T) {
	const large, small = 1 << 20, 64 << 10
	cases := []struct {
		name   string
		limit  int // of the buffer
		header map[string]string
		pause  time.Duration
		during func(*testbed) // 600 ms after the start
		ended  time.Duration  // when the request has certainly ended at the entry
		cause  string         // "none" for a whole answer
	}{
		{"nothing happens", large, nil, 2 * time.Second, nil, 2100 * time.Millisecond, "none"},
		{"the entry drains", large, nil, 2 * time.Second, func(b *testbed) {
			b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now(), EndsAt: b.clock.Now() + 3000})
		}, 2100 * time.Millisecond, "none"},
		{"the entry ends", large, nil, 2 * time.Second, func(b *testbed) { b.controller.End() }, 700 * time.Millisecond, "Leaving"},
		{"the entry ends after the deadline", large, map[string]string{"Wait": "560"}, 2 * time.Second, func(b *testbed) { b.controller.End() }, 700 * time.Millisecond, "Deadline"},
		{"the deadline passes", large, map[string]string{"Wait": "1000"}, 3 * time.Second, nil, 3100 * time.Millisecond, "none"},
		{"the deadline of the route passes", large, nil, 9 * time.Second, nil, 9100 * time.Millisecond, "none"},
		{"the buffer is full, and the entry ends", small, nil, 2 * time.Second, func(b *testbed) { b.controller.End() }, 700 * time.Millisecond, "Leaving"},
		{"the buffer is full, and the deadline passes", small, map[string]string{"Wait": "1000"}, 3 * time.Second, nil, 1100 * time.Millisecond, "Deadline"},
		{"the buffer is full, and the deadline of the route passes", small, nil, 9 * time.Second, nil, 5100 * time.Millisecond, "Deadline"},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &pacedTarget{events: 40}
				b := newTestbedWithin(t, buffers.Limits{Total: 1 << 24, Exchange: s.limit, Bodies: 1 << 20}, fakeMeter{}, target.script)
				if s.during != nil {
					time.AfterFunc(600*time.Millisecond, func() { s.during(b) })
				}
				time.AfterFunc(550*time.Millisecond, func() {
					if b.controller.Running() != 1 {
						t.Error("the request has ended although its caller has not got its answer")
					}
				})
				time.AfterFunc(s.ended, func() {
					if n := b.controller.Running(); n != 0 {
						t.Errorf("%d requests are still running after %v", n, s.ended)
					}
				})
				got := b.callAndPause("/stream/a", s.pause, s.header)
				time.Sleep(6 * time.Second)
				if want := s.cause == "none"; got.complete != want || want && got.body != bigEvents(40) {
					t.Errorf("complete %t, %d bytes", got.complete, len(got.body))
				}
				if cause := b.causeOf(); cause != s.cause {
					t.Errorf("cause %s, want %s", cause, s.cause)
				}
				b.checkOutcomes(1, map[int]string{large: "t1 Served", small: "t1 Abandoned"}[s.limit])
			})
		})
	}
}

// TestBodyIsRefusedWhileTooMuchIsHeld has targets that do not answer, so that the bodies of requests are held.
func TestBodyIsRefusedWhileTooMuchIsHeld(t *testing.T) {
	for _, length := range []string{"Content-Length: 4096\r\n\r\n%s", "Transfer-Encoding: chunked\r\n\r\n1000\r\n%s\r\n0\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			const room = 10
			b := newTestbedWithin(t, buffers.Limits{Total: 1 << 20, Exchange: 1 << 16, Bodies: room * 2 * 4096}, fakeMeter{}, delayed(time.Second, replies(200, "", "yes")))
			statuses := make(map[int]int)
			var mu sync.Mutex
			var all sync.WaitGroup
			for range 3 * room {
				all.Go(func() {
					c, _ := b.network.Dial(context.Background(), entryAt)
					defer func() { _ = c.Close() }()
					_, _ = fmt.Fprintf(c, "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nKey: key\r\nId: r1\r\n"+length, strings.Repeat("a", 4096))
					response, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						t.Error(err)
						return
					}
					text, _ := io.ReadAll(response.Body)
					mu.Lock()
					defer mu.Unlock()
					statuses[response.StatusCode]++
					if response.StatusCode == http.StatusServiceUnavailable && (string(text) != "BuffersFull\n" || response.Header.Get("Retry-After") == "") {
						t.Errorf("%q, %v", text, response.Header)
					}
				})
			}
			all.Wait()
			if statuses[200] < room || statuses[200] > 2*room || statuses[200]+statuses[503] != 3*room || len(b.arrived()) != statuses[200] {
				t.Errorf("%v, %d arrivals", statuses, len(b.arrived()))
			}
		})
	}
}

// TestStatedLengthsTakeNoRoom guards against callers that send only heads and so have the bodies of others refused, and
// against a body that can't fit being told to come back.
func TestStatedLengthsTakeNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbedWithin(t, buffers.Limits{Total: 1 << 20, Exchange: 1 << 16, Bodies: 200_000}, fakeMeter{}, replies(200, "", "yes"))
		for range 10 {
			c, _ := b.network.Dial(context.Background(), entryAt)
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nKey: key\r\nId: r1\r\nContent-Length: 50000\r\n\r\n")
		}
		synctest.Wait()
		if got := b.callAndPause("/safe/a", 0, nil); got.status != http.StatusOK {
			t.Errorf("status %d beside heads", got.status)
		}
		c, _ := b.network.Dial(context.Background(), entryAt)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nKey: key\r\nId: r1\r\nContent-Length: 9223372036854775807\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("%v, %v", response, err)
		}
	})
}

// TestStatsOfKeepingCaller guards against gaps that vanish with the buffer.
func TestStatsOfKeepingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, pausesMidStream(600*time.Millisecond))
		b.call(context.Background(), "/stream/a", nil)
		if want := (planner.StreamStats{Events: 10, LongestGap: 620}); len(b.scheduler.stats) != 1 || b.scheduler.stats[0] != want {
			t.Errorf("%+v, want %+v", b.scheduler.stats, want)
		}
	})
}
