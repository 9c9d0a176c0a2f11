package app

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/wiretest"
)

// drainedTime is how long after operators have drained a failure domain requests may still reach its targets.
const drainedTime = 5 * time.Second

// domainsBed is whole entries before targets in three failure domains, which operators drain and take back.
type domainsBed struct {
	*crashBed

	ordered  sync.Mutex
	drained  map[ids.FailureDomain]time.Duration // since when
	late     map[ids.FailureDomain]int           // requests that reached its targets too late
	arrivals map[ids.FailureDomain]int
}

func newDomainsBed(t *testing.T, seed uint64, targets int) *domainsBed {
	b := &domainsBed{
		crashBed: newCrashBedIn(t, seed, 4, targets, 3), drained: make(map[ids.FailureDomain]time.Duration),
		late: make(map[ids.FailureDomain]int), arrivals: make(map[ids.FailureDomain]int),
	}
	b.longRuns = true
	b.intercept = b.count
	return b
}

// count counts a request that has reached a target.
func (b *domainsBed) count(e *crashEngine, _ http.ResponseWriter, _ *http.Request) bool {
	b.ordered.Lock()
	defer b.ordered.Unlock()
	domain := b.domainOf(e.n)
	b.arrivals[domain]++
	if since, drained := b.drained[domain]; drained && b.now() > since+drainedTime {
		b.late[domain]++
	}
	return false
}

// drain has the operators drain a failure domain.
func (b *domainsBed) drain(domain ids.FailureDomain) {
	b.store.Put(platform.TableOperators, wiretest.DrainKey(domain), []byte("{}"))
	b.ordered.Lock()
	defer b.ordered.Unlock()
	b.drained[domain] = b.now()
	b.arrivals[domain] = 0
}

// takeBack has the operators take a failure domain back.
func (b *domainsBed) takeBack(domain ids.FailureDomain) {
	b.ordered.Lock()
	delete(b.drained, domain)
	b.arrivals[domain] = 0
	b.ordered.Unlock()
	b.store.Remove(platform.TableOperators, wiretest.DrainKey(domain))
}

// TestADrainedFailureDomain: operators drained a failure domain, so that its machines could be taken away, and
// requests went on reaching its targets for as long as it was drained, a third of all. The operators' row was read by each
// entry and passed over: nothing knew what it was. What proved that: the targets of the domain got as many requests
// as those of the others, from all entries alike, whether or not the store and the other entries could be reached.
func TestADrainedFailureDomain(t *testing.T) {
	const (
		drainAt = 2 * time.Second
		backAt  = 12 * time.Second
		length  = 16 * time.Second
	)
	scenarios := []struct {
		name  string
		hurt  func(b *domainsBed)
		least float64 // of the requests that are served
	}{
		{"in calm", nil, 0.99},
		{"targets break answers off", func(b *domainsBed) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.breakFraction = 0.1
		}, 0.85},
		{"entries are killed one after the other", func(b *domainsBed) {
			for i := range b.entries {
				time.Sleep(2500 * time.Millisecond)
				b.killEntry(i)
				time.Sleep(300 * time.Millisecond)
				b.startEntry(i)
			}
		}, 0.9},
		{"all entries are killed", func(b *domainsBed) {
			time.Sleep(6 * time.Second)
			b.restartAll()
		}, 0.85},
		{"one entry is turned away by the store", func(b *domainsBed) { b.setStoreUnreachable(1, true) }, 0.99},
		{"one entry starts while the store turns it away", func(b *domainsBed) {
			time.Sleep(4 * time.Second)
			b.killEntry(2)
			b.setStoreUnreachable(2, true)
			b.startEntry(2)
			time.Sleep(6 * time.Second)
			b.setStoreUnreachable(2, false)
		}, 0.9},
		{"the store is silent once it has taken the order", func(b *domainsBed) {
			time.Sleep(drainAt + 300*time.Millisecond)
			b.setStoreDown(true)
			time.Sleep(8 * time.Second)
			b.setStoreDown(false)
		}, 0.99},
		{"the store forgets its history", func(b *domainsBed) {
			for range 12 {
				time.Sleep(time.Second)
				b.store.TrimHistory()
			}
		}, 0.99},
		{"entries that hear nothing of one another", func(b *domainsBed) {
			for i := range b.entries {
				b.partition(i, true)
			}
		}, 0.95},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newDomainsBed(t, 1, crashTargets)
				if s.hurt != nil {
					go s.hurt(b)
				}
				go func() {
					time.Sleep(drainAt)
					b.drain("d1")
					time.Sleep(backAt - drainAt)
					b.takeBack("d1")
				}()
				b.backgroundCallers(200, length, b.uniqueBody)
				b.ordered.Lock()
				defer b.ordered.Unlock()
				share := b.servedFraction(0, length)
				t.Logf("%d requests reached drained targets too late; served %.3f; %d reached those taken back", b.late["d1"], share, b.arrivals["d1"])
				if b.late["d1"] > 0 {
					t.Errorf("%d requests reached targets later than %v after their failure domain was drained", b.late["d1"], drainedTime)
				}
				if share < s.least {
					t.Errorf("served %.3f, want %.2f", share, s.least)
				}
				if b.arrivals["d1"] == 0 {
					t.Error("nothing reaches the failure domain that was taken back")
				}
			})
		})
	}
}

// TestFailureDomainsAreDrainedInSeries: domains that are drained and taken back again and again, two at a time, also
// within one read of the store.
func TestFailureDomainsAreDrainedInSeries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 40 * time.Second
		b := newDomainsBed(t, 2, crashTargets)
		go func() {
			for _, domain := range []ids.FailureDomain{"d0", "d1", "d2", "d1"} {
				b.drain(domain)
				time.Sleep(7 * time.Second)
				b.takeBack(domain)
				b.drain(domain) // taken back by mistake
				time.Sleep(2 * time.Second)
				b.takeBack(domain)
			}
		}()
		b.backgroundCallers(150, length, b.uniqueBody)
		if share := b.servedFraction(0, length); share < 0.99 {
			t.Errorf("served %.3f", share)
		}
		for domain, n := range b.late {
			t.Errorf("%d requests reached targets of %s too late", n, domain)
		}
	})
}
