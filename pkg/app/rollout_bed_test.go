package app

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/bulletin"
	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/dispatch"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
	"quaydock/pkg/random"
	"quaydock/pkg/schedule"
	"quaydock/pkg/view"
	"quaydock/platform"
	"quaydock/platform/storetest"
)

// rolloutBed is a few entries before targets of one service, a stand-in of the store, and an
// operator who rolls out a version, in virtual time. Only callers' connections and the way to
// the targets are left out.
type rolloutBed struct {
	t         *testing.T
	random    *rand.Rand
	store     *storetest.Store
	net       *network.Memory
	datagrams *packets.Memory
	began     time.Time
	order     rolloutOrder

	mu      sync.Mutex
	entries []*bedEntry
	engines map[ids.Target]*bedEngine
	cut     map[netip.AddrPort]bool // cut off from the other entries
	away    map[int]bool            // turned away by the store
	state   string                  // as the operator reads it
	states  []string
	rate    float64 // how many times the usual number of requests come

	reached    int // requests that reached the service between the order and the end of its time
	exposed    int // of these, those that reached the version on trial
	badAnswers []time.Time
	sentNew    []time.Time // to the version on trial
	cutShort   int         // requests that may not be repeated, cut by the stop of the old version
	served     int
	failed     int
}

// rolloutOrder is what the operator orders, and how the version is.
type rolloutOrder struct {
	within time.Duration
	bad    badness
}

// badness is in what way a version is bad.
type badness struct {
	part  float64 // of its answers; 0 if the version is good
	slow  float64 // how many times as long they take; 0 if they fail
	later float64 // from which part of the order's time on
	load  bool    // only on targets whose places are mostly taken
	route ids.Route
}

type bedEntry struct {
	process *entryProcess
	stop    context.CancelFunc
	peers   net.Listener
}

type bedEngine struct {
	id      ids.Target
	version string
	speed   float64
	running int
	grey    bool
	stopped chan struct{}
	once    sync.Once
}

func (e *bedEngine) end() { e.once.Do(func() { close(e.stopped) }) }

const (
	bedService = "s"
	bedSlots   = 8
	oldVersion = "v1"
	newVersion = "v2"
	startUp    = 3 * time.Second // before the order
)

// bedRoutes are the kinds of requests: how many a second of all, the mean number of their events,
// whether they may be repeated, and which part of them fails at any version.
var bedRoutes = []struct {
	name    ids.Route
	part    float64
	events  float64
	movable bool
	errors  float64
}{
	{"draft", 0.2, 30, true, 0.002},
	{"summary", 0.5, 20, false, 0.002},
	{"lookup", 0.3, 0, false, 0.1},
}

// bedLog, if set, is where entries log.
var bedLog func() *logrus.Entry

func entryAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1))
}

func storeAddress(i int) string { return fmt.Sprintf("10.200.1.%d:80", i+1) }

func newRolloutBed(t *testing.T, seed uint64, entries, engines int, order rolloutOrder) *rolloutBed {
	b := &rolloutBed{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), store: storetest.New(), net: network.NewMemory(nil), datagrams: packets.NewMemory(),
		began: time.Now(), order: order, engines: make(map[ids.Target]*bedEngine), cut: make(map[netip.AddrPort]bool), away: make(map[int]bool), rate: 1,
		entries: make([]*bedEntry, entries),
	}
	b.datagrams.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.cut[from] || b.cut[to]
	})
	for i := range entries {
		listener, err := b.net.Listen(storeAddress(i))
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: b.storeFor(i)}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	for i := range engines {
		b.startEngine(oldVersion, i)
	}
	for i := range entries {
		b.startEntry(i)
	}
	t.Cleanup(b.close)
	return b
}

// storeFor is the store as one entry reaches it.
func (b *rolloutBed) storeFor(i int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		away := b.away[i]
		b.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b.store.ServeHTTP(w, r)
	})
}

func (b *rolloutBed) close() {
	for i := range b.entries {
		b.stopEntry(i)
	}
	b.mu.Lock()
	for _, e := range b.engines {
		e.end()
	}
	b.mu.Unlock()
	time.Sleep(40 * time.Second) // until all has ended
}

func (b *rolloutBed) startEntry(i int) {
	c := commontest.New(b.net)
	c.Random = random.NewSource(uint64(1 + i + 100*len(b.states) + int(time.Since(b.began).Milliseconds())))
	if bedLog != nil {
		c.Log = bedLog().WithField("entry", i)
	}
	ctx, stop := context.WithCancel(context.Background())
	link := packets.NewLink(c, b.datagrams.Socket(entryAddress(i)))
	p := &entryProcess{Common: c, view: view.New(c.Check), link: link}
	p.bounds.Store(&platform.Bounds{ExposeShare: exposeShare, ExposeSlack: exposeSlack, Rollback: rollbackTime})
	p.store = platform.NewStore(b.net, storeAddress(i), func(string, string) {})
	p.members = membership.New(c, membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: entryAddress(i), Weight: 1, Domain: "d"}, p.store.Table(platform.TableMembers), link)
	p.board = bulletin.NewBoard(c, p.members, link)
	p.rollouts = newRollouts(c, p.view)
	p.dispatcher = dispatch.New(dispatch.Parts{
		Common: c, Address: entryAddress(i), Domain: "d", View: p.view, Members: p.members, Link: link, Notes: p.store.Table(platform.TableNotes),
		Local: schedule.NewLocal(c, p.view), Rollouts: p.rollouts.parts(p.exposure, p.store.Rollouts()),
	})
	peers, err := b.net.Listen(entryAddress(i).String())
	if err != nil {
		b.t.Fatal(err)
	}
	go p.board.Serve(peers)
	go link.Run(ctx)
	go p.members.Run(ctx)
	go p.dispatcher.Run(ctx)
	go p.board.Run(ctx)
	go p.followEntries(ctx)
	go p.followRest(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[i] = &bedEntry{process: p, stop: stop, peers: peers}
}

// stopEntry ends an entry without a word, as a kill does.
func (b *rolloutBed) stopEntry(i int) {
	b.mu.Lock()
	e := b.entries[i]
	b.entries[i] = nil
	b.mu.Unlock()
	if e == nil {
		return
	}
	e.stop()
	_ = e.peers.Close()
	e.process.store.Close()
}

func (b *rolloutBed) startEngine(version string, n int) {
	speeds := []float64{0.36, 1, 1.8}
	e := &bedEngine{id: ids.Target(fmt.Sprint(version, "-", n)), version: version, speed: speeds[n%len(speeds)], stopped: make(chan struct{})}
	b.mu.Lock()
	b.engines[e.id] = e
	b.mu.Unlock()
	b.list(e, "ready")
}

func (b *rolloutBed) list(e *bedEngine, state string) {
	b.store.Put(platform.TableTargets, string(e.id), fmt.Appendf(nil, `{"service":%q,"address":"10.9.0.1:80","zone":"d","version":%q,"slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":1}`, bedService, e.version, bedSlots, state))
}

// draw draws a number below n.
func (b *rolloutBed) draw(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

// sinceOrder is the time since the order, as a part of the time that it gives.
func (b *rolloutBed) sinceOrder() float64 {
	return float64(time.Since(b.began)-startUp) / float64(b.order.within)
}

// operate is the operator: it orders, starts the new version, and follows the state.
func (b *rolloutBed) operate(engines int) {
	time.Sleep(startUp - time.Since(b.began))
	b.store.Put(platform.TableOperators, "rollout/"+bedService, fmt.Appendf(nil, `{"service":%q,"target_version":%q,"duration_s":%g}`, bedService, newVersion, b.order.within.Seconds()))
	for i := range engines {
		time.Sleep(time.Duration(b.draw(60)) * time.Millisecond)
		b.startEngine(newVersion, i)
	}
	for time.Since(b.began) < startUp+b.order.within+20*time.Second {
		time.Sleep(20 * time.Millisecond)
		row, told := b.store.Get(platform.TableStatus, "rollout/"+bedService)
		if !told {
			continue
		}
		if b.follow(string(row.Value)) {
			return
		}
	}
}

// follow does what the operator does on a state; it reports whether that is the last.
func (b *rolloutBed) follow(state string) bool {
	b.mu.Lock()
	if state != b.state {
		b.states = append(b.states, fmt.Sprintf("%.2f %s", b.sinceOrder(), state))
	}
	b.state = state
	b.mu.Unlock()
	switch state {
	case fmt.Sprintf(`{"target_version":%q,"state":"completed"}`, newVersion):
		b.retire(oldVersion)
		return true
	case fmt.Sprintf(`{"target_version":%q,"state":"rolled_back"}`, newVersion):
		time.Sleep(2 * time.Second)
		b.mu.Lock()
		var leaving []*bedEngine
		for _, e := range b.engines {
			if e.version == newVersion {
				leaving = append(leaving, e)
			}
		}
		b.mu.Unlock()
		for _, e := range leaving {
			b.list(e, "draining")
		}
		time.Sleep(3 * time.Second)
		b.retire(newVersion)
		return true
	}
	return false
}

// retire stops the targets of a version at once.
func (b *rolloutBed) retire(version string) {
	b.mu.Lock()
	var ended []*bedEngine
	for _, e := range b.engines {
		if e.version == version {
			ended = append(ended, e)
		}
	}
	b.mu.Unlock()
	for _, e := range ended {
		e.end()
		b.store.Remove(platform.TableTargets, string(e.id))
	}
}

// load sends requests to the entries that run, until a moment.
func (b *rolloutBed) load(perSecond float64, until time.Duration) {
	var all sync.WaitGroup
	for time.Since(b.began) < until {
		b.mu.Lock()
		pause := b.random.ExpFloat64() / (perSecond * b.rate)
		i, kind, seed := b.random.IntN(len(b.entries)), b.random.Float64(), b.random.Uint64()
		e := b.entries[i]
		b.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		if e != nil && e.process.view.Directory() != nil { // others take no callers yet
			all.Go(func() { b.request(e, i, kind, rand.New(rand.NewPCG(seed, 1))) })
		}
	}
	all.Wait()
}

// request brings one request to a target and back.
func (b *rolloutBed) request(e *bedEntry, entry int, kind float64, random *rand.Rand) {
	n := 0
	for n < len(bedRoutes)-1 && kind > bedRoutes[n].part {
		kind -= bedRoutes[n].part
		n++
	}
	route := bedRoutes[n]
	events := int(route.events * math.Exp(0.8*random.NormFloat64()-0.32))
	guess := int(float64(events) * math.Exp(0.5*random.NormFloat64()))
	p := e.process
	now := p.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	ask := schedule.Ask{Service: bedService, Job: planner.Job{
		Arrived: now, Objective: clock.Second, Deadline: now + 15*clock.Second, Events: guess, Gap: 400, Movable: route.movable, Route: route.name, Tier: ids.TierRank(n),
	}}
	place, refused, err := p.dispatcher.Acquire(ctx, ask)
	if err != nil || refused != nil {
		return
	}
	b.run(entry, place, route.name, route.errors, events, route.movable, random)
}

// run is a request at its target.
func (b *rolloutBed) run(entry int, place schedule.Place, route ids.Route, errors float64, events int, movable bool, random *rand.Rand) {
	b.mu.Lock()
	e := b.engines[place.Target().ID]
	select {
	case <-e.stopped:
		b.mu.Unlock()
		place.Done(planner.Unreached, planner.Flow{})
		return
	default:
	}
	e.running++
	b.arrive(e, entry)
	took, failed, bad := b.answer(e, route, errors, events, random)
	first := took / time.Duration(1+events/2) // of a whole answer, all of its time
	b.mu.Unlock()
	ended := true
	select {
	case <-time.After(first):
		place.Began(nil)
		select {
		case <-time.After(took - first):
		case <-e.stopped:
			ended = false
		}
	case <-e.stopped:
		ended = false
	}
	b.mu.Lock()
	e.running--
	switch {
	case !ended:
		failed = true
		if e.version == oldVersion && !movable {
			b.cutShort++
		}
	case bad:
		b.badAnswers = append(b.badAnswers, time.Now())
	}
	if failed {
		b.failed++
	} else {
		b.served++
	}
	b.mu.Unlock()
	outcome := planner.Served
	if failed {
		outcome = planner.Failed
	}
	place.Done(outcome, planner.Flow{Events: events})
}

// arrive counts a request that has reached a target; the lock is held.
func (b *rolloutBed) arrive(e *bedEngine, entry int) {
	if at := b.sinceOrder(); at >= 0 && at <= 1 {
		b.reached++
		if e.version == newVersion {
			b.exposed++
		}
	}
	if e.version == newVersion && b.inTouch(entry) {
		b.sentNew = append(b.sentNew, time.Now())
	}
}

// inTouch reports whether an entry reaches the store and the others; the lock is held.
func (b *rolloutBed) inTouch(entry int) bool {
	return !b.away[entry] && !b.cut[entryAddress(entry)]
}

// answer draws how long an answer takes, whether it fails, and whether that is because the
// version is bad; the lock is held.
func (b *rolloutBed) answer(e *bedEngine, route ids.Route, errors float64, events int, random *rand.Rand) (took time.Duration, failed, bad bool) {
	const first, event = 40.0, 20.0 // ms
	ms := (first + event*float64(events)) * e.speed * (1 + 0.04*float64(e.running)) * math.Exp(0.2*random.NormFloat64())
	failed = random.Float64() < errors
	if e.grey && random.Float64() < 0.45 {
		failed = true
	}
	v := b.order.bad
	if e.version == newVersion && v.part > 0 && b.sinceOrder() >= v.later && (!v.load || e.running >= bedSlots*7/10) && (v.route == "" || v.route == route) && random.Float64() < v.part {
		bad = true
		if v.slow > 0 {
			ms *= v.slow
		} else {
			failed = true
		}
	}
	if failed {
		ms /= 2
	}
	return time.Duration(ms * float64(time.Millisecond)), failed, bad
}

const (
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * clock.Second
)
