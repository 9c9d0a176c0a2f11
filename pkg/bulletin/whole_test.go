package bulletin_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/bulletin"
	"quaydock/pkg/follow"
	"quaydock/pkg/network"
)

// TestAFirstReadThatFailsIsAskedAgainSoon has entries start beside a store that turns
// them away at once and answers 300 ms later. Users saw callers refused for seconds, and a
// client account run more than its limit, after all entries had been killed while the store
// reset its connections. Order of events: the first read of the list of entries
// failed within a few ms of the start; 310 ms after it the store answered what was asked for
// the first time then; the list was not asked for again within 3.2 s. Cause: once the store
// had failed, a whole read went on asking other entries in rounds until its time was up,
// also where there was none to ask. The evidence is each entry's log, which tells of
// configuration and targets read at that moment, and of no list in the 4 s until it was
// killed again.
func TestAFirstReadThatFailsIsAskedAgainSoon(t *testing.T) {
	scenarios := []struct {
		name   string
		listed bool
	}{
		{"who the others are is not known", false},
		{"the others are known and have not read it either", true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := prepare(entryCount)
				b.endWithTest(t)
				b.store.put("k", "v")
				b.outage(false, true)
				for i := range entryCount {
					if s.listed {
						b.run(t, i)
						continue
					}
					m, board := b.build(t, i)
					b.follow(i, m, board)
				}
				time.Sleep(300 * time.Millisecond)
				b.outage(false, false)
				back := time.Now()
				time.Sleep(5 * time.Second)
				if took := b.slowest("k", back, everyone); took > 600*time.Millisecond {
					t.Errorf("%v from the store's return until all had read the table", took)
				}
			})
		})
	}
}

// TestEntriesThatKnowNobodyLeaveTheStoreItsTime counts what entries ask in 14 s of a store that
// turns them away from their start on, when none of them knows of the others.
func TestEntriesThatKnowNobodyLeaveTheStoreItsTime(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := prepare(n)
				b.endWithTest(t)
				b.outage(false, true)
				for i := range n {
					m, board := b.build(t, i)
					b.follow(i, m, board)
				}
				time.Sleep(14 * time.Second)
				if asked := b.calls(); asked > 20*n {
					t.Errorf("%d calls of %d entries", asked, n)
				} else {
					t.Log(asked, "calls")
				}
			})
		})
	}
}

// TestAMomentInWhichTheStoreAnswersServesAllTables has a store that is away at the start
// answer for 40 ms, just when another table is read for the first time: who reads that one reads
// the first too.
func TestAMomentInWhichTheStoreAnswersServesAllTables(t *testing.T) {
	aways := []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1100 * time.Millisecond, 1500 * time.Millisecond}
	for _, away := range aways {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := prepare(entryCount)
				b.endWithTest(t)
				b.store.put("k", "v")
				b.outage(false, true)
				var others []*entry
				boards := make([]*bulletin.Relay, entryCount)
				for i := range entryCount {
					m, board := b.build(t, i)
					b.follow(i, m, board)
					boards[i] = board
				}
				time.Sleep(away)
				b.outage(false, false)
				for i, board := range boards {
					e := newEntry()
					others = append(others, e)
					other := follow.NewFollower(b.Common, board.Source("other", client{b.store, i}), e, follow.Options{Wait: 1200, Answer: 800})
					go other.Run(b.contexts[i])
				}
				time.Sleep(40 * time.Millisecond)
				b.outage(false, true)
				for i := range entryCount {
					if first, other := b.entries[i].knows("k"), others[i].knows("k"); !first || !other {
						t.Errorf("entry %d: one table read %t, the other %t", i, first, other)
					}
				}
			})
		})
	}
}

// TestWhatTheStoreHasToldIsAskedOfNobodyElse: each whole read of a table from the store ended in a connection to
// another entry and a question that nobody waited for. Order of events: the store answered, the other way of reading,
// which waits for 300 ms to ask entries besides, was ended by that, and took its end for its moment. Seen as
// connections between entries that came in some replays of a start and not in others.
func TestWhatTheStoreHasToldIsAskedOfNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readers = 3 // these read the store at their start without asking others
		b := prepare(readers)
		b.endWithTest(t)
		asked := &countedDials{Network: b.Network}
		b.Network = asked
		b.store.put("k", "v")
		for i := range readers {
			b.run(t, i)
			time.Sleep(50 * time.Millisecond)
		}
		if b.entries[0] == nil || !b.entries[0].knows("k") {
			t.Error("the table was not read")
		}
		if n := asked.count.Load(); n > 0 {
			t.Errorf("%d connections between entries, though the store answered each of them", n)
		}
	})
}

// countedDials counts the connections that are made.
type countedDials struct {
	network.Network
	count atomic.Int64
}

// Dial connects to an address.
func (d *countedDials) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.count.Add(1)
	return d.Network.Dial(ctx, address)
}
