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

// What callers saw: an answer was cut in the middle although its target worked and its entry stayed, beside a change of the
// configuration. What may end an answer is tested at one entry for each step of a request (ingress); here whole entries, their store and the
// homes of a service go through changes and losses, while targets of all kinds of requests are silent for up to 2.5 s now
// and then, and go on. Each request that ran at a target ends whole.

var (
	firstEndings = flag.Uint64("endings.seed", 1, "the first `seed` of changes beside answers under way")
	endingsSeeds = flag.Int("endings.seeds", 1, "how `many` seeds are played")
)

// endingsBed is whole entries before targets that all go on to the end of what they run.
type endingsBed struct {
	*crashBed
	configuration wiretest.Configuration

	said    sync.Mutex
	arrived map[string]int // runs, by request
	onTrial map[string]int // of these, those at a version that fails
	failing map[ids.Version]bool
}

const (
	endingsEntries = 3
	endingsEvents  = 12
	endingsGap     = 50 * time.Millisecond
	endingsWait    = 8 * time.Second // of callers, longer than any answer takes
	endingsLoad    = 50              // requests a second
	endingsLength  = 6 * time.Second
)

// endingsKinds are the kinds of requests by their routes.
var endingsKinds = []string{"safe", "unsafe", "stream", "resume"}

func newEndingsBed(t *testing.T, seed uint64) *endingsBed {
	b := &endingsBed{arrived: make(map[string]int), onTrial: make(map[string]int), failing: make(map[ids.Version]bool)}
	b.crashBed = newCrashBedOf(t, seed, endingsEntries, crashTargets)
	b.answers = b.answer
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
	time.Sleep(time.Second) // until it is in force
	return b
}

// reconfigure writes a changed configuration. What is changed is replaced, not changed in place.
func (b *endingsBed) reconfigure(change func(*wiretest.Configuration)) {
	b.said.Lock()
	defer b.said.Unlock()
	b.configuration.Version++
	change(&b.configuration)
	b.store.Put(platform.TableOperators, platform.KeyConfiguration, b.configuration.Row())
}

// eachRoute writes a configuration with changed routes.
func (b *endingsBed) eachRoute(change func(*wiretest.Route)) {
	b.reconfigure(func(c *wiretest.Configuration) {
		routes := append([]wiretest.Route(nil), c.Routes...)
		for i := range routes {
			change(&routes[i])
		}
		c.Routes = routes
	})
}

// pause is what a target may be silent for.
func (b *endingsBed) pause() time.Duration {
	const oneIn = 4
	if b.draw(oneIn) > 0 {
		return 0
	}
	return time.Duration(500+b.draw(2000)) * time.Millisecond
}

func endingsEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// endingsAnswer is the whole answer to a request.
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

// answer runs a request at a target.
func (b *endingsBed) answer(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
	id := wiretest.RequestID(r.Header)
	b.said.Lock()
	b.arrived[id]++
	fails := b.failing[e.version]
	if fails {
		b.onTrial[id]++
	}
	b.said.Unlock()
	wiretest.MarkAnsweredBy(w.Header(), e.id)
	streams := strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resume/")
	switch {
	case streams:
		b.stream(w, r, id)
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		time.Sleep(crashWork + b.pause())
		_, _ = io.WriteString(w, endingsAnswer(id, r.URL.Path))
	}
	return true
}

func (b *endingsBed) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	behind, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none is 0
	silent := b.draw(endingsEvents)
	for n := behind + 1; n <= endingsEvents; n++ {
		if _, err := io.WriteString(w, endingsEvent(id, n)); err != nil || control.Flush() != nil {
			return
		}
		pause := endingsGap
		if n == silent {
			pause += b.pause()
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}

// endingsCall is what a caller got.
type endingsCall struct {
	entry    int
	path, id string
	at, end  time.Duration
	status   int
	body     string
	whole    bool
}

func (b *endingsBed) callOnce(entry int, path string) endingsCall {
	c := endingsCall{entry: entry, path: path, id: b.newRequestID(), at: b.now()}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return b.net.Dial(ctx, crashIP(entry)+":80")
	}}
	ctx, cancel := context.WithTimeout(context.Background(), endingsWait)
	defer cancel()
	defer func() { c.end = b.now() }()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader(b.unlike()))
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
	c.status, c.body, c.whole = response.StatusCode, string(body), err == nil
	return c
}

// play has callers send requests of all kinds to all entries, and something happen meanwhile; it returns what they got.
func (b *endingsBed) play(length time.Duration, happens func(*endingsBed)) []endingsCall {
	var mu sync.Mutex
	var calls []endingsCall
	from := b.now()
	time.AfterFunc(length/3, func() { happens(b) })
	b.every(endingsLoad, from, from+length, func() {
		c := b.callOnce(b.draw(endingsEntries), "/"+endingsKinds[b.draw(len(endingsKinds))]+"/q")
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, c)
	})
	return calls
}

// check holds that each request that ran ended whole, but for those at entries that were killed.
func (b *endingsBed) check(calls []endingsCall, killed func(endingsCall) bool) {
	b.t.Helper()
	ran, cut := 0, 0
	for _, c := range calls {
		if b.runs(b.arrived, c.id) == 0 || killed(c) {
			continue
		}
		ran++
		if c.status != http.StatusOK || !c.whole || c.body != endingsAnswer(c.id, c.path) {
			cut++
			b.t.Errorf("%s at entry %d from %v to %v, %d runs: status %d, whole %t, %q", c.path, c.entry, c.at, c.end, b.runs(b.arrived, c.id), c.status, c.whole, c.body)
		}
	}
	b.t.Logf("%d of %d requests ran, %d of them were not ended whole", ran, len(calls), cut)
	if ran < len(calls)/4 {
		b.t.Errorf("%d of %d requests ran", ran, len(calls))
	}
}

func (b *endingsBed) runs(of map[string]int, id string) int {
	b.said.Lock()
	defer b.said.Unlock()
	return of[id]
}

// none says that no entry was killed.
func none(endingsCall) bool { return false }

// row writes the row of the nth target.
func (b *endingsBed) row(n int, change func(*wiretest.Engine)) {
	b.mu.Lock()
	e := b.engines[n]
	b.mu.Unlock()
	row := wiretest.Engine{Service: "s", Address: e.address(), Domain: "d", Version: e.version, Slots: crashSlots, State: wiretest.Ready, Sequence: 1, Born: e.born}
	change(&row)
	b.store.Put(platform.TableTargets, e.id, row.Row())
}

// endingsHappenings are what entries meet while answers are under way. None of them ends a target.
var endingsHappenings = []struct {
	name string
	do   func(*endingsBed)
}{
	{"nothing", func(*endingsBed) {}},
	{"other settings", func(b *endingsBed) {
		for _, e := range b.entries {
			e.process.change(platform.Settings{Bounds: platform.Bounds{GraceSeconds: 1, Revoke: 100, RevokeStrict: true, RetryRatio: 0.01, RetryWindowSeconds: 1}})
		}
	}},
	{"the key is taken away", func(b *endingsBed) {
		b.reconfigure(func(c *wiretest.Configuration) {
			c.Accounts = []wiretest.Account{{Name: "acme", Keys: []string{"another"}}}
		})
	}},
	{"the account is gone", func(b *endingsBed) {
		b.reconfigure(func(c *wiretest.Configuration) { c.Accounts = c.Accounts[1:] })
	}},
	{"all routes are taken away", func(b *endingsBed) { b.reconfigure(func(c *wiretest.Configuration) { c.Routes = nil }) }},
	{"all routes lead elsewhere", func(b *endingsBed) {
		b.reconfigure(func(c *wiretest.Configuration) {
			c.Services = []wiretest.Service{{Name: "s", Connections: 200}, {Name: "o", Connections: 1}}
		})
		b.eachRoute(func(r *wiretest.Route) { r.Service = "o" })
	}},
	{"time-outs are shortened", func(b *endingsBed) { b.eachRoute(func(r *wiretest.Route) { r.Timeout = 4000 }) }},
	{"nothing may be repeated any more", func(b *endingsBed) {
		b.eachRoute(func(r *wiretest.Route) { r.Attempts, r.Resumable = 1, false })
	}},
	{"bodies may have one byte", func(b *endingsBed) { b.reconfigure(func(c *wiretest.Configuration) { c.Limits.BodyBytes = 1 }) }},
	{"six targets say in the list that they leave", func(b *endingsBed) {
		for n := range crashTargets / 2 {
			b.row(n, func(r *wiretest.Engine) { r.State = wiretest.Draining })
		}
	}},
	{"the rows of six targets go, and come late", func(b *endingsBed) {
		for n := range crashTargets / 2 {
			b.store.Remove(platform.TableTargets, b.engines[n].id)
		}
		time.Sleep(3 * time.Second)
		for n := range crashTargets / 2 {
			b.row(n, func(*wiretest.Engine) {})
		}
	}},
	{"all rows of targets go", func(b *endingsBed) {
		for _, e := range b.engines {
			b.store.Remove(platform.TableTargets, e.id)
		}
	}},
	{"another writer puts rows under the ids of all targets", func(b *endingsBed) {
		for n := range crashTargets {
			b.row(n, func(r *wiretest.Engine) { r.Address = "nowhere" })
		}
	}},
	{"all targets are listed in another service", func(b *endingsBed) {
		for n := range crashTargets {
			b.row(n, func(r *wiretest.Engine) { r.Service = "o" })
		}
	}},
	{"the store is silent", func(b *endingsBed) { b.silenceStore(true) }},
	{"the store forgets what changed", func(b *endingsBed) { b.store.TrimHistory() }},
	{"entries hear nothing of one another", func(b *endingsBed) {
		for i := range endingsEntries {
			b.cutOff(i, true)
		}
	}},
	{"entries hear nothing of one another now and then", func(b *endingsBed) {
		for n := range 6 {
			b.cutOff(n%endingsEntries, true)
			time.Sleep(400 * time.Millisecond)
			b.cutOff(n%endingsEntries, false)
		}
	}},
}

// TestChangesBesideAnswersUnderWay has entries go through one change while answers are under way.
func TestChangesBesideAnswersUnderWay(t *testing.T) {
	for seed := *firstEndings; seed < *firstEndings+uint64(*endingsSeeds); seed++ {
		for _, h := range endingsHappenings {
			t.Run(fmt.Sprintf("seed %d, %s", seed, h.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := newEndingsBed(t, seed)
					b.check(b.play(endingsLength, h.do), none)
				})
			})
		}
	}
}

// TestHomesThatEndBesideAnswersUnderWay kills each entry in turn: the homes of the service and of the accounts move. What runs
// by way of another entry ends whole.
func TestHomesThatEndBesideAnswersUnderWay(t *testing.T) {
	for victim := range endingsEntries {
		for _, back := range []bool{false, true} {
			t.Run(fmt.Sprintf("entry %d, back %t", victim, back), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := newEndingsBed(t, *firstEndings)
					calls := b.play(endingsLength, func(b *endingsBed) {
						b.killEntry(victim)
						if back {
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

// replaceTargets ends the first targets, at which nothing runs, and starts others of a version in their places.
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

// TestARollBackBesideAnswersUnderWay has a version fail all calls and run streams well. It is rolled back, and the streams
// that its targets run end whole.
func TestARollBackBesideAnswersUnderWay(t *testing.T) {
	const trial ids.Version = "v2"
	synctest.Test(t, func(t *testing.T) {
		b := newEndingsBed(t, *firstEndings)
		b.bounds.ExposeFraction, b.bounds.ExposeSlack, b.bounds.Rollback = 0.1, 50, 5000
		b.restartAll()
		time.Sleep(2 * time.Second)
		b.store.Put(platform.TableOperators, "rollout/s", fmt.Appendf(nil, `{"service":"s","target_version":%q,"duration_s":20}`, trial))
		b.said.Lock()
		b.failing[trial] = true
		b.said.Unlock()
		b.replaceTargets(crashTargets/2, trial)
		calls := b.play(20*time.Second, func(*endingsBed) {})
		row, _ := b.store.Get(platform.TableStatus, "rollout/s")
		if !strings.Contains(string(row.Value), "rolled_back") {
			t.Errorf("the state is %s", row.Value)
		}
		streams, atTrial := calls[:0], 0
		for _, c := range calls {
			if strings.HasPrefix(c.path, "/stream/") || strings.HasPrefix(c.path, "/resume/") {
				streams = append(streams, c)
				atTrial += b.runs(b.onTrial, c.id)
			}
		}
		t.Logf("%d streams ran at the version on trial", atTrial)
		if atTrial == 0 {
			t.Error("no stream ran there")
		}
		b.check(streams, none)
	})
}
