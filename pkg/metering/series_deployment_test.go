package metering_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/metering"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
	"quaydock/pkg/random"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
)

// series is a deployment in which entries live, die and start again one by one, beside a store that
// each may or may not reach, while callers ask for far more than the account's limit.
type series struct {
	common.Common
	ctx     context.Context
	seed    uint64
	random  *rand.Rand // used by the test's own goroutine; callers have their own
	net     *packets.Memory
	store   *entryStore
	entries []*seriesEntry
	bounds  metering.Bounds
	limits  []limit // all that ever applied, the newest last
	load    load
	// revision is that of the newest catalog.
	revision atomic.Int64

	mu      sync.Mutex // guards ran and refused, and entries while one is added
	ran     []run      // requests that ran, or will
	refused float64    // units that were refused
}

// limit is an account's limit and the time for which it applied.
type limit struct {
	account  *routing.Account
	from, to clock.Millis
}

// load is what callers ask for, and what becomes of admitted requests.
type load struct {
	workers          int                      // callers of each entry, which each send one request after the other
	pause            time.Duration            // between two requests of a caller
	units            func(*rand.Rand) float64 // draws the units of a request
	returnedFraction float64                  // the fraction that is given back, and does not run
	maxDelay         time.Duration            // from the admission until the request runs or is given back
}

// run is a request that ran.
type run struct {
	sent, began clock.Millis // when it was admitted, and when it began to run at its target
	units       float64
}

// seriesEntry is an entry through all its incarnations.
type seriesEntry struct {
	weight           float64 // the probability that its callers send a request at all
	account          atomic.Pointer[routing.Account]
	idle             atomic.Bool                 // no callers come to it
	storePartitioned atomic.Bool                 // it does not reach the store
	lastStoreContact atomic.Int64                // when it last reached the store, in ms; valid while it is partitioned
	current          atomic.Pointer[incarnation] // nil while no process runs
}

// incarnation is one process of an entry.
type incarnation struct {
	ctx     context.Context
	stop    context.CancelFunc
	meter   *metering.Meter
	members *membership.Members
	view    *view.View
	load    load // as it was set when the process started
}

// entryStore keeps the rows of the entries.
type entryStore struct {
	mu   sync.Mutex
	rows map[string]follow.Row
	// onChange is called with changed rows, without the lock.
	onChange func(follow.Row)
}

// storeClient is the store as one entry reaches it.
type storeClient struct {
	store *entryStore
	entry *seriesEntry
}

var errStoreUnavailable = errors.New("the store is unavailable")

// noEnd is the end of a limit in force.
const noEnd = clock.Millis(math.MaxInt64 / 2)

func (s storeClient) Put(_ context.Context, key string, value []byte) error {
	return s.change(follow.Row{Key: key, Value: value})
}

func (s storeClient) PutAll(_ context.Context, rows map[string][]byte) error {
	for key, value := range rows {
		if err := s.change(follow.Row{Key: key, Value: value}); err != nil {
			return err
		}
	}
	return nil
}

func (s storeClient) Remove(_ context.Context, keys ...string) error {
	for _, key := range keys {
		if err := s.change(follow.Row{Key: key, Gone: true}); err != nil {
			return err
		}
	}
	return nil
}

// change writes or removes a row and notifies the entries. It fails while the entry does not reach the store.
func (s storeClient) change(row follow.Row) error {
	if s.entry.storePartitioned.Load() {
		return errStoreUnavailable
	}
	s.store.mu.Lock()
	if row.Gone {
		delete(s.store.rows, row.Key)
	} else {
		s.store.rows[row.Key] = row
	}
	s.store.mu.Unlock()
	s.store.onChange(row)
	return nil
}

// list returns all rows, in no order.
func (s *entryStore) list() []follow.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []follow.Row
	for _, row := range s.rows {
		list = append(list, row)
	}
	return list
}

// newSeries returns a deployment of a drawn size and account, in which all entries are listed and none runs.
func newSeries(t *testing.T, seed uint64) *series {
	drawn := rand.New(rand.NewPCG(seed, 44))
	s := &series{
		Common: commontest.New(network.NewMemory(nil)), ctx: t.Context(), seed: seed, random: drawn, net: packets.NewMemory(),
		store:  &entryStore{rows: make(map[string]follow.Row)},
		bounds: metering.Bounds{Over: 0.1, Slack: 140_000, Window: window},
	}
	s.Random = random.NewSource(seed + 1)
	s.store.onChange = s.notifyEntries
	rate := []float64{36_000, 100_000, 400_000}[drawn.IntN(3)]
	s.setLimit(rate, rate*[]float64{0.25, 1, 1.8}[drawn.IntN(3)])
	s.load = load{workers: 2, pause: *seriesPause, maxDelay: time.Duration(drawn.IntN(1500)) * time.Millisecond}
	size := rate / 50
	s.load.units = func(r *rand.Rand) float64 { return min(rate/2, size*math.Exp(0.7*r.NormFloat64())) }
	s.load.returnedFraction = []float64{0, 0, 0.3, 0.7}[drawn.IntN(4)]
	for i := range []int{3, 4, 4, 6}[drawn.IntN(4)] {
		s.add()
		s.store.rows[row(i).Key] = row(i)
	}
	return s
}

// add adds an entry that knows the newest limit and does not run yet.
func (s *series) add() {
	e := &seriesEntry{weight: []float64{0.1, 1, 1, 1}[s.random.IntN(4)]}
	e.account.Store(s.limits[len(s.limits)-1].account)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, e)
}

// setLimit gives the account another limit, which entries learn within 300 ms.
func (s *series) setLimit(rate, burst float64) {
	account := &routing.Account{Name: "a", Keys: []string{"k"}, PerSecond: rate, Burst: burst, CountsTokens: true}
	now := s.Clock.Now()
	if n := len(s.limits); n > 0 {
		s.limits[n-1].to = now
	}
	s.limits = append(s.limits, limit{account: account, from: now, to: noEnd})
	for _, e := range s.entries {
		time.AfterFunc(time.Duration(s.random.IntN(300))*time.Millisecond, func() {
			e.account.Store(account)
			if l := e.current.Load(); l != nil {
				l.view.SetCatalog(s.catalogOf(account))
			}
		})
	}
}

// catalogOf returns a catalog of the next revision with one account.
func (s *series) catalogOf(account *routing.Account) *routing.Catalog {
	return routing.NewCatalog(routing.Revision(s.revision.Add(1)), routing.Limits{}, nil, nil, routing.Accounts{List: []*routing.Account{account}})
}

// notifyEntries reports a changed row to the entries that reach the store.
func (s *series) notifyEntries(row follow.Row) {
	s.mu.Lock()
	entries := slices.Clone(s.entries)
	s.mu.Unlock()
	for _, e := range entries {
		l := e.current.Load()
		if l == nil || e.storePartitioned.Load() {
			continue
		}
		time.AfterFunc(5*time.Millisecond, func() {
			if l.ctx.Err() == nil {
				l.members.Changed([]follow.Row{row}, follow.Freshness{})
			}
		})
	}
}

// setStorePartitioned partitions an entry from the store, or restores the connection.
func (s *series) setStorePartitioned(e *seriesEntry, partitioned bool) {
	if partitioned && !e.storePartitioned.Load() {
		e.lastStoreContact.Store(int64(s.Clock.Now()))
	}
	e.storePartitioned.Store(partitioned)
}

// maxOutageWithMajority is how long an entry that most others take for alive goes on without the store, and
// maxOutageAlone how long the others do: after that, what they know of keys may be too old.
const (
	maxOutageWithMajority = 60 * clock.Second
	maxOutageAlone        = membership.ForgetAfter - clock.Second/2
)

// canAdmit reports whether an entry has callers and knows enough to admit requests.
func (s *series) canAdmit(e *seriesEntry, l *incarnation) bool {
	lastContact := clock.Millis(e.lastStoreContact.Load())
	return !e.idle.Load() && (!e.storePartitioned.Load() || s.Clock.Now()-lastContact <= maxOutageAlone || l.members.HoldsLease(lastContact))
}

// start starts a process of an entry. It reads a list after a while: the given one, or the store's if nil.
func (s *series) start(i int, after time.Duration, list []follow.Row) {
	e := s.entries[i]
	ctx, end := context.WithCancel(s.ctx)
	link := packets.NewLink(s.Common, s.net.Socket(address(i)))
	self := membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: address(i), Weight: 1}
	l := &incarnation{ctx: ctx, stop: end, view: view.New(s.Check), members: membership.New(s.Common, self, storeClient{s.store, e}, link), load: s.load}
	l.members.SetGrace(maxOutageWithMajority)
	l.view.SetCatalog(s.catalogOf(e.account.Load()))
	l.meter = metering.New(s.Common, s.bounds, l.view, l.members, link)
	e.current.Store(l)
	go link.Run(ctx)
	go l.members.Run(ctx)
	time.AfterFunc(after, func() { s.readList(l, e, list) })
	for range l.load.workers {
		go s.runCaller(e, l, rand.New(rand.NewPCG(s.Random.Fork().Uint64(), 0)))
	}
}

// readList has an entry read a list, and try again while it does not reach the store.
func (s *series) readList(l *incarnation, e *seriesEntry, list []follow.Row) {
	switch {
	case l.ctx.Err() != nil:
	case list != nil:
		l.members.Snapshot(list, follow.Freshness{})
	case !e.storePartitioned.Load():
		l.members.Snapshot(s.store.list(), follow.Freshness{})
	default:
		time.AfterFunc(50*time.Millisecond, func() { s.readList(l, e, nil) })
	}
}

// kill ends an entry's process.
func (s *series) kill(i int) {
	if l := s.entries[i].current.Swap(nil); l != nil {
		l.stop()
	}
}

// runCaller sends requests for as long as a process lives.
func (s *series) runCaller(e *seriesEntry, l *incarnation, r *rand.Rand) {
	for l.ctx.Err() == nil {
		clock.Pause(l.ctx, clock.Millis(l.load.pause.Milliseconds()))
		if !s.canAdmit(e, l) || r.Float64() > e.weight {
			continue
		}
		account := e.account.Load()
		units := l.load.units(r)
		taken, _ := l.meter.Take(l.ctx, account, units, 0)
		switch {
		case l.ctx.Err() != nil:
		case taken:
			s.settle(l, account, units, r)
		default:
			s.mu.Lock()
			s.refused += units
			s.mu.Unlock()
		}
	}
}

// settle has an admitted request run after a while, or gives its units back then. A request whose process has died
// meanwhile still runs if it had been sent to its target.
func (s *series) settle(l *incarnation, account *routing.Account, units float64, r *rand.Rand) {
	sent := s.Clock.Now()
	after := time.Duration(r.Float64() * float64(l.load.maxDelay))
	if r.Float64() >= l.load.returnedFraction {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ran = append(s.ran, run{sent: sent, began: sent + clock.Millis(after.Milliseconds()), units: units})
		return
	}
	time.AfterFunc(after, func() {
		if l.ctx.Err() == nil {
			l.meter.Return(account, units, sent)
		}
	})
}

// lowerAfter is how long after a change a window counts against the lower limit alone: entries learn
// it within 300 ms, and it takes effect a window later.
const lowerAfter = window + 300*clock.Millisecond

// limitAt is how many units may be used in a window that begins at a moment, by the highest of the limits that may
// still, or already, hold in it.
func (s *series) limitAt(from clock.Millis) float64 {
	highest := 0.0
	for _, l := range s.limits {
		if l.from <= from+window && from <= l.to+lowerAfter {
			const seconds = float64(window) / float64(clock.Second)
			highest = max(highest, (l.account.PerSecond*seconds+l.account.Burst)*(1+s.bounds.Over)+s.bounds.Slack)
		}
	}
	return highest
}

// maxLimitFraction is the largest fraction of its limit that any window used, by when requests were sent and by when
// they began to run.
func (s *series) maxLimitFraction() (bySent, byRun float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxFractionBy(func(r run) clock.Millis { return r.sent }), s.maxFractionBy(func(r run) clock.Millis { return r.began })
}

// maxFractionBy is the largest fraction of its limit that any window used, by the given time of a request. The lock is
// held.
func (s *series) maxFractionBy(at func(run) clock.Millis) float64 {
	all := slices.Clone(s.ran)
	slices.SortFunc(all, func(a, b run) int { return int(at(a) - at(b)) })
	highest, sum, end := 0.0, 0.0, 0
	for _, first := range all {
		for end < len(all) && at(all[end]) < at(first)+window {
			sum += all[end].units
			end++
		}
		highest = max(highest, sum/s.limitAt(at(first)))
		sum -= first.units
	}
	return highest
}

// owner is the index of the entry that most running ones take for the account's owner.
func (s *series) owner() int {
	votes := make([]int, len(s.entries))
	for _, e := range s.entries {
		if l := e.current.Load(); l != nil {
			at, _ := l.members.Owner("account/a")
			for i := range s.entries {
				if at == address(i) {
					votes[i]++
				}
			}
		}
	}
	return slices.Index(votes, slices.Max(votes))
}

// pause sleeps for a drawn time between two limits, in ms.
func (s *series) pause(shortest, longest int) {
	time.Sleep(s.randomDuration(shortest, longest))
}

// randomDuration draws a duration between two limits, in ms.
func (s *series) randomDuration(shortest, longest int) time.Duration {
	return time.Duration(shortest+s.random.IntN(longest-shortest+1)) * time.Millisecond
}

// resetCounts drops what has run and what was refused.
func (s *series) resetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran, s.refused = nil, 0
}

// refusedFraction is the fraction of the requested units that was refused.
func (s *series) refusedFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	requested := s.refused
	for _, r := range s.ran {
		requested += r.units
	}
	return s.refused / requested
}
