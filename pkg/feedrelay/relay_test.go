package feedrelay_test

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/packets"
)

// Guards against entries that each read the store for themselves while the feed reader sends its feed states.
func TestOneEntryReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		before, began := b.calls(), time.Now()
		for i := range 10 {
			b.store.put(fmt.Sprint("k", i), "v")
			time.Sleep(time.Second)
		}
		for i := range 10 {
			key := fmt.Sprint("k", i)
			if took := b.slowest(key, began.Add(time.Duration(i)*time.Second), everyone); took > 100*time.Millisecond {
				t.Errorf("%s reached all entries after %v", key, took)
			}
		}
		if n := b.calls() - before; n > 25 {
			t.Errorf("%d calls to the store in 10 s with a change each second", n)
		}
		for i, e := range b.entries {
			if age := b.Clock.Now() - e.freshnessTime(); age > 1500 {
				t.Errorf("entry %d's freshness is %d ms old", i, age)
			}
		}
	})
}

// Guards against entries that wait for the feed reader although it, the store or the network fails on the way to them.
func TestChangesReachAllDespiteFaults(t *testing.T) {
	scenarios := []struct {
		name   string
		fault  func(b *cluster, reader int) // begins just before the change; reader is the feed reader
		exempt func(i, reader int) bool     // entries that need not receive the change; nil if there are none
		limit  time.Duration                // within which the change must reach the others
	}{
		{"every third datagram is lost", func(b *cluster, _ int) {
			var n atomic.Int64
			b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return n.Add(1)%3 == 0 })
		}, nil, 1500 * time.Millisecond},
		{"all feed states are lost", func(b *cluster, _ int) {
			b.net.Lose(func(_, _ netip.AddrPort, kind packets.Kind) bool { return kind == packets.KindFeedState })
		}, nil, 2 * time.Second},
		{"the feed reader ends", func(b *cluster, reader int) {
			b.stops[reader]()
			ended := address(reader)
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == ended || to == ended })
		}, func(i, reader int) bool { return i == reader }, 2 * time.Second},
		{"the store rejects the feed reader", func(b *cluster, reader int) {
			b.store.mu.Lock()
			b.store.rejected[reader] = true
			b.store.mu.Unlock()
		}, func(i, reader int) bool { return i == reader }, 4 * time.Second},
		{"the store rejects all but the feed reader", func(b *cluster, reader int) {
			b.store.mu.Lock()
			for i := range entryCount {
				b.store.rejected[i] = i != reader
			}
			b.store.mu.Unlock()
		}, nil, 200 * time.Millisecond},
		{"one entry is partitioned from the others", func(b *cluster, reader int) {
			partitioned := address((reader + 1) % entryCount)
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == partitioned || to == partitioned })
		}, nil, 2 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCluster(t)
				reader := b.feedReader()
				s.fault(b, reader)
				began := time.Now()
				b.store.put("change", "v")
				time.Sleep(6 * time.Second)
				counts := func(i int) bool { return s.exempt == nil || !s.exempt(i, reader) }
				if took := b.slowest("change", began, counts); took > s.limit {
					t.Errorf("change reached all entries after %v, limit %v", took, s.limit)
				}
			})
		})
	}
}

// TestFreshnessEndsWithStoreOutage has the store reject all entries: no entry's freshness may advance
// as if the store still answered.
func TestFreshnessEndsWithStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		b.store.mu.Lock()
		for i := range entryCount {
			b.store.rejected[i] = true
		}
		b.store.mu.Unlock()
		lost := b.Clock.Now()
		time.Sleep(5 * time.Second)
		for i, e := range b.entries {
			if e.freshnessTime() > lost+1100 { // a read may have been in progress
				t.Errorf("entry %d claims freshness %d ms after the store was lost", i, e.freshnessTime()-lost)
			}
		}
	})
}

// Guards against a change that is too large for a datagram and therefore reaches nobody but the feed reader.
func TestALargeChangeIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		began := time.Now()
		b.store.put("large", string(make([]byte, 50_000)))
		time.Sleep(time.Second)
		if took := b.slowest("large", began, everyone); took > 500*time.Millisecond {
			t.Errorf("change reached all entries after %v", took)
		}
	})
}

// TestBackupReadsWhileStoreRejectsFeedReader has the store reject the feed reader for long: another
// entry reads for all, instead of each for itself, until the store answers the feed reader again.
func TestBackupReadsWhileStoreRejectsFeedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		reader := b.feedReader()
		setRejected := func(rejected bool) {
			b.store.mu.Lock()
			b.store.rejected[reader] = rejected
			b.store.mu.Unlock()
		}
		setRejected(true)
		time.Sleep(3 * time.Second)
		before, began := b.calls(), time.Now()
		for i := range 6 {
			b.store.put(fmt.Sprint("k", i), "v")
			time.Sleep(time.Second)
		}
		for i := range 6 {
			key := fmt.Sprint("k", i)
			if took := b.slowest(key, began.Add(time.Duration(i)*time.Second), everyone); took > 500*time.Millisecond {
				t.Errorf("%s reached all entries after %v", key, took)
			}
		}
		if n := b.calls() - before; n > 18 {
			t.Errorf("%d calls to the store in 6 s with a change each second", n)
		}
		setRejected(false)
		time.Sleep(25 * time.Second)
		if at, _ := b.members[0].FeedReader("store"); at != address(reader) {
			for i, m := range b.members {
				r, self := m.FeedReader("store")
				h, _ := m.Owner("store")
				t.Log(i, r, self, h)
			}
			t.Error("the original feed reader does not read again")
		}
	})
}
