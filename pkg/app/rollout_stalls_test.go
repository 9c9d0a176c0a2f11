package app

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// stalls holds which VMs are stalled, and until when.
type stalls struct {
	mu      sync.Mutex
	entries map[int]time.Time        // end of the stall, by entry
	targets map[ids.Target]time.Time // end of the stall, by target
}

// wait waits until neither the entry nor the target is stalled.
func (s *stalls) wait(entry int, target ids.Target) {
	for {
		s.mu.Lock()
		left := max(time.Until(s.entries[entry]), time.Until(s.targets[target]))
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// stallEntry stalls the VM of an entry, as the entry sees it: its clock goes ahead by the length at once and stands
// until that time has passed, so that everything that happens meanwhile appears to happen when the stall ends. Requests
// that end at the entry meanwhile are reported to the others after the stall.
func (b *rolloutBed) stallEntry(i int, length time.Duration) {
	owner := b.planner()
	b.mu.Lock()
	e := b.entries[i]
	b.mu.Unlock()
	if e == nil {
		return
	}
	left := clock.Millis(length.Milliseconds())
	e.suspension.Add(left)
	go func() {
		for ; left > 0; left-- {
			time.Sleep(time.Millisecond)
			e.suspension.Add(-1)
		}
	}()
	if i == owner {
		return
	}
	b.stalls.mu.Lock()
	defer b.stalls.mu.Unlock()
	b.stalls.entries[i] = time.Now().Add(length)
}

// stallTargets stalls the VMs of the targets that which selects.
func (b *rolloutBed) stallTargets(which func(*bedEngine) bool, length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalls.mu.Lock()
	defer b.stalls.mu.Unlock()
	for id, e := range b.engines {
		if which(e) {
			b.stalls.targets[id] = time.Now().Add(length)
		}
	}
}

// stallKind is which VMs are stalled.
type stallKind int

const (
	entriesStall stallKind = iota
	targetsStall
	bothStall
	allTargetsStall
)

// String returns the kind's name for the names of sub-tests.
func (k stallKind) String() string {
	return []string{"entries", "targets", "entries and targets", "all targets at once"}[k]
}

// stallAtTimes stalls random VMs at random times, for 100 to 500 ms and 2.5 s apart on average.
func (b *rolloutBed) stallAtTimes(kind stallKind, random *rand.Rand, until time.Duration) {
	const (
		between  = 2500 * time.Millisecond
		shortest = 100
		longest  = 500 // ms
	)
	for time.Since(b.began) < until {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(between)))
		length := time.Duration(shortest+random.IntN(longest-shortest)) * time.Millisecond
		entry, target := random.IntN(playEntries), random.IntN(playEngines)
		if kind == entriesStall || kind == bothStall {
			b.stallEntry(entry, length)
		}
		switch kind {
		case targetsStall, bothStall:
			newOnes := random.IntN(2) == 0
			b.stallTargets(func(e *bedEngine) bool {
				return e.id == ids.Target(fmt.Sprint(oldVersion, "-", target)) && !newOnes || e.id == ids.Target(fmt.Sprint(newVersion, "-", target)) && newOnes
			}, length)
		case allTargetsStall:
			b.stallTargets(func(*bedEngine) bool { return true }, length)
		}
	}
}

// playWithStalls plays a roll-out while VMs are stalled.
func playWithStalls(t *testing.T, seed uint64, kind stallKind, v defect) outcome {
	var o outcome
	synctest.Test(t, func(t *testing.T) {
		order := rolloutOrder{duration: 18 * time.Second, defect: v}
		b := newRolloutBed(t, seed, order)
		done := make(chan struct{})
		go func() {
			b.operate()
			close(done)
		}()
		go b.stallAtTimes(kind, rand.New(rand.NewPCG(seed, 11)), warmUp+order.duration)
		b.load(warmUp + order.duration + 8*time.Second)
		<-done
		o = b.outcome()
	})
	return o
}

// TestGoodVersionsCompleteWhileVMsStall guards against the roll-back of a good version for slow answers because a VM
// was stalled, as happens under high load. In the last seconds of a roll-out most requests run on the new version; a VM
// that is stalled for 50 ms then makes the new version look slow and hardly affects the old one: 3 of 3 targets looked
// worse on all routes, 6 of 63 answers were bad where 0.0 were expected, five of them within 50 ms. A delay by the
// entry's own VM, or the owner's, must not count against the version. Here VMs are stalled for 100 to 500 ms, 2.5 s
// apart on average.
func TestGoodVersionsCompleteWhileVMsStall(t *testing.T) {
	seeds := []uint64{14} // once rolled back wrongly
	for n := range *playCount {
		seeds = append(seeds, *firstPlay+uint64(n))
	}
	for _, seed := range seeds {
		for _, kind := range []stallKind{entriesStall, targetsStall} {
			t.Run(fmt.Sprint("seed ", seed, ", ", kind), func(t *testing.T) {
				o := playWithStalls(t, seed, kind, defect{})
				checkBounds(t, o)
				if o.state != "completed" {
					t.Error(o)
				}
			})
		}
	}
}

// TestSlowVersionsAreRolledBackWhileVMsStall rolls out a slow version while VMs of entries are stalled. The times of
// the stalls are subtracted from the times of answers, and the version has to be rolled back all the same.
func TestSlowVersionsAreRolledBackWhileVMsStall(t *testing.T) {
	for n := range *playCount {
		seed := *firstPlay + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := playWithStalls(t, seed, entriesStall, defect{fraction: 0.5, slowdown: 5})
			checkBounds(t, o)
			if o.state != "rolled_back" || o.late > 0 {
				t.Error(o)
			}
		})
	}
}
