package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/buffers"
)

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
