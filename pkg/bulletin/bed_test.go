package bulletin_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"quaydock/pkg/bulletin"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
)

// store is one table that entries read; some may be turned away.
type store struct {
	began time.Time

	mu      sync.Mutex
	version int64
	log     []follow.Row
	at      []int64
	putAt   []clock.Millis // since it began
	changed chan struct{}
	calls   int
	away    map[int]bool
	silent  map[int]bool // their questions get no answer
	cut     map[int]bool // nor do those that are held
}

var errAway = errors.New("turned away")

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 3 // other tables share the counter
	s.log = append(s.log, follow.Row{Key: key, Value: []byte(value)})
	s.at = append(s.at, s.version)
	s.putAt = append(s.putAt, s.now())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() clock.Millis {
	return clock.Millis(time.Since(s.began).Milliseconds())
}

// since returns the changes after a version.
func (s *store) since(after int64) (follow.Batch, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := follow.Batch{Version: s.version, StoreTime: s.now()}
	for i, r := range s.log {
		if s.at[i] > after {
			b.Rows = append(b.Rows, r)
		}
	}
	return b, s.changed
}

// client is one entry's way to the store.
type client struct {
	*store
	entry int
}

func (c client) call(ctx context.Context) error {
	c.mu.Lock()
	c.calls++
	away, silent := c.away[c.entry], c.silent[c.entry]
	c.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return ctx.Err()
	case away:
		return errAway
	default:
		return nil
	}
}

func (c client) Snapshot(ctx context.Context) (follow.Batch, error) {
	b, _ := c.since(0)
	return b, c.call(ctx)
}

func (c client) Changes(ctx context.Context, after int64, wait clock.Millis) (follow.Batch, error) {
	if err := c.call(ctx); err != nil {
		return follow.Batch{}, err
	}
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		c.mu.Lock()
		cut := c.cut[c.entry]
		c.mu.Unlock()
		if cut {
			<-ctx.Done()
			return follow.Batch{}, ctx.Err()
		}
		b, changed := c.since(after)
		if len(b.Rows) > 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			b, _ = c.since(after)
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// entry is one that follows the table.
type entry struct {
	mu       sync.Mutex
	rows     map[string]string
	heardAt  map[string]time.Time
	provenAt clock.Millis
}

func newEntry() *entry {
	return &entry{rows: make(map[string]string), heardAt: make(map[string]time.Time)}
}

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
		if _, known := e.heardAt[r.Key]; !known {
			e.heardAt[r.Key] = time.Now()
		}
	}
	e.provenAt = max(e.provenAt, p.CurrentAt)
}

func (e *entry) ReadFailed(error) {}

func (e *entry) proven() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.provenAt
}

const entryCount = 5

type bed struct {
	common.Common
	net     *packets.Memory
	faults  *network.Faults // of the streams between entries
	store   *store
	entries []*entry
	members []*membership.Members
	stops   []context.CancelFunc
	// contexts are those of the entries that run.
	contexts map[int]context.Context
	listed   []follow.Row

	mu   sync.Mutex
	lost map[[2]netip.AddrPort]bool // ways on which datagrams are lost
}

func (b *bed) turnAway(entry int) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.away[entry] = true
}

func (b *bed) takeBack(entry int) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.away[entry] = false
}

func (b *bed) silence(entry int) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.silent[entry] = true
}

// cutHeld has the question that the store holds for an entry stay without an answer.
func (b *bed) cutHeld(entry int) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.cut[entry] = true
}

// loseAtRandom cuts or mends the way of datagrams from one entry to another.
func (b *bed) loseAtRandom(from, to, draw int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lost[[2]netip.AddrPort{address(from), address(to)}] = draw == 0
}

func (b *bed) lossy(from, to netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost[[2]netip.AddrPort{from, to}]
}

// checkProofs reports entries that lack a row from before the moment at which
// they claim to have been current.
func (b *bed) checkProofs(t *testing.T) {
	t.Helper()
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	began := b.Clock.Now() - b.store.now()
	for i, e := range b.entries {
		proven := e.proven() - began
		e.mu.Lock()
		for n, r := range b.store.log {
			if _, has := e.rows[r.Key]; !has && b.store.putAt[n] < proven {
				t.Errorf("entry %d claims to be current at %d and lacks %s of %d", i, proven, r.Key, b.store.putAt[n])
			}
		}
		e.mu.Unlock()
	}
}

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7600", i/200, i%200+1))
}

func newBed(t *testing.T) *bed { return newBedOf(t, entryCount) }

// newBedOf runs a number of entries until they have settled.
func newBedOf(t *testing.T, entries int) *bed {
	b := prepare(entries)
	b.endWithTest(t)
	for i := range entries {
		b.run(t, i)
	}
	time.Sleep(3 * time.Second)
	return b
}

// endWithTest stops all entries when the test ends.
func (b *bed) endWithTest(t *testing.T) {
	t.Cleanup(func() {
		for _, stop := range b.stops {
			if stop != nil {
				stop()
			}
		}
		time.Sleep(5 * time.Second)
	})
}

// prepare returns entries none of which runs.
func prepare(entries int) *bed {
	faults := network.NewFaults()
	b := &bed{
		Common: commontest.New(network.NewMemory(faults.Wrap)), net: packets.NewMemory(), faults: faults,
		store: &store{began: time.Now(), version: 10, changed: make(chan struct{}), away: make(map[int]bool), silent: make(map[int]bool), cut: make(map[int]bool)},
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

// run starts an entry that knows the list of entries.
func (b *bed) run(t *testing.T, i int) {
	t.Helper()
	m, board := b.build(t, i)
	m.Snapshot(b.listed, follow.Freshness{})
	b.follow(i, m, board)
}

// build starts an entry that knows nothing and follows nothing.
func (b *bed) build(t *testing.T, i int) (*membership.Members, *bulletin.Relay) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	link := packets.NewLink(b.Common, b.net.Socket(address(i)))
	m := membership.New(b.Common, membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: address(i), Weight: 1}, commontest.NoRows{}, link)
	board := bulletin.NewRelay(b.Common, m, link)
	go link.Run(ctx)
	listener, err := b.Network.Listen(address(i).String())
	if err != nil {
		t.Fatal(err)
	}
	go board.Serve(listener)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	b.members[i], b.stops[i], b.contexts[i] = m, stop, ctx
	return m, board
}

// follow has an entry take part and follow the table.
func (b *bed) follow(i int, m *membership.Members, board *bulletin.Relay) {
	ctx := b.contexts[i]
	e := newEntry()
	f := follow.NewFollower(b.Common, board.Source("t", client{b.store, i}), e, follow.Options{Wait: 1200, Answer: 800})
	b.entries[i] = e
	go m.Run(ctx)
	go board.Run(ctx)
	go f.Run(ctx)
}

func (b *bed) reader() int {
	at, _ := b.members[0].Owner("store")
	for i := range b.members {
		if at == address(i) {
			return i
		}
	}
	return -1
}

// slowest is the longest that a change took to an entry that counts.
func (b *bed) slowest(key string, from time.Time, counts func(i int) bool) time.Duration {
	longest := time.Duration(0)
	for i, e := range b.entries {
		if !counts(i) {
			continue
		}
		e.mu.Lock()
		at, known := e.heardAt[key]
		e.mu.Unlock()
		if !known {
			return time.Hour
		}
		longest = max(longest, at.Sub(from))
	}
	return longest
}

func (b *bed) calls() int {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.store.calls
}

func everyone(int) bool { return true }
