package app

import (
	"context"
	"flag"
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

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/wiretest"
)

// These tests guard against answers that are truncated although their target and their entry go on. Callers saw one
// during a change of the configuration. The tests of ingress check for one entry what may end an answer at each step
// of a request. Here complete entries, their store and the owners of a service go through changes and losses, while
// targets pause for up to 2.5 s now and then and go on. Each request that ran on a target has to get a complete answer.

var (
	firstEndings = flag.Uint64("endings.seed", 1, "the first `seed` of the tests of changes while answers are in progress")
	endingsSeeds = flag.Int("endings.seeds", 1, "how `many` seeds to run")
)

// endingsBed is a crashBed whose targets complete every request that they run.
type endingsBed struct {
	*crashBed
	configuration wiretest.Configuration

	runsMu  sync.Mutex
	arrived map[string]int       // number of runs, by request id
	onTrial map[string]int       // of these, the runs on targets of a failing version
	failing map[ids.Version]bool // versions whose targets fail all requests but streams
	// shortenedAt is when the routes got shortenedLimit as their time limit; 0 if they didn't.
	shortenedAt time.Duration
}

// shortenedLimit is a time limit of routes that only answers of two targets reach.
const shortenedLimit = 4 * time.Second

const (
	endingsEntries = 3
	endingsEvents  = 12                    // of a stream
	endingsGap     = 50 * time.Millisecond // between two events
	endingsWait    = 8 * time.Second       // callers' time-out, longer than any answer takes
	endingsLoad    = 50                    // requests a second
	endingsLength  = 6 * time.Second       // for which requests are sent
)

// endingsKinds names the kinds of requests; each has a route of its name.
var endingsKinds = []string{"safe", "unsafe", "stream", "resume"}

// newEndingsBed starts a bed and waits until the entries have applied its configuration.
func newEndingsBed(t *testing.T, seed uint64) *endingsBed {
	b := &endingsBed{arrived: make(map[string]int), onTrial: make(map[string]int), failing: make(map[ids.Version]bool)}
	b.crashBed = newCrashBedOf(t, seed, endingsEntries, crashTargets)
	b.intercept = b.answer
	route := func(name, kind string, attempts int) wiretest.Route {
		return wiretest.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 8000, Objective: 500, Attempts: attempts, Resumable: name == "resume", Service: "s"}
	}
	b.configuration = wiretest.Configuration{
		Version:  2,
		Routes:   []wiretest.Route{route("safe", "safe", 2), route("unsafe", "unsafe", 1), route("stream", "streaming", 1), route("resume", "streaming", 2)},
		Services: []wiretest.Service{{Name: "s", Connections: 200}}, Limits: wiretest.Limits{BodyBytes: 100_000},
		Accounts: []wiretest.Account{{Name: "acme", Keys: []string{"key-a"}}, {Name: "other", Keys: []string{"key-o"}}},
	}
	b.reconfigure(func(*wiretest.Configuration) {})
	time.Sleep(time.Second) // until the entries have applied it
	return b
}

// reconfigure writes a changed configuration. The change has to replace slices rather than modify their elements, since
// former versions share them.
func (b *endingsBed) reconfigure(change func(*wiretest.Configuration)) {
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	b.configuration.Version++
	change(&b.configuration)
	b.store.Put(platform.TableOperators, platform.KeyConfiguration, b.configuration.Row())
}

// changeRoutes writes a configuration in which each route is changed.
func (b *endingsBed) changeRoutes(change func(*wiretest.Route)) {
	b.reconfigure(func(c *wiretest.Configuration) {
		routes := append([]wiretest.Route(nil), c.Routes...)
		for i := range routes {
			change(&routes[i])
		}
		c.Routes = routes
	})
}

// drawPause returns for how long a target pauses: 0 in three of four cases, otherwise 0.5 to 2.5 s.
func (b *endingsBed) drawPause() time.Duration {
	const oneIn = 4
	if b.draw(oneIn) > 0 {
		return 0
	}
	return time.Duration(500+b.draw(2000)) * time.Millisecond
}

// endingsEvent is the nth event of the stream that answers a request.
func endingsEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// endingsAnswer is the complete answer to a request.
func endingsAnswer(id, path string) string {
	if !strings.HasPrefix(path, "/stream/") && !strings.HasPrefix(path, "/resume/") {
		return "answer to " + id
	}
	var text strings.Builder
	for n := 1; n <= endingsEvents; n++ {
		text.WriteString(endingsEvent(id, n))
	}
	return text.String()
}

// answer runs a request on a target.
func (b *endingsBed) answer(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
	id := wiretest.RequestID(r.Header)
	b.runsMu.Lock()
	b.arrived[id]++
	fails := b.failing[e.version]
	if fails {
		b.onTrial[id]++
	}
	b.runsMu.Unlock()
	wiretest.MarkAnsweredBy(w.Header(), e.id)
	streams := strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resume/")
	switch {
	case streams:
		b.stream(w, r, id)
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		time.Sleep(crashWork + b.drawPause())
		_, _ = io.WriteString(w, endingsAnswer(id, r.URL.Path))
	}
	return true
}

// stream answers with the events after the last one that the caller has, with one pause among them.
func (b *endingsBed) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
	pauseAt := b.draw(endingsEvents)
	for n := last + 1; n <= endingsEvents; n++ {
		if _, err := io.WriteString(w, endingsEvent(id, n)); err != nil || control.Flush() != nil {
			return
		}
		pause := endingsGap
		if n == pauseAt {
			pause += b.drawPause()
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}

// endingsCall is a request and the answer that its caller got.
type endingsCall struct {
	entry    int
	path, id string
	at, end  time.Duration // when it was sent, and when its answer ended
	status   int           // 0 without an answer
	body     string
	complete bool // the answer was not broken off
}

// callOnce sends a request to an entry, on a new connection.
func (b *endingsBed) callOnce(entry int, path string) (c endingsCall) {
	c = endingsCall{entry: entry, path: path, id: b.newRequestID(), at: b.now()}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return b.net.Dial(ctx, entryIP(entry)+":80")
	}}
	ctx, cancel := context.WithTimeout(context.Background(), endingsWait)
	defer cancel()
	defer func() { c.end = b.now() }()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader(b.uniqueBody()))
	if err != nil {
		b.t.Error(err)
		return c
	}
	wiretest.SetCall(r.Header, c.id, "key-a", endingsWait)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return c
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.status, c.body, c.complete = response.StatusCode, string(body), err == nil
	return c
}

// play sends requests of all kinds to all entries, applies a change after a third of the time, and returns the calls.
func (b *endingsBed) play(length time.Duration, change func(*endingsBed)) []endingsCall {
	var mu sync.Mutex
	var calls []endingsCall
	from := b.now()
	time.AfterFunc(length/3, func() { change(b) })
	b.callAtRate(endingsLoad, from, from+length, func() {
		c := b.callOnce(b.draw(endingsEntries), "/"+endingsKinds[b.draw(len(endingsKinds))]+"/q")
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, c)
	})
	return calls
}

// shortenLimits sets shortenedLimit as the time limit of all routes.
func (b *endingsBed) shortenLimits() {
	b.changeRoutes(func(r *wiretest.Route) { r.Timeout = int(shortenedLimit.Milliseconds()) })
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	b.shortenedAt = b.now()
}

// reachedLimit reports whether an answer was broken off at its route's time limit, which had been shortened before the request
// was sent.
func (b *endingsBed) reachedLimit(c endingsCall) bool {
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	const slack = 10 * time.Millisecond // for the end to reach the caller
	took := c.end - c.at
	return b.shortenedAt > 0 && c.at > b.shortenedAt && took >= shortenedLimit && took < shortenedLimit+slack
}

// check fails the test if a request that ran got no complete answer, except by entries that were killed, or at the time limit
// of its route.
func (b *endingsBed) check(calls []endingsCall, killed func(endingsCall) bool) {
	b.t.Helper()
	ran, truncated, atLimit := 0, 0, 0
	for _, c := range calls {
		if b.runCount(b.arrived, c.id) == 0 || killed(c) {
			continue
		}
		ran++
		if c.status == http.StatusOK && c.complete && c.body == endingsAnswer(c.id, c.path) {
			continue
		}
		if b.reachedLimit(c) {
			atLimit++
		} else {
			truncated++
			b.t.Errorf("%s at entry %d from %v to %v, %d runs: status %d, complete %t, %q", c.path, c.entry, c.at, c.end, b.runCount(b.arrived, c.id), c.status, c.complete, c.body)
		}
	}
	b.t.Logf("%d of %d requests ran, %d of them got no complete answer, and %d none until the time limit of their route", ran, len(calls), truncated, atLimit)
	if atLimit > len(calls)/100 {
		b.t.Errorf("%d of %d requests were broken off at the time limit of their route, which few can reach", atLimit, len(calls))
	}
	if ran < len(calls)/4 {
		b.t.Errorf("only %d of %d requests ran, want at least a quarter", ran, len(calls))
	}
}

// runCount returns the number for a request in arrived or onTrial.
func (b *endingsBed) runCount(of map[string]int, id string) int {
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	return of[id]
}

// noneKilled is for tests that kill no entry.
func noneKilled(endingsCall) bool { return false }

// row writes the row of the nth target, with a change.
func (b *endingsBed) row(n int, change func(*wiretest.Engine)) {
	b.mu.Lock()
	e := b.engines[n]
	b.mu.Unlock()
	row := wiretest.Engine{Service: "s", Address: e.address(), Domain: "d", Version: e.version, Slots: crashSlots, State: wiretest.Ready, Sequence: 1, Born: e.born}
	change(&row)
	b.store.Put(platform.TableTargets, e.id, row.Row())
}

// endingsChanges are changes and failures while answers are in progress. None of them ends a target.
var endingsChanges = []struct {
	name string
	do   func(*endingsBed)
}{
	{"nothing", func(*endingsBed) {}},
	{"other settings apply", func(b *endingsBed) {
		for _, e := range b.entries {
			e.process.applyBounds(platform.Settings{Bounds: platform.Bounds{GraceSeconds: 1, Revoke: 100, RevokeStrict: true, RetryRatio: 0.01, RetryWindowSeconds: 1}})
		}
	}},
	{"the API key is removed", func(b *endingsBed) {
		b.reconfigure(func(c *wiretest.Configuration) {
			c.Accounts = []wiretest.Account{{Name: "acme", Keys: []string{"another"}}}
		})
	}},
	{"the client account is removed", func(b *endingsBed) {
		b.reconfigure(func(c *wiretest.Configuration) { c.Accounts = c.Accounts[1:] })
	}},
	{"all routes are removed", func(b *endingsBed) { b.reconfigure(func(c *wiretest.Configuration) { c.Routes = nil }) }},
	{"all routes lead to another service", func(b *endingsBed) {
		b.reconfigure(func(c *wiretest.Configuration) {
			c.Services = []wiretest.Service{{Name: "s", Connections: 200}, {Name: "o", Connections: 1}}
		})
		b.changeRoutes(func(r *wiretest.Route) { r.Service = "o" })
	}},
	{"time-outs are shortened", (*endingsBed).shortenLimits},
	{"no request may be repeated any more", func(b *endingsBed) {
		b.changeRoutes(func(r *wiretest.Route) { r.Attempts, r.Resumable = 1, false })
	}},
	{"the limit of bodies is one byte", func(b *endingsBed) { b.reconfigure(func(c *wiretest.Configuration) { c.Limits.BodyBytes = 1 }) }},
	{"the rows of six targets say that they are leaving", func(b *endingsBed) {
		for n := range crashTargets / 2 {
			b.row(n, func(r *wiretest.Engine) { r.State = wiretest.Draining })
		}
	}},
	{"the rows of six targets are removed, and come back 3 s later", func(b *endingsBed) {
		for n := range crashTargets / 2 {
			b.store.Remove(platform.TableTargets, b.engines[n].id)
		}
		time.Sleep(3 * time.Second)
		for n := range crashTargets / 2 {
			b.row(n, func(*wiretest.Engine) {})
		}
	}},
	{"the rows of all targets are removed", func(b *endingsBed) {
		for _, e := range b.engines {
			b.store.Remove(platform.TableTargets, e.id)
		}
	}},
	{"another writer overwrites the rows of all targets", func(b *endingsBed) {
		for n := range crashTargets {
			b.row(n, func(r *wiretest.Engine) { r.Address = "nowhere" })
		}
	}},
	{"all targets are listed in another service", func(b *endingsBed) {
		for n := range crashTargets {
			b.row(n, func(r *wiretest.Engine) { r.Service = "o" })
		}
	}},
	{"the store is unreachable", func(b *endingsBed) { b.setStoreDown(true) }},
	{"the store trims its history", func(b *endingsBed) { b.store.TrimHistory() }},
	{"the store returns from a copy", func(b *endingsBed) { b.returnFromCopy(500*time.Millisecond, time.Second) }},
	{"all entries are partitioned from one another", func(b *endingsBed) {
		for i := range endingsEntries {
			b.partition(i, true)
		}
	}},
	{"entries are partitioned in turn, for 0.4 s each", func(b *endingsBed) {
		for n := range 6 {
			b.partition(n%endingsEntries, true)
			time.Sleep(400 * time.Millisecond)
			b.partition(n%endingsEntries, false)
		}
	}},
}

// TestAnswersAreCompleteDuringChanges applies each change while answers are in progress.
func TestAnswersAreCompleteDuringChanges(t *testing.T) {
	for seed := *firstEndings; seed < *firstEndings+uint64(*endingsSeeds); seed++ {
		for _, h := range endingsChanges {
			t.Run(fmt.Sprintf("seed %d, %s", seed, h.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := newEndingsBed(t, seed)
					b.check(b.play(endingsLength, h.do), noneKilled)
				})
			})
		}
	}
}

// TestAnswersAreCompleteWhenOwnersEnd kills each entry in turn, so that the owners of the service and of the accounts
// change. Answers by way of the other entries have to be complete.
func TestAnswersAreCompleteWhenOwnersEnd(t *testing.T) {
	for victim := range endingsEntries {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprintf("entry %d, restarts %t", victim, restarts), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := newEndingsBed(t, *firstEndings)
					calls := b.play(endingsLength, func(b *endingsBed) {
						b.killEntry(victim)
						if restarts {
							time.Sleep(500 * time.Millisecond)
							b.startEntry(victim)
						}
					})
					b.check(calls, func(c endingsCall) bool { return c.entry == victim })
				})
			})
		}
	}
}

// replaceTargets ends the first n targets, which run nothing at that time, and starts targets of a version in their
// places.
func (b *endingsBed) replaceTargets(n int, version ids.Version) {
	b.mu.Lock()
	b.version = version
	old := append([]*crashEngine(nil), b.engines[:n]...)
	b.mu.Unlock()
	for _, e := range old {
		e.end()
		b.store.Remove(platform.TableTargets, e.id)
		b.startEngine(e.n)
	}
}

// TestStreamsAreCompleteDuringARollback has a new version that fails all plain requests but completes streams. It is
// rolled back, and the streams in progress on its targets have to be complete.
func TestStreamsAreCompleteDuringARollback(t *testing.T) {
	const trial ids.Version = "v2"
	synctest.Test(t, func(t *testing.T) {
		b := newEndingsBed(t, *firstEndings)
		b.bounds.ExposeShare, b.bounds.ExposeSlack, b.bounds.Rollback = 0.1, 50, 5000
		b.restartAll()
		time.Sleep(2 * time.Second)
		b.store.Put(platform.TableOperators, "rollout/s", fmt.Appendf(nil, `{"service":"s","target_version":%q,"duration_s":20}`, trial))
		b.runsMu.Lock()
		b.failing[trial] = true
		b.runsMu.Unlock()
		b.replaceTargets(crashTargets/2, trial)
		calls := b.play(20*time.Second, func(*endingsBed) {})
		row, _ := b.store.Get(platform.TableStatus, "rollout/s")
		if !strings.Contains(string(row.Value), "rolled_back") {
			t.Errorf("the roll-out's state is %s, want rolled_back", row.Value)
		}
		streams, atTrial := calls[:0], 0
		for _, c := range calls {
			if strings.HasPrefix(c.path, "/stream/") || strings.HasPrefix(c.path, "/resume/") {
				streams = append(streams, c)
				atTrial += b.runCount(b.onTrial, c.id)
			}
		}
		t.Logf("%d streams ran on the version on trial", atTrial)
		if atTrial == 0 {
			t.Error("no stream ran on the version on trial")
		}
		b.check(streams, noneKilled)
	})
}
