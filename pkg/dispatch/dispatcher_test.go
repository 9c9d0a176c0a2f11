package dispatch_test

import (
	"context"
	"expvar"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/commontest"
	"quaydock/pkg/dispatch"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/view"
)

// bed is a few entries before a few targets of two slots each.
type bed struct {
	common.Common
	net     *packets.Memory
	entries []*dispatch.Dispatcher
	views   []*view.View
	targets []*routing.Target
	members []*membership.Members
	stops   []context.CancelFunc
	advice  []*advisory.Tracker

	slow map[ids.Target]time.Duration // how many times as long they take

	mu      sync.Mutex
	running map[ids.Target]int
	total   map[ids.Target]int
	most    int
	served  int
	failed  int
}

const (
	entryCount  = 3
	targetCount = 4
	slots       = 2
)

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1))
}

func newBed(t *testing.T) *bed {
	return newBedWith(t, commontest.NoEstimates{})
}

func newBedWith(t *testing.T, notes dispatch.EstimateStore) *bed {
	b := &bed{Common: commontest.New(network.NewMemory(nil)), net: packets.NewMemory(), running: make(map[ids.Target]int), total: make(map[ids.Target]int)}
	var rows []follow.Row
	for i := range entryCount {
		rows = append(rows, follow.Row{Key: fmt.Sprint("entry-", i), Value: fmt.Appendf(nil, `{"address":%q,"weight":1}`, address(i).String())})
	}
	for i := range targetCount {
		b.targets = append(b.targets, &routing.Target{ID: ids.Target(fmt.Sprint("t", i)), Service: "s", Slots: slots})
	}
	for i := range entryCount {
		ctx, stop := context.WithCancel(context.Background())
		link := packets.NewLink(b.Common, b.net.Socket(address(i)))
		m := membership.New(b.Common, membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: address(i), Weight: 1}, commontest.NoRows{}, link)
		m.Snapshot(rows, follow.Freshness{})
		v := view.New(b.Check)
		v.SetDirectory(routing.NewDirectory(b.targets))
		book := advisory.NewTracker(b.Common)
		d := dispatch.New(dispatch.Dependencies{
			Common: b.Common, Address: address(i), Domain: "d", View: v, Members: m, Link: link, Estimates: notes,
			Local: schedule.NewLocal(b.Common, v, book), Advice: book,
		})
		book.OnChange(d.Advise)
		b.advice = append(b.advice, book)
		go link.Run(ctx)
		go m.Run(ctx)
		go d.Run(ctx)
		b.entries = append(b.entries, d)
		b.members = append(b.members, m)
		b.views = append(b.views, v)
		b.stops = append(b.stops, stop)
	}
	t.Cleanup(func() {
		for _, stop := range b.stops {
			stop()
		}
		time.Sleep(time.Second)
	})
	time.Sleep(time.Second)
	return b
}

// home is the entry that plans, as the others see it.
func (b *bed) home(except int) int {
	for i, m := range b.members {
		if i == except {
			continue
		}
		at, _ := m.Owner("targets/s")
		for j := range entryCount {
			if at == address(j) {
				return j
			}
		}
	}
	return -1
}

// ask is a request that bears no wait.
func (b *bed) ask() schedule.Request {
	now := b.Clock.Now()
	return schedule.Request{Service: "s", Job: planner.Job{Arrived: now, Objective: 500, Deadline: now + 3*clock.Second}}
}

// withheld is how many places entries gave back since their targets had told them to send nothing.
func (b *bed) withheld() int64 {
	n, _ := b.Metrics.Links.Get("grants_withheld").(*expvar.Int)
	if n == nil {
		return 0
	}
	return n.Value()
}

// request runs one request that takes a while at its target.
func (b *bed) request(ctx context.Context, entry int, length time.Duration) {
	now := b.Clock.Now()
	ask := schedule.Request{Service: "s", Job: planner.Job{Arrived: now, Objective: 200 * clock.Second, Deadline: now + 400*clock.Second}}
	p, refused, err := b.entries[entry].Acquire(ctx, ask)
	if refused != nil || err != nil {
		b.mu.Lock()
		b.failed++
		b.mu.Unlock()
		return
	}
	id := p.Target().ID
	b.mu.Lock()
	b.running[id]++
	b.total[id]++
	length *= max(1, b.slow[id])
	b.most = max(b.most, b.running[id])
	b.mu.Unlock()
	time.Sleep(length / 4)
	p.Began(nil)
	time.Sleep(length * 3 / 4)
	b.mu.Lock()
	b.running[id]--
	b.served++
	b.mu.Unlock()
	p.Done(planner.Served, planner.StreamStats{Events: 1})
}

// load runs n requests from the given entries, one each pause, and waits.
func (b *bed) load(entries []int, n int, pause, length time.Duration) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { b.request(context.Background(), entries[i%len(entries)], length) })
		time.Sleep(pause)
	}
	all.Wait()
}

func TestAllEntriesTogetherFillNoTargetBeyondItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.load([]int{0, 1, 2}, 90, 5*time.Millisecond, 200*time.Millisecond)
		if b.most > slots || b.served != 90 {
			t.Errorf("%d served, up to %d at once in %d slots", b.served, b.most, slots)
		}
	})
}

func TestLostMessagesDelayButLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		random := b.Random.Fork()
		var mu sync.Mutex
		b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64() < 0.05
		})
		b.load([]int{0, 1, 2}, 200, 20*time.Millisecond, 100*time.Millisecond)
		if b.served != 200 {
			t.Errorf("%d of 200 served", b.served)
		}
		// A request placed by an entry's own counts may go beyond the slots
		// until the next sync, by one or two.
		if b.most > slots+2 {
			t.Errorf("up to %d at once in %d slots", b.most, slots)
		}
	})
}

// TestPlacesComeBackThoughTheirEndsWereLost guards against homes that count requests as running whose entries have none any more.
func TestPlacesComeBackThoughTheirEndsWereLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		asker := (b.home(-1) + 1) % entryCount
		var losing atomic.Bool
		losing.Store(true)
		b.net.Lose(func(_, _ netip.AddrPort, kind packets.Kind) bool {
			return losing.Load() && kind == packets.KindJobProgress
		})
		for range targetCount * slots {
			b.request(t.Context(), asker, 10*time.Millisecond)
		}
		losing.Store(false)
		refusals := 0
		for range 20 {
			place, refused, err := b.entries[asker].Acquire(t.Context(), b.ask())
			if err != nil {
				t.Fatal(err)
			}
			if refused != nil {
				refusals++
			} else {
				place.Done(planner.Served, planner.StreamStats{})
			}
			time.Sleep(100 * time.Millisecond)
		}
		// The entry lists what it has four times a second.
		if refusals > 5 {
			t.Errorf("%d of 20 requests in two seconds were refused, with all places free", refusals)
		}
	})
}

func TestAnotherEntryTakesOverFromAHomeThatDied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		home := b.home(-1)
		others := []int{(home + 1) % entryCount, (home + 2) % entryCount}
		go b.load(others, 60, 20*time.Millisecond, 600*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		b.stops[home]()
		dead := address(home)
		b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == dead || to == dead })
		time.Sleep(time.Second)
		if now := b.home(home); now == home || now < 0 {
			t.Fatalf("home is %d, was %d", now, home)
		}
		// What the new home did not grant itself it has been told of.
		b.mu.Lock()
		b.most = 0
		b.mu.Unlock()
		b.load(others, 60, 20*time.Millisecond, 150*time.Millisecond)
		time.Sleep(15 * time.Second)
		if b.served != 120 {
			t.Errorf("%d of 120 served", b.served)
		}
		if b.most > slots {
			t.Errorf("up to %d at once in %d slots after the take-over", b.most, slots)
		}
	})
}

func TestAnEntryCutOffPlacesByItsOwnCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return true })
		b.load([]int{0}, 8, 50*time.Millisecond, 100*time.Millisecond)
		if b.served != 8 {
			t.Errorf("%d of 8 served", b.served)
		}
	})
}

func TestACallerWhoLeavesGivesUpItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		go b.load([]int{0}, slots*targetCount, 0, time.Second)
		time.Sleep(100 * time.Millisecond)
		ctx, leave := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer leave()
		b.request(ctx, 1, time.Second) // it waits, and leaves
		time.Sleep(time.Second)
		b.load([]int{1, 2}, slots*targetCount, 0, 100*time.Millisecond)
		if b.served != 2*slots*targetCount || b.failed != 1 || b.most > slots {
			t.Errorf("%d served, %d left, up to %d at once", b.served, b.failed, b.most)
		}
	})
}

// Regression (vcn-quay hunt-c21e-3): the home was cut off from the store, and
// granted a target that its askers knew to be leaving.
func TestATargetThatLeavesIsNotUsedThoughTheHomeOffersIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		home := b.home(-1)
		var known []*routing.Target
		for i, target := range b.targets {
			copied := *target
			copied.Leaving = i != 0
			known = append(known, &copied)
		}
		asker := (home + 1) % entryCount
		b.views[asker].SetDirectory(routing.NewDirectory(known))
		b.load([]int{asker}, 20, 100*time.Millisecond, 50*time.Millisecond)
		if b.served != 20 {
			t.Errorf("%d of 20 served", b.served)
		}
		for id := range b.running {
			if id != "t0" {
				t.Errorf("%s was used though it is leaving", id)
			}
		}
	})
}

// kept is a store's table that outlasts the entries.
type kept struct {
	mu   sync.Mutex
	rows map[string][]byte
}

func (k *kept) Put(_ context.Context, key string, value []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rows[key] = value
	return nil
}

func (k *kept) Snapshot(context.Context) (follow.Batch, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var b follow.Batch
	for key, value := range k.rows {
		b.Rows = append(b.Rows, follow.Row{Key: key, Value: value})
	}
	return b, nil
}

const slowTarget = ids.Target("t1")

// learn has requests served until the home knows that one target is slow.
func (b *bed) learn() {
	b.slow = map[ids.Target]time.Duration{slowTarget: 6}
	b.load([]int{0, 1, 2}, 200, 30*time.Millisecond, 120*time.Millisecond)
}

// slowShare is how many of some single requests come to the slow target.
func (b *bed) slowShare(from []int) int {
	before := b.total[slowTarget]
	for i := range 16 {
		b.request(context.Background(), from[i%len(from)], 40*time.Millisecond)
	}
	return b.total[slowTarget] - before
}

func TestANewHomeKnowsWhatTheLastOneLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.learn()
		time.Sleep(2 * time.Second)
		home := b.home(-1)
		b.stops[home]()
		dead := address(home)
		b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == dead || to == dead })
		time.Sleep(time.Second)
		if n := b.slowShare([]int{(home + 1) % entryCount, (home + 2) % entryCount}); n != 0 {
			t.Errorf("%d of 16 on the slow target", n)
		}
	})
}

func TestWhatWasLearnedOutlastsTheLossOfAllEntries(t *testing.T) {
	for _, noted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			notes := &kept{rows: make(map[string][]byte)}
			b := newBedWith(t, notes)
			b.learn()
			time.Sleep(6 * time.Second)
			for _, stop := range b.stops {
				stop()
			}
			if !noted {
				clear(notes.rows)
			}
			again := newBedWith(t, notes)
			again.slow = b.slow
			if n := again.slowShare([]int{0, 1, 2}); noted != (n == 0) {
				t.Errorf("noted %t: %d of 16 on the slow target", noted, n)
			}
		})
	}
}
