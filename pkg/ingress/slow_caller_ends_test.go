package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/buffers"
	"quaydock/pkg/ingress"
	"quaydock/pkg/network"
)

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

// lastEventWaits streams events until the entry has no room for one, and then sends the rest of the answer.
func lastEventWaits(b **testbed, limit int, rest string) (script scriptedTarget, text func() string) {
	sent := 0
	script = func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for (*b).buffers.Usage().Answers+4<<10 <= limit {
			sent++
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", eventBytes, bigEvent(sent))
			time.Sleep(eventInterval)
		}
		_, _ = io.WriteString(c, rest)
		return rest != ""
	}
	return script, func() string { return bigEvents(sent) }
}

// TestLastEventThatWaitsForRoomIsNotCut guards against a deadline that cuts an answer whose target has completed it, and
// against the target's slot that stays taken, where the last event is known to be the last one only while it waits.
func TestLastEventThatWaitsForRoomIsNotCut(t *testing.T) {
	const limit = 64 << 10
	cases := []struct {
		name, rest, more string // more is behind the last event
		whole            bool
	}{
		{"the stream ends", "0\r\n\r\n", "", true},
		{"a comment ends the stream", "6\r\n: end\n\r\n0\r\n\r\n", ": end\n", true},
		{"the stream is torn", "6\r\ndata: \r\n0\r\n\r\n", "", false},
		{"the target leaves", "", "", false},
	}
	for _, path := range []string{"/stream/a", "/resume/a"} {
		for _, s := range cases {
			t.Run(path+", "+s.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var b *testbed
					script, text := lastEventWaits(&b, limit, s.rest)
					b = newTestbedWithin(t, buffers.Limits{Total: 1 << 24, Exchange: limit, Bodies: 1 << 20}, fakeMeter{}, script)
					time.AfterFunc(900*time.Millisecond, func() {
						if s.whole {
							b.checkOutcomes(1, "t1 Served")
						}
					})
					got := b.callAndPause(path, 3*time.Second, map[string]string{"Wait": "1000"})
					if want := text() + s.more; got.complete != s.whole || s.whole && got.body != want || !strings.HasPrefix(want, got.body) {
						t.Errorf("complete %t, %d bytes of %d", got.complete, len(got.body), len(want))
					}
					synctest.Wait()
					if cause := b.causeOf(); (cause == "none") != s.whole {
						t.Errorf("cause %s", cause)
					}
				})
			})
		}
	}
}

// TestRestOfPlainAnswerThatWaitsForRoomIsNotCut guards against the same for plain answers that are not read whole before
// they are passed on.
func TestRestOfPlainAnswerThatWaitsForRoomIsNotCut(t *testing.T) {
	const limit, length = 64 << 10, 1 << 20
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprintf("whole %t", whole), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := strings.Repeat("a", length)
				b := newTestbedWithin(t, buffers.Limits{Total: 1 << 24, Exchange: limit, Bodies: 1 << 20}, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Id"), length, body)
					time.Sleep(eventInterval)
					if whole {
						_, _ = io.WriteString(c, "0\r\n\r\n")
					}
					return whole
				})
				time.AfterFunc(900*time.Millisecond, func() {
					if whole {
						b.checkOutcomes(1, "t1 Served")
					}
				})
				got := b.callAndPause("/safe/a", 3*time.Second, map[string]string{"Wait": "1000"})
				if got.complete != whole || whole && got.body != body {
					t.Errorf("complete %t, %d bytes", got.complete, len(got.body))
				}
				synctest.Wait()
				if cause := b.causeOf(); (cause == "none") != whole {
					t.Errorf("cause %s", cause)
				}
			})
		})
	}
}

// TestEndBehindLastEventThatWaitsForRoomIsNotCut guards against a deadline that cuts a stream whose end was read together
// with what waits for room: comments behind the last event.
func TestEndBehindLastEventThatWaitsForRoomIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text := "data: a\n\n:" + strings.Repeat(" ", 256<<10) + "\n"
		limits := buffers.Limits{Total: 1 << 24, Exchange: 64 << 10, Bodies: 1 << 20}
		b := newTestbedWithin(t, limits, fakeMeter{}, answerWith(network.FramedByLength, "text/event-stream; charset=utf-8", text))
		time.AfterFunc(900*time.Millisecond, func() { b.checkOutcomes(1, "t1 Served") })
		if got := b.callAndPause("/stream/a", 3*time.Second, map[string]string{"Wait": "1000"}); !got.complete || got.body != text {
			t.Errorf("complete %t, %d bytes", got.complete, len(got.body))
		}
	})
}

// TestBodyIsReleasedOnceTargetIsDone guards against bodies that stay counted while callers take their time.
func TestBodyIsReleasedOnceTargetIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, (&pacedTarget{events: 40}).script)
		time.AfterFunc(200*time.Millisecond, func() {
			if b.buffers.Usage().Bodies == 0 {
				t.Error("the body is not counted while its target works")
			}
		})
		time.AfterFunc(900*time.Millisecond, func() {
			if held := b.buffers.Usage(); held.Bodies != 0 || held.Readers != 1 {
				t.Errorf("%+v is held while only the caller is waited for", held)
			}
		})
		if got := b.callAndPause("/stream/a", 2*time.Second, nil); !got.complete || got.body != bigEvents(40) {
			t.Errorf("complete %t, %d bytes", got.complete, len(got.body))
		}
	})
}

// TestRequestRunsUntilCallerHasLastBytes guards against a request that ends while net/http still holds the end of its
// answer: a drain would not wait for it.
func TestRequestRunsUntilCallerHasLastBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const inConnection = 64 << 10            // bytes that a connection in memory takes
		body := strings.Repeat("a", 1<<20+4<<10) // the last 4 KiB fit into the buffer of net/http
		b := newTestbed(t, fakeMeter{}, replies(200, "", body))
		c, err := b.network.Dial(context.Background(), entryAt)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "POST /safe/a HTTP/1.1\r\nHost: h\r\nKey: key\r\nId: r1\r\nContent-Length: 8\r\n\r\nquestion")
		from := bufio.NewReaderSize(c, 16)
		response, err := http.ReadResponse(from, nil)
		if err != nil {
			t.Fatal(err)
		}
		left := len(body)
		for ; left > 0; left -= 1 << 10 {
			if synctest.Wait(); b.controller.Running() == 0 {
				break
			}
			if _, err := io.ReadFull(response.Body, make([]byte, 1<<10)); err != nil {
				t.Fatal(err)
			}
		}
		if left > inConnection {
			t.Errorf("the request has ended, and %d bytes are not taken", left)
		}
		rest, err := io.ReadAll(response.Body)
		if err != nil || len(rest) != left {
			t.Errorf("the rest has %d bytes, %v", len(rest), err)
		}
	})
}
