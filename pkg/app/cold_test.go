package app

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/platform"
)

// What a cold target of these tests bears: so many requests a second, and what is allowed beyond that.
const (
	coldPerSecond = 20
	coldOver      = 1.5
	coldSlack     = 5
	coldMost      = coldPerSecond*coldOver + coldSlack
	coldTargets   = 6
	coldLoad      = 300 // requests a second of all callers, two and a half times as much as that for each target
)

// coldBed is whole entries before targets in three failure domains that are cold after a start.
type coldBed struct {
	*domainsBed

	counting  sync.Mutex
	coldUntil map[string]time.Duration
	arrived   map[string][]time.Duration // at cold targets, by id
	most      int                        // that reached a cold one within a second
}

func newColdBed(t *testing.T, seed uint64) *coldBed {
	b := &coldBed{domainsBed: newDomainsBed(t, seed, coldTargets), coldUntil: make(map[string]time.Duration), arrived: make(map[string][]time.Duration)}
	b.intercept = b.countCold
	b.mu.Lock()
	b.bounds.ColdOver, b.bounds.ColdSlack = coldOver, coldSlack
	b.cold, b.coldRate, b.longRuns = coldTime, coldPerSecond, false
	b.mu.Unlock()
	b.configure(2)
	// The entries read their bounds when they start.
	b.restartAll()
	time.Sleep(5 * time.Second)
	b.began = time.Now()
	return b
}

// countCold counts a request that has reached a target while that was cold.
func (b *coldBed) countCold(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
	b.count(e, w, r)
	now := b.now()
	b.counting.Lock()
	defer b.counting.Unlock()
	until, known := b.coldUntil[e.id]
	if !known { // its first request, or it became cold before it started
		until = time.UnixMilli(int64(e.born)).Add(coldTime).Sub(b.began)
		b.coldUntil[e.id] = until
	}
	if now >= until || time.UnixMilli(int64(e.born)).Before(b.began) && !known {
		return false
	}
	list := append(b.arrived[e.id], now)
	list = slices.DeleteFunc(list, func(at time.Duration) bool { return at <= now-time.Second })
	b.arrived[e.id] = list
	b.most = max(b.most, len(list))
	return false
}

// crashDomain ends all targets of a failure domain; they come back together, cold.
func (b *coldBed) crashDomain(domain int) {
	for n, e := range b.enginesNow() {
		if n%b.domains == domain {
			e.crash()
		}
	}
}

func (b *coldBed) enginesNow() []*crashEngine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.engines)
}

// coolDomain has all targets of a failure domain become cold where they are. They tell it a while later.
func (b *coldBed) coolDomain(domain int, tellAfter time.Duration) {
	for n, e := range b.enginesNow() {
		if n%b.domains != domain {
			continue
		}
		b.counting.Lock()
		b.coldUntil[e.id] = b.now() + coldTime
		b.counting.Unlock()
		row := e.row
		row.ColdFor = int((coldTime - tellAfter).Milliseconds())
		time.AfterFunc(tellAfter, func() { b.store.Put(platform.TableTargets, e.id, row.Row()) })
	}
}

// TestColdTargets: targets that had just started got as many requests at once as warm ones, far more than they bear, and
// fell over. The entries read in their rows for how long they are cold, and used it for nothing. What proved that: the
// targets of a failure domain that came back got their first requests as fast as the callers sent them, with every
// entry in touch and one planner for all.
func TestColdTargets(t *testing.T) {
	const length = 12 * time.Second
	scenarios := []struct {
		name  string
		hurt  func(b *coldBed)
		least float64 // of the requests that are served
	}{
		{"a failure domain comes back", func(b *coldBed) { b.crashDomain(1) }, 0.97},
		{"and the entries are killed one after the other", func(b *coldBed) {
			b.crashDomain(1)
			time.Sleep(restartDelay)
			for i := range b.entries {
				time.Sleep(300 * time.Millisecond)
				b.killEntry(i)
				b.startEntry(i)
			}
		}, 0.6},
		{"and all entries are killed", func(b *coldBed) {
			b.crashDomain(1)
			time.Sleep(restartDelay + 500*time.Millisecond)
			b.restartAll()
		}, 0.7},
		{"and entries are cut off from the others, and come back", func(b *coldBed) {
			b.crashDomain(1)
			time.Sleep(restartDelay + 300*time.Millisecond)
			for i := range 2 {
				b.partition(i, true)
			}
			time.Sleep(time.Second)
			for i := range 2 {
				b.partition(i, false)
			}
		}, 0.9},
		{"and entries hear nothing of one another", func(b *coldBed) {
			for i := range b.entries {
				b.partition(i, true)
			}
			time.Sleep(2 * time.Second)
			b.crashDomain(1)
		}, 0.8},
		{"and again and again", func(b *coldBed) {
			for range 4 {
				b.crashDomain(1)
				time.Sleep(2 * time.Second)
				b.crashDomain(2)
				time.Sleep(time.Second)
			}
		}, 0.9},
		{"all targets come back", func(b *coldBed) {
			for domain := range b.domains {
				b.crashDomain(domain)
			}
		}, 0.4},
		{"targets become cold while they run", func(b *coldBed) { b.coolDomain(1, 0) }, 0.97},
		{"targets become cold while they are drained, and tell it late", func(b *coldBed) {
			b.drain("d1")
			time.Sleep(3 * time.Second)
			b.coolDomain(1, time.Second)
			b.takeBack("d1")
		}, 0.97},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newColdBed(t, 1)
				go func() {
					time.Sleep(time.Second)
					s.hurt(b)
				}()
				b.backgroundCallers(coldLoad, length, b.uniqueBody)
				share := b.servedFraction(0, length)
				t.Logf("at most %d requests reached a cold target within a second; served %.3f", b.most, share)
				if b.most > coldMost {
					t.Errorf("%d requests reached a cold target within a second, allowed are %.0f", b.most, float64(coldMost))
				}
				if b.most < 5 {
					t.Errorf("a cold target got %d requests within a second: it is not warmed", b.most)
				}
				if share < s.least {
					t.Errorf("served %.3f, want %.2f", share, s.least)
				}
			})
		})
	}
}
