package app

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
	"quaydock/pkg/schedule"
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
	scattered *scattered
	stalls    stalls
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
	arrivals   []string // which request reached which target when
}

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

func storeAddress(i int) string { return fmt.Sprintf("10.200.1.%d:80", i+1) }

func newRolloutBed(t *testing.T, seed uint64, order rolloutOrder) *rolloutBed {
	b := &rolloutBed{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), store: storetest.New(), net: network.NewMemory(nil), datagrams: packets.NewMemory(), scattered: &scattered{seed: seed, began: time.Now()}, stalls: stalls{entries: make(map[int]time.Time), targets: make(map[ids.Target]time.Time)},
		began: time.Now(), order: order, engines: make(map[ids.Target]*bedEngine), cut: make(map[netip.AddrPort]bool), away: make(map[int]bool), rate: 1,
		entries: make([]*bedEntry, playEntries),
	}
	t.Cleanup(func() { time.Sleep(time.Second) }) // until what was closed last has been
	b.datagrams.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.cut[from] || b.cut[to]
	})
	for i := range playEntries {
		listener, err := scatteredNetwork{Network: b.net, by: b.scattered}.Listen(storeAddress(i))
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: b.storeFor(i)}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	for i := range playEngines {
		b.startEngine(oldVersion, i)
	}
	for i := range playEntries {
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

// draw draws a number below n.
func (b *rolloutBed) draw(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

// load sends requests to the entries that run, until a moment.
func (b *rolloutBed) load(until time.Duration) {
	var all sync.WaitGroup
	for time.Since(b.began) < until {
		b.mu.Lock()
		pause := b.random.ExpFloat64() / (playRate * b.rate)
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
	b.stalls.pass(entry, "")
	now := p.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	ask := schedule.Request{Service: bedService, Job: planner.Job{
		Arrived: now, Objective: clock.Second, Deadline: now + 15*clock.Second, Events: guess, Gap: 400, Movable: route.movable, Route: route.name, Tier: ids.TierRank(n),
	}}
	place, refused, err := p.dispatcher.Acquire(ctx, ask)
	if err != nil || refused != nil {
		return
	}
	onTheWay(random)
	b.run(entry, place, route.name, route.errors, events, route.movable, random)
}

// onTheWay waits for as long as a message of a request takes.
func onTheWay(random *rand.Rand) {
	time.Sleep(leastWay + time.Duration(random.Int64N(int64(wayVary))))
}

// run is a request at its target.
func (b *rolloutBed) run(entry int, place schedule.Assignment, route ids.Route, errors float64, events int, movable bool, random *rand.Rand) {
	b.mu.Lock()
	e := b.engines[place.Target().ID]
	select {
	case <-e.stopped:
		b.mu.Unlock()
		place.Done(planner.Unreached, planner.StreamStats{})
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
		b.stalls.pass(entry, e.id)
		place.Began(nil)
		select {
		case <-time.After(took - first):
			b.stalls.pass(entry, e.id)
		case <-e.stopped:
			ended = false
		}
	case <-e.stopped:
		ended = false
	}
	if !ended {
		onTheWay(random) // an end meets many at once
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
	place.Done(outcome, planner.StreamStats{Events: events})
}

// arrive counts a request that has reached a target; the lock is held.
func (b *rolloutBed) arrive(e *bedEngine, entry int) {
	b.arrivals = append(b.arrivals, fmt.Sprint(time.Since(b.began), " from entry ", entry, " at ", e.id))
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

const (
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * clock.Second
)
