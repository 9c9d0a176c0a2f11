package bulletin_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

func (c client) Whole(ctx context.Context) (follow.Batch, error) {
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

func (e *entry) Whole(rows []follow.Row, p follow.Proof) { e.Changed(rows, p) }

func (e *entry) Changed(rows []follow.Row, p follow.Proof) {
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

func (e *entry) Lost(error) {}

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
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1))
}

func newBed(t *testing.T) *bed {
	faults := network.NewFaults()
	b := &bed{
		Common: commontest.New(network.NewMemory(faults.Wrap)), net: packets.NewMemory(), faults: faults,
		store: &store{began: time.Now(), version: 10, changed: make(chan struct{}), away: make(map[int]bool), silent: make(map[int]bool)},
		lost:  make(map[[2]netip.AddrPort]bool),
	}
	var rows []follow.Row
	for i := range entryCount {
		rows = append(rows, follow.Row{Key: fmt.Sprint("entry-", i), Value: fmt.Appendf(nil, `{"address":%q,"weight":1}`, address(i).String())})
	}
	for i := range entryCount {
		ctx, stop := context.WithCancel(context.Background())
		link := packets.NewLink(b.Common, b.net.Socket(address(i)))
		m := membership.New(b.Common, ids.Process(fmt.Sprint("entry-", i)), address(i), 1, commontest.NoRows{}, link)
		m.Whole(rows, follow.Proof{})
		board := bulletin.NewBoard(b.Common, m, link)
		e := &entry{rows: make(map[string]string), heardAt: make(map[string]time.Time)}
		f := follow.NewFollower(b.Common, board.Share("t", client{b.store, i}), e, follow.Options{Wait: 1200, Answer: 800})
		go link.Run(ctx)
		go m.Run(ctx)
		go board.Run(ctx)
		listener, err := b.Network.Listen(address(i).String())
		if err != nil {
			t.Fatal(err)
		}
		go board.Serve(listener)
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		go f.Run(ctx)
		b.entries = append(b.entries, e)
		b.members = append(b.members, m)
		b.stops = append(b.stops, stop)
	}
	t.Cleanup(func() {
		for _, stop := range b.stops {
			stop()
		}
		time.Sleep(5 * time.Second)
	})
	time.Sleep(3 * time.Second)
	return b
}

func (b *bed) reader() int {
	at, _ := b.members[0].Home("store")
	for i := range entryCount {
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

func TestOneEntryReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		before, began := b.calls(), time.Now()
		for i := range 10 {
			b.store.put(fmt.Sprint("k", i), "v")
			time.Sleep(time.Second)
		}
		for i := range 10 {
			key := fmt.Sprint("k", i)
			if took := b.slowest(key, began.Add(time.Duration(i)*time.Second), everyone); took > 100*time.Millisecond {
				t.Errorf("%s took %v", key, took)
			}
		}
		if n := b.calls() - before; n > 25 {
			t.Errorf("%d calls in 10 s with a change each second", n)
		}
		for i, e := range b.entries {
			if age := b.Clock.Now() - e.proven(); age > 1500 {
				t.Errorf("entry %d's proof is %d ms old", i, age)
			}
		}
	})
}

func TestNewsReachAllWhateverIsLost(t *testing.T) {
	scenarios := []struct {
		name  string
		hurt  func(b *bed, reader int)
		fails func(i, reader int) bool // entries that need not hear
		bound time.Duration
	}{
		{"every third message is lost", func(b *bed, _ int) {
			var n atomic.Int64
			b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return n.Add(1)%3 == 0 })
		}, nil, 1500 * time.Millisecond},
		{"all bulletins are lost", func(b *bed, _ int) {
			b.net.Lose(func(_, _ netip.AddrPort, kind packets.Kind) bool { return kind == packets.KindBulletin })
		}, nil, 2 * time.Second},
		{"the reader dies", func(b *bed, reader int) {
			b.stops[reader]()
			dead := address(reader)
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == dead || to == dead })
		}, func(i, reader int) bool { return i == reader }, 2 * time.Second},
		{"the store turns the reader away", func(b *bed, reader int) {
			b.store.mu.Lock()
			b.store.away[reader] = true
			b.store.mu.Unlock()
		}, func(i, reader int) bool { return i == reader }, 4 * time.Second},
		{"the store turns all but the reader away", func(b *bed, reader int) {
			b.store.mu.Lock()
			for i := range entryCount {
				b.store.away[i] = i != reader
			}
			b.store.mu.Unlock()
		}, nil, 200 * time.Millisecond},
		{"one entry is cut off from the others", func(b *bed, reader int) {
			cut := address((reader + 1) % entryCount)
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == cut || to == cut })
		}, nil, 2 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				reader := b.reader()
				s.hurt(b, reader)
				began := time.Now()
				b.store.put("news", "v")
				time.Sleep(6 * time.Second)
				counts := func(i int) bool { return s.fails == nil || !s.fails(i, reader) }
				if took := b.slowest("news", began, counts); took > s.bound {
					t.Errorf("took %v, bound %v", took, s.bound)
				}
			})
		})
	}
}

// TestNothingProvesMoreThanTheStoreSaid has the reader lose the store: nobody's
// proof may go on as if it had not.
func TestNothingProvesMoreThanTheStoreSaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.store.mu.Lock()
		for i := range entryCount {
			b.store.away[i] = true
		}
		b.store.mu.Unlock()
		lost := b.Clock.Now()
		time.Sleep(5 * time.Second)
		for i, e := range b.entries {
			if e.proven() > lost+1100 { // a question may have been under way
				t.Errorf("entry %d claims proof %d ms after the store was lost", i, e.proven()-lost)
			}
		}
	})
}

func TestALargeChangeIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		began := time.Now()
		b.store.put("large", string(make([]byte, 50_000)))
		time.Sleep(time.Second)
		if took := b.slowest("large", began, everyone); took > 500*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

// TestAReaderWithoutTheStoreStepsAside has the store turn the reader away for
// long: another reads for all, instead of each for itself, and hands back later.
func TestAReaderWithoutTheStoreStepsAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		reader := b.reader()
		turn := func(away bool) {
			b.store.mu.Lock()
			b.store.away[reader] = away
			b.store.mu.Unlock()
		}
		turn(true)
		time.Sleep(3 * time.Second)
		before, began := b.calls(), time.Now()
		for i := range 6 {
			b.store.put(fmt.Sprint("k", i), "v")
			time.Sleep(time.Second)
		}
		for i := range 6 {
			key := fmt.Sprint("k", i)
			if took := b.slowest(key, began.Add(time.Duration(i)*time.Second), everyone); took > 500*time.Millisecond {
				t.Errorf("%s took %v", key, took)
			}
		}
		if n := b.calls() - before; n > 18 {
			t.Errorf("%d calls in 6 s with a change each second", n)
		}
		turn(false)
		time.Sleep(25 * time.Second)
		if at, _ := b.members[0].Reader("store"); at != address(reader) {
			for i, m := range b.members {
				r, self := m.Reader("store")
				h, _ := m.Home("store")
				t.Log(i, r, self, h)
			}
			t.Error("the first reader does not read again")
		}
	})
}

// TestNewsOfAnySizeReachThoseWithoutTheStore has the store turn entries away
// while a change comes that no datagram holds.
func TestNewsOfAnySizeReachThoseWithoutTheStore(t *testing.T) {
	scenarios := []struct {
		name  string
		hurt  func(b *bed, reader int)
		bound time.Duration
	}{
		{"one entry is turned away", func(b *bed, reader int) { b.turnAway((reader + 1) % entryCount) }, 500 * time.Millisecond},
		{"all but the reader are turned away", func(b *bed, reader int) {
			for i := range entryCount {
				if i != reader {
					b.turnAway(i)
				}
			}
		}, 500 * time.Millisecond},
		{"the store is silent to one entry", func(b *bed, reader int) { b.silence((reader + 1) % entryCount) }, 500 * time.Millisecond},
		{"one is turned away, and the reader's stream breaks midway", func(b *bed, reader int) {
			b.turnAway((reader + 1) % entryCount)
			b.faults.Strike(network.Fault{Address: address(reader).String(), Direction: network.Reply, Message: 1, Effect: network.CutBefore})
		}, 800 * time.Millisecond},
		{"one is turned away, and the reader's stream is held up", func(b *bed, reader int) {
			b.turnAway((reader + 1) % entryCount)
			b.faults.Strike(network.Fault{Address: address(reader).String(), Direction: network.Reply, Message: 0, Effect: network.Delay, Length: 5000})
		}, 1200 * time.Millisecond},
		{"one is turned away, and a third of all datagrams are lost", func(b *bed, reader int) {
			b.turnAway((reader + 1) % entryCount)
			var n atomic.Int64
			b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return n.Add(1)%3 == 0 })
		}, 2 * time.Second},
		{"one is turned away and hears the reader, which does not hear it", func(b *bed, reader int) {
			away := (reader + 1) % entryCount
			b.turnAway(away)
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
				return from == address(away) && to == address(reader)
			})
		}, 800 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				reader := b.reader()
				s.hurt(b, reader)
				time.Sleep(time.Second)
				for i := range 3 { // in quick succession, so that messages miss some
					began := time.Now()
					key := fmt.Sprint("large ", i)
					b.store.put(key, string(make([]byte, 50_000)))
					time.Sleep(200 * time.Millisecond)
					defer func() {
						if took := b.slowest(key, began, everyone); took > s.bound {
							t.Errorf("%s took %v, bound %v", key, took, s.bound)
						}
					}()
				}
				time.Sleep(4 * time.Second)
				for i, e := range b.entries {
					if age := b.Clock.Now() - e.proven(); age > 2*clock.Second {
						t.Errorf("entry %d's proof is %d ms old", i, age)
					}
				}
			})
		})
	}
}

// TestAProofNeverGoesBeforeItsRows plays changes at random moments while entries
// lose the store, peers and datagrams by turns: whenever an entry claims that it
// was current at a moment, it has all that had changed by then.
func TestAProofNeverGoesBeforeItsRows(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 7))
				b := newBed(t)
				b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return b.lossy(from, to) })
				for i := range 60 {
					b.loseAtRandom(random.IntN(entryCount), random.IntN(entryCount), random.IntN(3))
					if random.IntN(3) == 0 {
						b.turnAway(random.IntN(entryCount))
					}
					if random.IntN(2) == 0 {
						b.takeBack(random.IntN(entryCount))
					}
					if random.IntN(2) == 0 {
						b.store.put(fmt.Sprint("k", i), string(make([]byte, random.IntN(3000))))
					}
					time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
					b.checkProofs(t)
				}
			})
		})
	}
}
