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

// The limit of a cold target in these tests: its rate of requests per second, and the tolerance of the limit.
const (
	coldPerSecond = 20                                 // requests
	coldOver      = 1.5                                // factor on coldPerSecond
	coldSlack     = 5                                  // requests beyond that
	coldMax       = coldPerSecond*coldOver + coldSlack // requests that may reach a cold target within a second
	coldTargets   = 6                                  // in all failure domains together
	// coldLoad is the rate of requests per second of all callers: for each target two and a half times coldPerSecond.
	coldLoad = 300
)

// coldBed is a test bed of complete entries in front of targets in three failure domains, which are cold after a start.
type coldBed struct {
	*domainsBed

	countMu     sync.Mutex
	coldUntil   map[string]time.Duration   // by target id; set with its first request, or by makeDomainCold
	arrived     map[string][]time.Duration // at cold targets within the last second, by target id
	maxInSecond int                        // the most requests that reached a cold target within a second
}

// newColdBed starts a bed and configures the limit, with which the entries start again. Targets that start from then on
// are cold.
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

// countCold counts a request that has reached a cold target. It leaves the answer to the target.
func (b *coldBed) countCold(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
	b.count(e, w, r)
	now := b.now()
	b.countMu.Lock()
	defer b.countMu.Unlock()
	until, known := b.coldUntil[e.id]
	if !known { // its first request, or it became cold before it started
		until = time.UnixMilli(int64(e.born)).Add(coldTime).Sub(b.began)
		b.coldUntil[e.id] = until
	}
	// A target that started before the bed began to count is warm.
	if now >= until || time.UnixMilli(int64(e.born)).Before(b.began) && !known {
		return false
	}
	list := append(b.arrived[e.id], now)
	list = slices.DeleteFunc(list, func(at time.Duration) bool { return at <= now-time.Second })
	b.arrived[e.id] = list
	b.maxInSecond = max(b.maxInSecond, len(list))
	return false
}

// crashDomain ends all targets of a failure domain; they start again together, cold.
func (b *coldBed) crashDomain(domain int) {
	for n, e := range b.currentEngines() {
		if n%b.domains == domain {
			e.crash()
		}
	}
}

// currentEngines returns the present incarnations of all targets.
func (b *coldBed) currentEngines() []*crashEngine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.engines)
}

// makeDomainCold makes all running targets of a failure domain cold. Their rows report it after reportAfter.
func (b *coldBed) makeDomainCold(domain int, reportAfter time.Duration) {
	for n, e := range b.currentEngines() {
		if n%b.domains != domain {
			continue
		}
		b.countMu.Lock()
		b.coldUntil[e.id] = b.now() + coldTime
		b.countMu.Unlock()
		row := e.row
		row.ColdFor = int((coldTime - reportAfter).Milliseconds())
		time.AfterFunc(reportAfter, func() { b.store.Put(platform.TableTargets, e.id, row.Row()) })
	}
}

// TestColdTargetsGetLimitedRate guards against entries that read the slow-start time in the targets' rows and ignore
// it. Targets that had just started got as many requests at once as warm ones, far more than they could take, and
// failed. The fault needs no partition: with all entries in touch and one planner for all, the targets of a failure
// domain that came back got their first requests as fast as the callers sent them.
func TestColdTargetsGetLimitedRate(t *testing.T) {
	const length = 12 * time.Second
	scenarios := []struct {
		name      string
		fault     func(b *coldBed)
		minServed float64 // fraction of the requests
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
		{"and entries are partitioned from the others, and come back", func(b *coldBed) {
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
		{"and all entries are partitioned", func(b *coldBed) {
			for i := range b.entries {
				b.partition(i, true)
			}
			time.Sleep(2 * time.Second)
			b.crashDomain(1)
		}, 0.8},
		{"and two failure domains come back repeatedly", func(b *coldBed) {
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
		{"targets become cold while they run", func(b *coldBed) { b.makeDomainCold(1, 0) }, 0.97},
		{"targets become cold while they are drained, and report it late", func(b *coldBed) {
			b.drain("d1")
			time.Sleep(3 * time.Second)
			b.makeDomainCold(1, time.Second)
			b.endDrain("d1")
		}, 0.97},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newColdBed(t, 1)
				go func() {
					time.Sleep(time.Second)
					s.fault(b)
				}()
				b.backgroundCallers(coldLoad, length, b.uniqueBody)
				fraction := b.servedFraction(0, length)
				t.Logf("at most %d requests reached a cold target within a second; served %.3f", b.maxInSecond, fraction)
				if b.maxInSecond > coldMax {
					t.Errorf("%d requests reached a cold target within a second, want at most %.0f", b.maxInSecond, float64(coldMax))
				}
				if b.maxInSecond < 5 {
					t.Errorf("a cold target got at most %d requests within a second, too few to warm up", b.maxInSecond)
				}
				if fraction < s.minServed {
					t.Errorf("served %.3f, want %.2f", fraction, s.minServed)
				}
			})
		})
	}
}
