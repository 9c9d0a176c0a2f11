package feedrelay_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/commontest"
	"quaydock/pkg/feedrelay"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
)

// store simulates the store with one table that entries read. It may reject some entries or not answer them.
type store struct {
	began time.Time // when the store's clock was 0

	mu             sync.Mutex       // guards the fields below
	history        history.Position // of the last put; other tables share the counter
	log            []follow.Row     // the rows in the order in which they were put
	at             []int64          // the version of each of them
	copied         contents         // the last copy
	putAt          []clock.Millis   // when each row was put, since began
	changed        chan struct{}    // closed and replaced by the next put
	calls          int              // of all entries
	rejected       map[int]bool     // entries whose calls are rejected
	unanswered     map[int]bool     // entries whose new calls get no answer
	heldUnanswered map[int]bool     // entries whose held calls get no answer
}

var errRejected = errors.New("rejected by the store")

// put writes a row, and answers the calls that wait for a change.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Version += 3 // other tables share the counter
	s.log = append(s.log, follow.Row{Key: key, Value: []byte(value)})
	s.at = append(s.at, s.history.Version)
	s.putAt = append(s.putAt, s.now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// now returns the store's clock.
func (s *store) now() clock.Millis {
	return clock.Millis(time.Since(s.began).Milliseconds())
}

// contents is what the store loses back to when it returns from a copy.
type contents struct {
	version int64
	log     []follow.Row
	at      []int64
	putAt   []clock.Millis
}

// copy takes a copy of the contents.
func (s *store) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = contents{s.history.Version, slices.Clone(s.log), slices.Clone(s.at), slices.Clone(s.putAt)}
}

// returnFromCopy drops what was put since the last copy, and begins a new era.
func (s *store) returnFromCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copied
	s.history = history.At(s.history.Era+1, c.version)
	s.log, s.at, s.putAt = slices.Clone(c.log), slices.Clone(c.at), slices.Clone(c.putAt)
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes after a version, and a channel that is closed by the next change.
func (s *store) since(after int64) (follow.Batch, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := follow.Batch{Position: s.history, StoreTime: s.now()}
	for i, r := range s.log {
		if s.at[i] > after {
			b.Rows = append(b.Rows, r)
		}
	}
	return b, s.changed
}

// client is one entry's client of the store.
type client struct {
	*store
	entry int
}

// call counts a call, and returns an error if the entry is rejected, or when ctx ends if it gets no answer.
func (c client) call(ctx context.Context) error {
	c.mu.Lock()
	c.calls++
	rejected, unanswered := c.rejected[c.entry], c.unanswered[c.entry]
	c.mu.Unlock()
	switch {
	case unanswered:
		<-ctx.Done()
		return ctx.Err()
	case rejected:
		return errRejected
	default:
		return nil
	}
}

func (c client) Snapshot(ctx context.Context) (follow.Batch, error) {
	b, _ := c.since(0)
	return b, c.call(ctx)
}

// Changes answers at the next change, or after wait, as the store does, or never if the entry's held calls get no
// answer.
func (c client) Changes(ctx context.Context, after history.Position, wait clock.Millis) (follow.Batch, error) {
	if err := c.call(ctx); err != nil {
		return follow.Batch{}, err
	}
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		heldUnanswered := c.heldUnanswered[c.entry]
		c.mu.Unlock()
		if heldUnanswered {
			<-ctx.Done()
			return follow.Batch{}, ctx.Err()
		}
		b, changed := c.since(after.Version)
		if b.Position.Before(after) {
			return follow.Batch{}, follow.ErrTrimmed
		}
		if err := follow.CheckEra(after.Era, b.Position.Era); err != nil || len(b.Rows) > 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			b, _ = c.since(after.Version)
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// entry follows the table and records what it received.
type entry struct {
	mu         sync.Mutex           // guards the fields below
	rows       map[string]string    // values by key
	receivedAt map[string]time.Time // when each key was first received
	freshAt    clock.Millis         // the latest moment at which it claims to have been current
}

func newEntry() *entry {
	return &entry{rows: make(map[string]string), receivedAt: make(map[string]time.Time)}
}

// knows reports whether the entry has a row of the table.
func (e *entry) knows(key string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.rows[key]
	return known
}

func (e *entry) Snapshot(rows []follow.Row, p follow.Freshness) { e.Changed(rows, p) }

func (e *entry) Changed(rows []follow.Row, p follow.Freshness) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range rows {
		e.rows[r.Key] = string(r.Value)
		if _, known := e.receivedAt[r.Key]; !known {
			e.receivedAt[r.Key] = time.Now()
		}
	}
	e.freshAt = max(e.freshAt, p.CurrentAt)
}

func (e *entry) ReadFailed(error) {}

// freshnessTime returns the latest moment, by the entries' clock, at which the entry claims to have been current.
func (e *entry) freshnessTime() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.freshAt
}

// entryCount is the number of entries of most tests.
const entryCount = 5

// cluster is some entries that follow the table of one store, with faults between all of them.
type cluster struct {
	common.Common
	net     *packets.Memory
	faults  *network.Faults // faults of the streams between entries
	store   *store
	entries []*entry // as members and stops, by entry; nil for one that was never started
	members []*membership.Members
	stops   []context.CancelFunc // each stops one entry
	// contexts are those of the running entries, by entry.
	contexts map[int]context.Context
	listed   []follow.Row // the rows of all entries in the list of entries

	mu   sync.Mutex                 // guards lost
	lost map[[2]netip.AddrPort]bool // sender and receiver of lost datagrams
}

// reject has the store reject the calls of an entry.
func (b *cluster) reject(entry int) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.rejected[entry] = true
}

// accept ends reject.
func (b *cluster) accept(entry int) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.rejected[entry] = false
}

// leaveUnanswered has the store never answer the further calls of an entry.
func (b *cluster) leaveUnanswered(entry int) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.unanswered[entry] = true
}

// leaveHeldUnanswered has the store never answer the calls that it holds for an entry.
func (b *cluster) leaveHeldUnanswered(entry int) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.heldUnanswered[entry] = true
}

// setLoss has datagrams from one entry to another be lost if draw is 0, and delivered otherwise.
func (b *cluster) setLoss(from, to, draw int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lost[[2]netip.AddrPort{address(from), address(to)}] = draw == 0
}

// lossy reports whether datagrams from one address to another are lost.
func (b *cluster) lossy(from, to netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost[[2]netip.AddrPort{from, to}]
}

// checkFreshness reports entries that lack a row from before the moment at which they claim to have
// been current.
func (b *cluster) checkFreshness(t *testing.T) {
	t.Helper()
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	began := b.Clock.Now() - b.store.now()
	for i, e := range b.entries {
		freshAt := e.freshnessTime() - began
		e.mu.Lock()
		for n, r := range b.store.log {
			if _, has := e.rows[r.Key]; !has && b.store.putAt[n] < freshAt {
				t.Errorf("entry %d claims to be current at %d ms, but lacks %s put at %d ms", i, freshAt, r.Key, b.store.putAt[n])
			}
		}
		e.mu.Unlock()
	}
}

// address is the address of the ith entry for messages between entries.
func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7600", i/200, i%200+1))
}

func newCluster(t *testing.T) *cluster { return newClusterOf(t, entryCount) }

// newClusterOf runs a number of entries until their membership has settled.
func newClusterOf(t *testing.T, entries int) *cluster {
	b := newStoppedCluster(entries)
	b.endWithTest(t)
	for i := range entries {
		b.run(t, i)
	}
	time.Sleep(3 * time.Second)
	return b
}

// endWithTest stops all entries when the test ends, and waits for their goroutines, as synctest requires.
func (b *cluster) endWithTest(t *testing.T) {
	t.Cleanup(func() {
		for _, stop := range b.stops {
			if stop != nil {
				stop()
			}
		}
		time.Sleep(5 * time.Second)
	})
}

// newStoppedCluster returns a cluster none of whose entries runs.
func newStoppedCluster(entries int) *cluster {
	faults := network.NewFaults()
	b := &cluster{
		Common: commontest.New(network.NewMemory(faults.Wrap)), net: packets.NewMemory(), faults: faults,
		store: &store{began: time.Now(), history: history.At(1, 10), changed: make(chan struct{}), rejected: make(map[int]bool), unanswered: make(map[int]bool), heldUnanswered: make(map[int]bool)},
		lost:  make(map[[2]netip.AddrPort]bool), contexts: make(map[int]context.Context),
	}
	for i := range entries {
		b.listed = append(b.listed, follow.Row{Key: fmt.Sprint("entry-", i), Value: fmt.Appendf(nil, `{"address":%q,"weight":1}`, address(i).String())})
		b.entries = append(b.entries, nil)
		b.members = append(b.members, nil)
		b.stops = append(b.stops, nil)
	}
	return b
}

// run starts an entry that knows the list of entries and follows the table.
func (b *cluster) run(t *testing.T, i int) {
	t.Helper()
	m, relay := b.build(t, i)
	m.Snapshot(b.listed, follow.Freshness{})
	b.follow(i, m, relay)
}

// build starts the sockets of an entry that does not know the list of entries and follows no table.
func (b *cluster) build(t *testing.T, i int) (*membership.Members, *feedrelay.Relay) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	link := packets.NewLink(b.Common, b.net.Socket(address(i)))
	m := membership.New(b.Common, membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: address(i), Weight: 1}, commontest.NoRows{}, link)
	relay := feedrelay.NewRelay(b.Common, m, link)
	go link.Run(ctx)
	listener, err := b.Network.Listen(address(i).String())
	if err != nil {
		t.Fatal(err)
	}
	go relay.Serve(listener)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	b.members[i], b.stops[i], b.contexts[i] = m, stop, ctx
	return m, relay
}

// follow has an entry run its membership and relay, and follow the table. The store may hold a query for 1,200 ms, and
// its answer may take 800 ms more.
func (b *cluster) follow(i int, m *membership.Members, relay *feedrelay.Relay) {
	ctx := b.contexts[i]
	e := newEntry()
	f := follow.NewFollower(b.Common, relay.Source("t", client{b.store, i}), e, follow.Options{Wait: 1200, AnswerTimeout: 800})
	b.entries[i] = e
	go m.Run(ctx)
	go relay.Run(ctx)
	go f.Run(ctx)
}

// feedReader returns the feed reader as entry 0 sees it, or -1.
func (b *cluster) feedReader() int {
	at, _ := b.members[0].Owner("store")
	for i := range b.members {
		if at == address(i) {
			return i
		}
	}
	return -1
}

// slowest returns the longest time, since the given moment, that a change took to reach an entry that counts, or an
// hour if one lacks it.
func (b *cluster) slowest(key string, from time.Time, counts func(i int) bool) time.Duration {
	longest := time.Duration(0)
	for i, e := range b.entries {
		if !counts(i) {
			continue
		}
		e.mu.Lock()
		at, known := e.receivedAt[key]
		e.mu.Unlock()
		if !known {
			return time.Hour
		}
		longest = max(longest, at.Sub(from))
	}
	return longest
}

// calls returns how many calls the store has got.
func (b *cluster) calls() int {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.store.calls
}

// everyone is for slowest: all entries count.
func everyone(int) bool { return true }
