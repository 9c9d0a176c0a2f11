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
