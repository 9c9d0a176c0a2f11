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

	"quaydock/pkg/clock"
	"quaydock/pkg/ingress"
)

// TestAnswers guards against the wrong final answer to what targets do: a retry of a request that may run only once, no
// retry of one that may be repeated, or a broken stream that looks complete.
func TestAnswers(t *testing.T) {
	yes := replies(200, "", "yes")
	failing := replies(500, "", "no")
	full := replies(503, "Not-Run: 1\r\n", "")
	moved := replies(421, "", "")
	encoded := replies(200, "Content-Encoding: gzip\r\n", "zip")
	complete := strings.Join(events(10), "")
	scenarios := []struct {
		name     string
		path     string
		engines  []scriptedTarget
		status   int
		body     string // compared if the status is 200
		complete bool
		arrivals int
	}{
		{"successful call", "/unsafe/a", []scriptedTarget{yes}, 200, "yes", true, 1},
		{"target's own failure is returned", "/unsafe/a", []scriptedTarget{failing, yes}, 500, "", true, 1},
		{"failed safe call is retried on another target", "/safe/a", []scriptedTarget{failing, yes}, 200, "yes", true, 2},
		{"failed safe call is not retried beyond its attempts", "/safe/a", []scriptedTarget{failing, failing, yes}, 500, "", true, 2},
		{"full target", "/unsafe/a", []scriptedTarget{full, yes}, 200, "yes", true, 2},
		{"other target at the address", "/unsafe/a", []scriptedTarget{moved, yes}, 200, "yes", true, 2},
		{"no listener at the address", "/unsafe/a", []scriptedTarget{nil, yes}, 200, "yes", true, 1},
		{"all targets full, refused as not run", "/unsafe/a", []scriptedTarget{full}, 503, "", true, 1},
		{"unsafe call that may have run is not retried", "/unsafe/a", []scriptedTarget{closesUnanswered, yes}, 502, "", true, 1},
		{"safe call that may have run is retried", "/safe/a", []scriptedTarget{closesUnanswered, yes}, 200, "yes", true, 2},
		{"answer with a content encoding that was not asked for", "/unsafe/a", []scriptedTarget{encoded, yes}, 502, "", true, 1},
		{"stream", "/stream/a", []scriptedTarget{streams(0)}, 200, complete, true, 1},
		{"broken stream does not look complete", "/stream/a", []scriptedTarget{streams(4), streams(0)}, 200, strings.Join(events(3), ""), false, 1},
		{"resumable stream resumes on another target", "/resume/a", []scriptedTarget{streams(4), streams(0)}, 200, complete, true, 2},
		{"resumable stream that broke before its first event", "/resume/a", []scriptedTarget{streams(1), streams(0)}, 200, complete, true, 2},
		{"resumable stream that breaks again", "/resume/a", []scriptedTarget{streams(4), streams(7), streams(0)}, 200, strings.Join(events(6), ""), false, 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, s.engines...)
				got := b.call(context.Background(), s.path, nil)
				if got.status != s.status || got.complete != s.complete {
					t.Errorf("status %d, complete %t", got.status, got.complete)
				}
				if s.status == 200 && got.body != s.body {
					t.Errorf("body %q", got.body)
				}
				if n := len(b.arrived()); n != s.arrivals {
					t.Errorf("%d arrivals at targets, want %d", n, s.arrivals)
				}
			})
		})
	}
}

// events returns the events of a stream from the first to the one numbered last.
func events(last int) []string {
	var list []string
	for n := 1; n <= last; n++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n))
	}
	return list
}

// TestResumedAnswerKeepsFirstHeaders: a stream goes on at a second target after its third event. The caller keeps the
// seal of the first target's answer, and the second target is told after which event to go on.
func TestResumedAnswerKeepsFirstHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, streams(4), streams(0))
		got := b.call(context.Background(), "/resume/a", nil)
		if got.header.Get("Seal") != "s4" {
			t.Errorf("seal %q", got.header.Get("Seal"))
		}
		if last := b.arrived()[1].header.Get("Last"); last != "3" {
			t.Errorf("resumed after %q", last)
		}
	})
}

// TestRefusals guards against refusals with the wrong status, without the time to come back that they need, or after
// the request has reached a target.
func TestRefusals(t *testing.T) {
	// Longer than the grace of keys (0.85 of 5 s) and than the 2.5 s up to which "not found" may be answered.
	outdate := func(b *testbed) { time.Sleep(4400 * time.Millisecond) }
	scenarios := []struct {
		name    string
		path    string
		header  map[string]string
		prepare func(b *testbed)
		status  int
		retry   bool // the answer has a Retry-After
	}{
		{"unknown route", "/none/a", nil, nil, 404, false},
		{"unknown route, outdated configuration", "/none/a", nil, outdate, 503, true},
		{"unknown key", "/unsafe/a", map[string]string{"Key": "wrong"}, nil, 401, false},
		{"known key, outdated configuration", "/unsafe/a", nil, outdate, 503, true},
		{"route without keys, outdated configuration", "/open/a", map[string]string{"Key": ""}, outdate, 200, false},
		{"account over its allowance", "/unsafe/a", map[string]string{"Key": "fullkey"}, nil, 429, true},
		{"overloaded", "/unsafe/a", nil, func(b *testbed) { b.scheduler.refuse = true }, 503, true},
		{"no target", "/unsafe/a", nil, func(b *testbed) { b.targets = nil }, 503, true},
		{"not placed before the deadline", "/unsafe/a", map[string]string{"Wait": "800"}, func(b *testbed) { b.scheduler.delay = time.Hour }, 503, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{"full": true}, replies(200, "", "yes"))
				if s.prepare != nil {
					s.prepare(b)
				}
				got := b.call(context.Background(), s.path, s.header)
				if got.status != s.status || !got.complete {
					t.Errorf("status %d, complete %t", got.status, got.complete)
				}
				if (got.header.Get("Retry-After") != "") != s.retry {
					t.Errorf("Retry-After %q", got.header.Get("Retry-After"))
				}
				if s.status != 200 && len(b.arrived()) > 0 {
					t.Error("the request reached a target")
				}
			})
		})
	}
}

// An entry without a share of the allowances refuses requests of accounts with a limit as not run, with a time to come
// back, since the account isn't over its allowance. It serves all other requests.
func TestEntryWithoutShareRefusesAsNotRun(t *testing.T) {
	scenarios := []struct {
		name, path, key string
		status          int
	}{
		{"account with a limit", "/unsafe/a", "fullkey", http.StatusServiceUnavailable},
		{"route without keys", "/open/a", "", http.StatusOK},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{"full": true, noShare: true}, replies(200, "", "yes"))
				got := b.call(context.Background(), s.path, map[string]string{"Key": s.key})
				if got.status != s.status || !got.complete {
					t.Errorf("status %d, complete %t", got.status, got.complete)
				}
				refused := s.status != http.StatusOK
				if (got.header.Get("Retry-After") != "") != refused {
					t.Errorf("Retry-After %q", got.header.Get("Retry-After"))
				}
				if refused && len(b.arrived()) > 0 {
					t.Error("the request reached a target")
				}
			})
		})
	}
}

// TestSilentTargetEndsAtDeadline guards against callers who wait beyond the shorter of the route's time-out and their
// own deadline, and against a target that is told another time.
func TestSilentTargetEndsAtDeadline(t *testing.T) {
	scenarios := []struct {
		name   string
		path   string
		wait   string // the caller's deadline, in ms
		engine scriptedTarget
		status int
		took   time.Duration // at least, and at most 100 ms more
	}{
		{"silent target, up to the route's time-out", "/unsafe/a", "60000", silent, 504, 5 * time.Second},
		{"silent target, up to the caller's deadline", "/unsafe/a", "1000", silent, 504, time.Second},
		{"stream without an event", "/resume/a", "1000", silent, 504, time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, s.engine)
				got := b.call(context.Background(), s.path, map[string]string{"Wait": s.wait})
				if got.status != s.status || got.took < s.took || got.took > s.took+100*time.Millisecond {
					t.Errorf("status %d after %v", got.status, got.took)
				}
				if left := b.arrived()[0].header.Get("Left"); left != fmt.Sprint(s.took.Milliseconds()) {
					t.Errorf("time left reported to the target: %s ms", left)
				}
			})
		})
	}
}

// TestCallerDisconnectCancelsTargetWork guards against targets that go on with a request whose caller has left, and
// against a retry for such a caller.
func TestCallerDisconnectCancelsTargetWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		b := newTestbed(t, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			silent(c, r)
			ended <- time.Now()
			return false
		})
		ctx, leave := context.WithTimeout(context.Background(), time.Second)
		defer leave()
		began := time.Now()
		b.call(ctx, "/resume/a", nil)
		if at := <-ended; at.Sub(began) > 1200*time.Millisecond {
			t.Errorf("the target went on for %v", at.Sub(began))
		}
		time.Sleep(time.Second)
		if n := len(b.arrived()); n != 1 {
			t.Errorf("%d arrivals", n)
		}
	})
}

// TestAssignmentsAreReleasedWithOutcome guards against assignments that keep their slot, or that are released with an
// outcome that is not the target's.
func TestAssignmentsAreReleasedWithOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, nil, replies(503, "Not-Run: 1\r\n", ""), replies(421, "", ""), replies(200, "", "yes"))
		b.call(context.Background(), "/safe/a", nil)
		want := []string{"t1 Unreached", "t2 Full", "t3 Moved", "t4 Served"}
		if !slices.Equal(b.scheduler.outcomes, want) {
			t.Errorf("outcomes %v, want %v", b.scheduler.outcomes, want)
		}
	})
}

// TestRequestIsRedispatchedFromUnresponsiveTarget: the owner of the service reports after 0.3 s that the first target
// gives no response. A request that may be repeated goes to the second one, any other one stays where it is until its
// deadline.
func TestRequestIsRedispatchedFromUnresponsiveTarget(t *testing.T) {
	stalls := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n", r.Header.Get("Id"))
		return silent(c, r)
	}
	scenarios := []struct {
		name     string
		path     string
		first    scriptedTarget
		status   int
		took     time.Duration // at most
		arrivals int
	}{
		{"before its first event", "/resume/a", silent, 200, 800 * time.Millisecond, 2},
		{"in the middle of a stream", "/resume/a", stalls, 200, 1800 * time.Millisecond, 2},
		{"safe call", "/safe/a", silent, 200, 800 * time.Millisecond, 2},
		{"not a call that may run only once", "/unsafe/a", silent, 504, 5100 * time.Millisecond, 1},
		{"not a stream that cannot be resumed", "/stream/a", silent, 504, 5100 * time.Millisecond, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, s.first, streams(0))
				b.scheduler.redispatched = "t1"
				got := b.call(context.Background(), s.path, nil)
				if got.status != s.status || !got.complete || got.took > s.took {
					t.Errorf("status %d, complete %t, after %v", got.status, got.complete, got.took)
				}
				if s.status == 200 && got.body != strings.Join(events(10), "") {
					t.Errorf("body %q", got.body)
				}
				if n := len(b.arrived()); n != s.arrivals {
					t.Errorf("%d arrivals", n)
				}
			})
		})
	}
}

// TestReadiness guards against callers who are routed to an entry that drains, or not to one that can serve them.
func TestReadiness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, replies(200, "", "yes"))
		if !b.controller.Ready() {
			t.Error("not ready with a configuration")
		}
		b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now() + clock.Second, EndsAt: b.clock.Now() + clock.Minute})
		if b.controller.Ready() {
			t.Error("ready while leaving")
		}
	})
}

// TestSpanForEachHop guards against exchanges and waits for an assignment that are missing in a request's trace, or
// that are in another trace.
func TestSpanForEachHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, replies(421, "", ""), replies(200, "", "yes"))
		b.call(context.Background(), "/unsafe/a", nil)
		synctest.Wait()
		var names []string
		var traces []string
		for _, span := range b.spans.Ended() {
			names = append(names, span.Name())
			traces = append(traces, span.SpanContext().TraceID().String())
		}
		want := []string{"entry.place", "entry.exchange", "entry.place", "entry.exchange", "entry.request"}
		if !slices.Equal(names, want) {
			t.Errorf("spans %v, want %v", names, want)
		}
		if len(slices.Compact(traces)) != 1 {
			t.Errorf("spans of several traces: %v", traces)
		}
	})
}

// Every target fails until the retry budget is spent. Callers must still get a target's own answer, with its seal, and
// not a refusal by the entry.
func TestTargetFailureIsReturnedOnceRetryBudgetIsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failing := replies(http.StatusInternalServerError, "", "failed")
		b := newTestbed(t, fakeMeter{}, failing, failing)
		const calls = 200
		for n := range calls {
			r := b.call(context.Background(), "/safe/x", map[string]string{"Id": fmt.Sprint("r", n)})
			if r.status != http.StatusInternalServerError || r.header.Get("Seal") != "s" || r.body != "failed" {
				t.Fatalf("call %d: status %d, seal %q, body %q", n, r.status, r.header.Get("Seal"), r.body)
			}
		}
		if n := len(b.arrived()); n <= calls || n >= 2*calls {
			t.Errorf("%d exchanges: the retry budget was not used, or not used up", n)
		}
	})
}

// The only target fails a request that may be retried. There is no other target for a retry, so its answer is returned.
func TestFailureOfOnlyTargetIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, replies(http.StatusInternalServerError, "", "failed"))
		r := b.call(context.Background(), "/safe/x", nil)
		if r.status != http.StatusInternalServerError || r.header.Get("Seal") != "s" || r.body != "failed" {
			t.Errorf("status %d, seal %q, body %q", r.status, r.header.Get("Seal"), r.body)
		}
	})
}
