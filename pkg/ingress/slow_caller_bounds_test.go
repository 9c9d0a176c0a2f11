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
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/buffers"
)

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

// TestPlainAnswerThatCannotFitBreaksNobodyOff has a caller pause while another one gets a plain answer that would not fit
// into the account even alone.
func TestPlainAnswerThatCannotFitBreaksNobodyOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events, length = 10, 1 << 20
		// A plain answer that grows by a quarter exceeds the total before it has taken the room of two buffers.
		limits := buffers.Limits{Total: 550_000, Exchange: 16 << 10, Bodies: 16 << 10}
		target, plain := &pacedTarget{events: events}, replies(200, "", strings.Repeat("a", length))
		b := newTestbedWithin(t, limits, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			if strings.HasPrefix(r.URL.Path, "/safe") {
				return plain(c, r)
			}
			return target.script(c, r)
		})
		var all sync.WaitGroup
		all.Go(func() {
			if got := b.callAndPause("/stream/a", 2*time.Second, nil); !got.complete || got.body != bigEvents(events) {
				t.Errorf("the caller that paused has %d bytes, complete %t", len(got.body), got.complete)
			}
		})
		time.Sleep(time.Second)
		if got := b.callAndPause("/safe/a", 0, nil); !got.complete || len(got.body) != length {
			t.Errorf("%d bytes of the plain answer, complete %t", len(got.body), got.complete)
		}
		if u := b.buffers.Usage(); u.Readers != 1 {
			t.Errorf("%+v is held", u)
		}
		all.Wait()
	})
}
