package bulletin_test

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/packets"
)

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
			b.net.Lose(func(_, _ netip.AddrPort, kind packets.Kind) bool { return kind == packets.KindFeedState })
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
		if at, _ := b.members[0].FeedReader("store"); at != address(reader) {
			for i, m := range b.members {
				r, self := m.FeedReader("store")
				h, _ := m.Owner("store")
				t.Log(i, r, self, h)
			}
			t.Error("the first reader does not read again")
		}
	})
}
