package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
	"quaydock/pkg/random"
	"quaydock/pkg/schedule"
	"quaydock/platform"
	"quaydock/platform/storetest"
	"quaydock/platform/wiretest"
)

// crashBed runs complete entries, in virtual time, between callers and simulated targets whose processes end while
// they run a request with a fatal body. A target that ended starts again under a new id after restartDelay.
type crashBed struct {
	t         *testing.T
	seed      uint64
	store     *storetest.Store
	net       *network.Memory
	datagrams *packets.Memory
	began     time.Time     // 0 of the bed's times: after all has started
	entries   []*crashEntry // nil for an entry that does not run

	mu               sync.Mutex
	random           *rand.Rand
	engines          []*crashEngine             // the present or last incarnation of each target
	started          int                        // starts of targets and entries, for new ids and seeds
	longRuns         bool                       // some requests run longer by longWork
	domains          int                        // number of the targets' failure domains; 0 is the entries' own
	entryDomains     int                        // number of the entries' failure domains; 0 is one for all
	cold             time.Duration              // slow start of targets that start from now on
	coldRate         float64                    // requests a second that a cold target can take; 0 is no limit
	sameIDs          bool                       // targets that ended start again under their former ids
	breakFraction    float64                    // fraction of the answers that targets break off
	closed           bool                       // the test is over: no target starts any more
	partitioned      map[netip.AddrPort]bool    // entries partitioned from the other entries
	lossRate         float64                    // fraction of the datagrams that are lost
	unreachable      map[int]bool               // entries for which the store is unreachable
	unreachableCalls int                        // store calls of these entries
	ends             map[string][]time.Duration // by body: when each target ended under it
	reached          map[string][]time.Duration // by fatal body: when each attempt reached a target
	backgroundCalls  []backgroundCall           // in the order of their answers
	// bytes counts the bytes that the entries have sent in datagrams, by kind.
	bytes map[packets.Kind]int
	// bounds apply to entries that start from now on.
	bounds platform.Bounds
	// firstStart tells entries that start from now on that the system starts for the first time.
	firstStart bool
	// version is the version of targets that start from now on; empty means "v1".
	version  ids.Version
	service  ids.Service // of targets that start from now on; empty means "s"
	memoryMB int         // of each entry's VM; 0 if not known
	// intercept, if set, is called for each request that reaches its intended target, and reports whether it has
	// answered the request. It has to be set before the first request.
	intercept func(e *crashEngine, w http.ResponseWriter, r *http.Request) bool
}

// backgroundCall is a request of the background load and its result.
type backgroundCall struct {
	at     time.Duration // when it was sent
	body   string
	status int    // 0 without an answer
	text   string // of the answer
}

// crashEntry is one run of an entry's process.
type crashEntry struct {
	process *entryProcess
	net     *processNetwork
	stop    context.CancelFunc // ends what start started
}

const (
	restartDelay    = 1500 * time.Millisecond // from the end of a target to its next start
	rowExpiry       = 1300 * time.Millisecond // from the end of a target to the expiry of its row
	fatalWork       = 20 * time.Millisecond   // from the start of a fatal request to the target end
	crashWork       = 15 * time.Millisecond   // run time of an ordinary request
	longWork        = 250 * time.Millisecond  // additional run time of one request in longOneIn
	longOneIn       = 5
	crashTargets    = 12              // number of targets, unless a test gives another one
	coldTime        = 3 * time.Second // length of the slow start in the service's configuration
	crashSlots      = 8               // of each target
	propagationTime = 3 * time.Second // within which all entries must know of a target end
)

// fatalPrefix begins the bodies of requests under which targets end.
const fatalPrefix = "fatal"

// newCrashBed starts a store, targets and entries, and waits until they have settled.
func newCrashBed(t *testing.T, seed uint64, entries int) *crashBed {
	return newCrashBedOf(t, seed, entries, crashTargets)
}

// newCrashBedOf is newCrashBed with a given number of targets.
func newCrashBedOf(t *testing.T, seed uint64, entries, targets int) *crashBed {
	return newCrashBedIn(t, seed, entries, targets, 0)
}

// newCrashBedIn is newCrashBedOf with the targets in a given number of failure domains.
func newCrashBedIn(t *testing.T, seed uint64, entries, targets, domains int) *crashBed {
	return newBed(t, seed, entries, targets, domains, false)
}

// newBed is newCrashBedIn; if empty is set, it starts no target and no entry.
func newBed(t *testing.T, seed uint64, entries, targets, domains int, empty bool) *crashBed {
	b := &crashBed{
		domains: domains,
		t:       t, seed: seed, store: storetest.New(), net: network.NewMemory(nil), datagrams: packets.NewMemory(), began: time.Now(),
		entries: make([]*crashEntry, entries), engines: make([]*crashEngine, targets), random: rand.New(rand.NewPCG(seed, 9)),
		partitioned: make(map[netip.AddrPort]bool), unreachable: make(map[int]bool), ends: make(map[string][]time.Duration), reached: make(map[string][]time.Duration),
		bytes:  make(map[packets.Kind]int),
		bounds: platform.Bounds{GraceSeconds: 6, Revoke: 60_000, RetryRatio: 0.2, RetryWindowSeconds: 10, RetrySlack: 60},
	}
	b.datagrams.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.partitioned[from] || b.partitioned[to] || b.lossRate > 0 && b.random.Float64() < b.lossRate
	})
	b.configure(1)
	for i := range entries {
		b.serveStore(i)
	}
	t.Cleanup(b.close)
	if empty {
		return b
	}
	b.startTargetsAndEntries(2 * time.Second)
	return b
}

// startTargetsAndEntries starts all targets and entries and waits until they have settled, from when on the bed counts time.
func (b *crashBed) startTargetsAndEntries(settling time.Duration) {
	for n := range b.engines {
		b.startEngine(n)
	}
	for i := range b.entries {
		b.startEntry(i)
	}
	time.Sleep(settling)
	b.began = time.Now()
}

// configure writes a version of the configuration to the store.
func (b *crashBed) configure(version int) {
	configuration := b.configuration(version)
	b.store.Put(platform.TableOperators, platform.KeyConfiguration, configuration.Row())
}

// configuration returns a version of the configuration.
func (b *crashBed) configuration(version int) wiretest.Configuration {
	route := func(name string, attempts int) wiretest.Route {
		return wiretest.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: name, Timeout: 3000, Objective: 500, Attempts: attempts, Service: "s"}
	}
	return wiretest.Configuration{
		Version: version, Routes: []wiretest.Route{route("safe", 2), route("unsafe", 1)}, Services: []wiretest.Service{{Name: "s", Connections: 200, ColdSeconds: coldTime.Seconds(), ColdRate: b.coldRate}},
		Limits:   wiretest.Limits{BodyBytes: 100_000},
		Accounts: []wiretest.Account{{Name: "acme", Keys: []string{"key-a"}}, {Name: "other", Keys: []string{"key-o"}}},
	}
}

// serveStore serves the store at an address of its own for each entry, so that it can be unreachable for one of them.
func (b *crashBed) serveStore(i int) {
	listener, err := b.net.Listen(storeAddress(i))
	if err != nil {
		b.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		unreachable := b.unreachable[i]
		if unreachable {
			b.unreachableCalls++
		}
		b.mu.Unlock()
		if unreachable {
			panic(http.ErrAbortHandler)
		}
		b.store.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	b.t.Cleanup(func() { _ = server.Close() })
}

// address is the address of an entry for messages between entries.
func (b *crashBed) address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(entryIP(i) + ":7600")
}

func entryIP(i int) string { return fmt.Sprintf("10.0.%d.%d", i/200, 1+i%200) }

// startEntry starts an entry, with the present bounds and a new seed.
func (b *crashBed) startEntry(i int) {
	b.mu.Lock()
	b.started++
	seed, bounds, firstStart := b.seed*1000+uint64(b.started), b.bounds, b.firstStart
	b.mu.Unlock()
	own := newProcessNetwork(b.net)
	c := commontest.New(own)
	c.Random = random.NewSource(seed)
	if bedLog != nil {
		c.Log = bedLog().WithField("entry", i)
	}
	s := platform.Settings{
		Process: ids.Process(fmt.Sprint("entry-", i)), IP: entryIP(i), Domain: b.entryDomain(i), Internal: []int{7600, 7615},
		Listen: platform.Listen{Callers: entryIP(i) + ":80", Ready: entryIP(i) + ":81"},
		Bounds: bounds, Limits: platform.VMLimits{MemoryMB: b.memoryMB},
		Store: platform.StoreSettings{Address: storeAddress(i)}, Bootstrap: firstStart,
	}
	ctx, stop := context.WithCancel(context.Background())
	link := packets.NewLink(c, b.counted(b.datagrams.Socket(netip.MustParseAddrPort(s.InternalAddress(0)))))
	p, err := newEntryProcess(c, s, entryOptions{policy: schedule.Planned}, link)
	if err != nil {
		b.t.Fatal(err)
	}
	if err := p.start(ctx); err != nil {
		b.t.Fatal(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[i] = &crashEntry{process: p, net: own, stop: stop}
}

// entryDomain is the failure domain of an entry: the same for all, or one of entryDomains in rotation.
func (b *crashBed) entryDomain(i int) ids.FailureDomain {
	if b.entryDomains == 0 {
		return "d"
	}
	return ids.FailureDomain(fmt.Sprint("d", i%b.entryDomains))
}

// killEntry ends an entry without a drain, as a kill of its process does.
func (b *crashBed) killEntry(i int) {
	b.mu.Lock()
	e := b.entries[i]
	b.entries[i] = nil
	b.mu.Unlock()
	if e == nil {
		return
	}
	e.stop()
	e.net.end()
	e.process.controller.End()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.process.callers.Shutdown(expired) // does not wait for requests
	e.process.pool.Close()
	e.process.store.Close()
}

// restartAll kills all entries at the same time and starts them again 300 ms later.
func (b *crashBed) restartAll() {
	for i := range b.entries {
		b.killEntry(i)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range b.entries {
		b.startEntry(i)
	}
}

// close ends all entries and targets when the test ends.
func (b *crashBed) close() {
	for i := range b.entries {
		b.killEntry(i)
	}
	b.mu.Lock()
	b.closed = true
	engines := slices.Clone(b.engines)
	b.mu.Unlock()
	for _, e := range engines {
		if e != nil {
			e.end()
		}
	}
	time.Sleep(time.Minute) // until all goroutines have ended
}

// now is the time since all has started.
func (b *crashBed) now() time.Duration { return time.Since(b.began) }

// returnFromCopy takes a copy of the store and has the store return from it at an age, after half a second away.
// Operators and targets write what was lost again after a pause.
func (b *crashBed) returnFromCopy(age, pause time.Duration) {
	b.store.Copy()
	time.Sleep(age)
	b.store.ReturnFromCopyAfter(500 * time.Millisecond)
	time.Sleep(pause)
	b.store.RewriteLost(platform.TableOperators, platform.TableTargets)
}

// setStoreDown makes the store unreachable for all entries, or reachable again.
func (b *crashBed) setStoreDown(down bool) {
	for i := range b.entries {
		b.setStoreUnreachable(i, down)
	}
}

// setStoreUnreachable makes the store unreachable for one entry, or reachable again.
func (b *crashBed) setStoreUnreachable(i int, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreachable[i] = unreachable
}
