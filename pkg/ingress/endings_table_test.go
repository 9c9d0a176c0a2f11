package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ingress"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
)

// These tests combine each step of a request with each disturbance that an entry may meet. They were written after an
// answer was broken off although its target would have gone on: the entry had given a silent target up before it had
// another one, while a simultaneous change of the configuration turned out to be unrelated. A request that was allowed
// when it was sent runs to its end; changes apply to the next one to be sent.

// requestStep is how far a request has come.
type requestStep int

// The steps in their order, so that those from stepSent on are of a request that was sent; steps says what each is.
const (
	stepWaiting requestStep = iota
	stepConnecting
	stepSent
	stepHead
	stepEvents
	stepLastEvent
	stepLongBody // instead of events, in a call's answer that is longer than what is buffered
)

// steps lists all steps, with the paths of the requests that reach them.
var steps = []struct {
	step  requestStep
	name  string
	paths []string
}{
	{stepWaiting, "waits for an assignment", []string{"/unsafe/a", "/safe/a", "/stream/a", "/resume/a"}},
	{stepConnecting, "connects", []string{"/unsafe/a", "/safe/a", "/stream/a", "/resume/a"}},
	{stepSent, "is sent", []string{"/unsafe/a", "/safe/a", "/stream/a", "/resume/a"}},
	{stepHead, "has its answer's head", []string{"/unsafe/a", "/safe/a", "/stream/a", "/resume/a"}},
	{stepEvents, "has some events", []string{"/stream/a", "/resume/a"}},
	{stepLastEvent, "has its last event", []string{"/stream/a", "/resume/a"}},
	{stepLongBody, "has a part of a long answer", []string{"/unsafe/a", "/safe/a"}},
}

// pausesAt answers a request, and pauses at the given step.
func pausesAt(at requestStep, pause time.Duration) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		wait := func(s requestStep) {
			if s == at {
				time.Sleep(pause)
			}
		}
		wait(stepSent)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n", r.Header.Get("Id"))
		if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resume/") {
			return streamsWith(c, r, head, wait)
		}
		body := completeAnswer(at, r.URL.Path)
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, len(body))
		wait(stepHead)
		part := min(len(body), longPart)
		_, _ = io.WriteString(c, body[:part])
		wait(stepLongBody)
		_, err := io.WriteString(c, body[part:])
		return err == nil
	}
}

// streamsWith streams ten events, from the one after the last that the caller has, and calls wait at each step.
func streamsWith(c net.Conn, r *http.Request, head string, wait func(requestStep)) bool {
	_, _ = io.WriteString(c, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	wait(stepHead)
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	const middle = 5
	for n := last + 1; n <= 10; n++ {
		text := events(n)[n-1]
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		if n == middle {
			wait(stepEvents)
		}
	}
	wait(stepLastEvent)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// completeAnswer returns the body of the complete answer to a request.
func completeAnswer(at requestStep, path string) string {
	switch {
	case strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/"):
		return strings.Join(events(10), "")
	case at == stepLongBody:
		return strings.Repeat("a", longBody)
	}
	return "yes"
}

// callerOutcome is what the caller gets for a request.
type callerOutcome int

const (
	outcomeComplete callerOutcome = iota // a complete answer of a target
	outcomeRefused                       // a refusal that says that the request has not run, and when to come back
	outcomeBroken                        // no complete answer, and the request may have run
)

// disturbance is an event that must not end a request unless its outcome says so.
type disturbance struct {
	name    string
	prepare func(*testbed) // before the request arrives
	do      func(*testbed) // while it is at a step
	outcome func(at requestStep, path string) callerOutcome
}

// refusedUnlessSent is the outcome of a change that forbids to send the request: one already sent runs to its end.
func refusedUnlessSent(at requestStep, _ string) callerOutcome {
	if at == stepWaiting {
		return outcomeRefused
	}
	return outcomeComplete
}

// alwaysComplete is the outcome of a disturbance after which any request gets a complete answer.
func alwaysComplete(requestStep, string) callerOutcome { return outcomeComplete }

// afterRestart is the outcome of requests whose target was restarted: nothing runs them any more.
func afterRestart(at requestStep, path string) callerOutcome {
	resumable, safe := strings.HasPrefix(path, "/resume/"), strings.HasPrefix(path, "/safe/")
	if at <= stepConnecting || resumable || safe && at != stepLongBody {
		return outcomeComplete
	}
	return outcomeBroken
}

// afterProcessEnd is the outcome of requests that are in progress when the entry's process ends.
func afterProcessEnd(at requestStep, _ string) callerOutcome {
	if at <= stepConnecting {
		return outcomeRefused
	}
	return outcomeBroken
}

// eachRoute changes all routes, and applies the configuration.
func (b *testbed) eachRoute(change func(*routing.Route)) {
	for i, r := range b.routes {
		changed := *r
		change(&changed)
		b.routes[i] = &changed
	}
	b.configure(2)
}

// endTargets reports that so many targets have ended under the request of the table to the quarantine.
func (b *testbed) endTargets(path string, targets int) {
	request := quarantine.Request{Digest: quarantine.Identify("acme", path, []byte("question")), Account: "acme", Route: ids.Route(strings.Split(path, "/")[1])}
	for n := range targets {
		b.guard.RecordTargetEnd(quarantine.Run{Request: request, Incarnation: ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("ended", n))}, Again: n > 0})
	}
}

// disturbances lists what may happen to an entry while a request is at a step.
var disturbances = []disturbance{
	{"nothing", nil, func(*testbed) {}, alwaysComplete},
	{"settings with a shorter key grace", nil, func(b *testbed) { b.controller.SetKeyGrace(ingress.KeyGrace{Limit: 1, Strict: true}) }, refusedUnlessSent},
	{"settings without retries", nil, func(b *testbed) { b.retries.SetBounds(quota.RetryBounds{Window: 10 * clock.Second}) }, alwaysComplete},
	{"its key is removed", nil, func(b *testbed) {
		b.accounts = []*routing.Account{{Name: "acme", Keys: []string{"another"}}}
		b.configure(2)
	}, refusedUnlessSent},
	{"its account is removed", nil, func(b *testbed) { b.accounts = b.accounts[1:]; b.configure(2) }, refusedUnlessSent},
	{"its account gets a limit", nil, func(b *testbed) {
		b.accounts = []*routing.Account{{Name: "acme", Keys: []string{"key"}, PerSecond: 0.001, Burst: 0.001}}
		b.configure(2)
	}, alwaysComplete},
	{"its route is removed", nil, func(b *testbed) { b.routes = nil; b.configure(2) }, refusedUnlessSent},
	{"its route leads to another service", nil, func(b *testbed) {
		b.eachRoute(func(r *routing.Route) { r.Split = []routing.WeightedService{{Service: "other", Weight: 1}} })
	}, refusedUnlessSent},
	{"the time-out of its route is shortened", nil, func(b *testbed) { b.eachRoute(func(r *routing.Route) { r.Timeout = 100 }) }, alwaysComplete},
	{"its route may not be repeated any more", nil, func(b *testbed) {
		b.eachRoute(func(r *routing.Route) { r.Attempts, r.Resumable = 1, false })
	}, alwaysComplete},
	{"the objective and event gap of its route are shortened", nil, func(b *testbed) {
		b.eachRoute(func(r *routing.Route) { r.Objective, r.EventGap = 50, 20 })
	}, alwaysComplete},
	{"its route gets a lower tier", nil, func(b *testbed) { b.eachRoute(func(r *routing.Route) { r.Tier = 3 }) }, alwaysComplete},
	{"many routes are added", nil, func(b *testbed) {
		for n := range 500 {
			b.routes = append(b.routes, &routing.Route{Name: fmt.Sprint("new", n), Host: "h", Prefix: fmt.Sprintf("/new%d/", n), Kind: routing.Safe, Timeout: 100, Attempts: 1})
		}
		b.configure(2)
	}, alwaysComplete},
	{"configurations without and with its key follow in series", nil, func(b *testbed) {
		accounts := b.accounts
		for n := range routing.Revision(10) {
			b.accounts = accounts[1:]
			b.configure(2 + 2*n)
			b.accounts = accounts
			b.configure(3 + 2*n)
		}
	}, alwaysComplete},
	{"its body would be too long now", nil, func(b *testbed) {
		b.view.SetCatalog(routing.NewCatalog(2, routing.Limits{BodyBytes: 1}, b.routes, nil, routing.Accounts{List: b.accounts}))
	}, alwaysComplete},
	{"its target is removed from the list", nil, func(b *testbed) { b.expireFirst() }, alwaysComplete},
	{"all targets are removed from the list", nil, func(b *testbed) { b.view.SetDirectory(routing.NewDirectory(nil)) }, alwaysComplete},
	{"a target is added to the list", nil, func(b *testbed) {
		added := &routing.Target{ID: "t9", Service: "s", Address: "10.0.9.9:80"}
		b.view.SetDirectory(routing.NewDirectory(append(b.listed(), added)))
	}, alwaysComplete},
	{"its target is listed as leaving", nil, func(b *testbed) { b.updateFirst(func(t *routing.Target) { t.Leaving = true }) }, alwaysComplete},
	{"its target is listed with another address", nil, func(b *testbed) { b.updateFirst(func(t *routing.Target) { t.Address = "10.0.9.9:80" }) }, alwaysComplete},
	{"its target is listed in another service", nil, func(b *testbed) { b.updateFirst(func(t *routing.Target) { t.Service = "other" }) }, func(at requestStep, _ string) callerOutcome {
		return refusedUnlessSent(at, "")
	}},
	{"its target's version is withheld", nil, func(b *testbed) { b.updateFirst(func(t *routing.Target) { t.Admission = routing.Withheld }) }, alwaysComplete},
	{"its target was restarted", nil, (*testbed).restart, afterRestart},
	{"its target reports that it is leaving", nil, func(b *testbed) {
		b.advice.Observe(ids.TargetIncarnation{Target: "t1", Start: firstStart}, 0, "other", advisory.Advice{Leaving: true})
	}, alwaysComplete},
	{"its target asks for back-off", nil, func(b *testbed) {
		b.advice.Observe(ids.TargetIncarnation{Target: "t1", Start: firstStart}, 0, "other", advisory.Advice{Backoff: 10 * clock.Second})
	}, alwaysComplete},
	{"the VM was suspended for 3 s", nil, func(b *testbed) { b.suspension.Add(3 * clock.Second) }, alwaysComplete},
	{"the VM was suspended for 20 s", nil, func(b *testbed) { b.suspension.Add(20 * clock.Second) }, refusedUnlessSent},
	{"the owner of the service re-dispatches it", func(b *testbed) { b.scheduler.redispatched = "t1" }, func(*testbed) {}, alwaysComplete},
	{"the owner of the service refuses all further requests", nil, func(b *testbed) { b.scheduler.setRepeats(true, 0) }, alwaysComplete},
	{"the owner of the service is gone", nil, func(b *testbed) { b.scheduler.setRepeats(false, time.Minute) }, alwaysComplete},
	{"the entry is drained", nil, func(b *testbed) {
		b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now() + clock.Second, EndsAt: b.clock.Now() + 8*clock.Second})
	}, alwaysComplete},
	{"the entry is drained within a short time", nil, func(b *testbed) {
		b.controller.Leave(ingress.Stop{RestrictsFrom: b.clock.Now(), EndsAt: b.clock.Now() + 3*clock.Second})
	}, refusedUnlessSent},
	{"the entry ends", nil, func(b *testbed) { b.controller.End() }, afterProcessEnd},
	{"no descriptor is left", nil, func(b *testbed) { b.dialer.set(0, syscall.EMFILE) }, refusedUnlessSent},
	{"memory is short", func(b *testbed) {
		before := debug.SetMemoryLimit(-1)
		b.t.Cleanup(func() { debug.SetMemoryLimit(before) })
	}, func(*testbed) { debug.SetMemoryLimit(1) }, alwaysComplete},
	{"it is suspected of ending its targets", nil, func(b *testbed) { b.endTargets(b.path, 1) }, alwaysComplete},
	{"it is quarantined, as targets have ended under it", nil, func(b *testbed) { b.endTargets(b.path, 3) }, refusedUnlessSent},
}

// TestDisturbancesOfRequestInProgress applies each disturbance to a request at each step.
func TestDisturbancesOfRequestInProgress(t *testing.T) {
	for _, s := range steps {
		for _, path := range s.paths {
			for _, h := range disturbances {
				for _, pause := range pauses(s.step) {
					t.Run(fmt.Sprintf("%s %s, %v; %s", path, s.name, pause, h.name), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { checkDisturbance(t, s.step, path, pause, h.prepare, h.do, h.outcome(s.step, path)) })
					})
				}
			}
		}
	}
}

// pauses returns for how long a target pauses at a step: within a target's usual event gap, and so long that a search
// for another one begins.
func pauses(at requestStep) []time.Duration {
	switch at {
	case stepWaiting, stepConnecting:
		return []time.Duration{0}
	case stepLongBody: // no other target can go on with one
		return []time.Duration{600 * time.Millisecond}
	default:
	}
	return []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond}
}

// TestAllHarmlessDisturbancesTogether applies all disturbances that must not end a request that was sent at once.
func TestAllHarmlessDisturbancesTogether(t *testing.T) {
	for _, s := range steps {
		if s.step < stepSent {
			continue
		}
		for _, path := range s.paths {
			for _, pause := range pauses(s.step) {
				t.Run(fmt.Sprintf("%s %s, %v", path, s.name, pause), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						all := func(b *testbed) {
							for _, h := range disturbances {
								if h.outcome(s.step, path) == outcomeComplete && h.outcome(stepSent, "/unsafe/a") == outcomeComplete {
									h.do(b)
								}
							}
						}
						prepare := func(b *testbed) {
							for _, h := range disturbances {
								if h.prepare != nil {
									h.prepare(b)
								}
							}
						}
						checkDisturbance(t, s.step, path, pause, prepare, all, outcomeComplete)
					})
				})
			}
		}
	}
}

// checkDisturbance applies a disturbance to a request at a step, and checks what the caller gets and that no more
// targets get the request than its route allows. The first target pauses at the step for the given time.
func checkDisturbance(t *testing.T, at requestStep, path string, pause time.Duration, prepare, do func(*testbed), want callerOutcome) {
	t.Helper()
	const whileAtStep = 300 * time.Millisecond
	b := newTestbed(t, fakeMeter{}, pausesAt(at, pause), pausesAt(at, 0))
	b.path = path
	b.updateFirst(func(t *routing.Target) { t.Start = firstStart })
	when := whileAtStep
	switch at {
	case stepWaiting:
		b.scheduler.delay = 2 * whileAtStep
	case stepConnecting:
		b.dialer.set(whileAtStep, nil)
		when = whileAtStep / 2
	}
	if prepare != nil {
		prepare(b)
	}
	time.AfterFunc(when, func() { do(b) })
	got := b.call(context.Background(), path, nil)
	arrived := len(b.arrived())
	outcome := outcomeBroken
	switch {
	case got.status == http.StatusOK && got.complete && got.body == completeAnswer(at, path):
		outcome = outcomeComplete
	case got.status == http.StatusServiceUnavailable && got.complete && got.header.Get("Retry-After") != "" && arrived == 0:
		outcome = outcomeRefused
	case got.status == http.StatusOK && got.complete:
		t.Error("an incomplete answer looks complete")
	}
	if outcome != want {
		t.Errorf("outcome %d, want %d: status %d, complete %t, %d bytes after %v, %d arrivals", outcome, want, got.status, got.complete, len(got.body), got.took, arrived)
	}
	maxArrivals := map[string]int{"/unsafe/a": 1, "/stream/a": 1, "/safe/a": 2, "/resume/a": 2}[path]
	if arrived > maxArrivals {
		t.Errorf("%d arrivals", arrived)
	}
}
