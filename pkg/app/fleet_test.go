package app

import (
	"flag"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/platform"
	"quaydock/platform/storetest"
	"quaydock/platform/wiretest"
)

var fleetEntries = flag.Int("fleet.entries", 60, "how `many` entries start at once")

const (
	fleetDomains         = 6                      // the entries' failure domains
	fleetWritesPerSecond = 200                    // per second, of one part of the store
	fleetStoreDelay      = 4 * time.Millisecond   // of each answer of the store
	fleetStartSpan       = 300 * time.Millisecond // all VMs start within this time
	fleetTimeout         = 24 * time.Second       // from the first start until callers come
)

// fleetBed is a test bed of a whole fleet of entries that start at once, with a store that accepts
// fleetWritesPerSecond.
type fleetBed struct{ *crashBed }

// newFleetBed returns a bed with the rows of targets and no entry that runs.
func newFleetBed(t *testing.T, seed uint64, entries int) *fleetBed {
	b := &fleetBed{newBed(t, seed, entries, entries*10/3, 0, true)}
	b.entryDomains = fleetDomains
	b.store.LimitWrites(fleetWritesPerSecond)
	b.store.InjectFaults(func(*http.Request) storetest.Fault { return storetest.Fault{Delay: fleetStoreDelay} })
	for n := range b.engines {
		row := wiretest.Engine{Service: "s", Address: targetAddress(n), Domain: "d0", Version: "v1", Slots: crashSlots, State: wiretest.Ready, Sequence: 1, Born: 1}
		b.store.Put(platform.TableTargets, fmt.Sprint("t-", n), row.Row())
	}
	return b
}

// startAll starts all entries within fleetStartSpan, in random order.
func (b *fleetBed) startAll() {
	for i := range b.entries {
		after := time.Duration(b.draw(int(fleetStartSpan)))
		time.AfterFunc(after, func() { b.startEntry(i) })
	}
}

// awaitServing waits until all entries are ready and know the list of entries, and returns how long that took.
func (b *fleetBed) awaitServing(timeout time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < timeout {
		time.Sleep(50 * time.Millisecond)
		if b.serving() == len(b.entries) {
			return time.Since(began)
		}
	}
	return timeout
}

// serving returns how many entries are ready and know the list of entries.
func (b *fleetBed) serving() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.entries {
		if e == nil || !e.process.controller.Ready() {
			continue
		}
		if _, known := e.process.members.Entries(); known {
			n++
		}
	}
	return n
}

const (
	fleetCallsPerEntry = 1.3 // calls to the store per entry that a start of all entries may cost
	// fleetExtraCalls is how many calls the first entries to start and the feed reader make besides, whatever the size of
	// the fleet.
	fleetExtraCalls   = 60
	fleetSettlingTime = 4 * time.Second // after which only the feed reader queries the store
	// fleetServingTime is the time within which all entries must serve, as they did when 60 or fewer started.
	fleetServingTime = 800 * time.Millisecond
)

// TestSimultaneousStartOfAllEntries: a start of 385 entries cost 7.9 calls to the store per entry, 411 of which it
// rejected, and a restart of all in the middle of a day 2.0. Each entry wrote its own row, 385 at once into a part
// of the store that accepts 200 writes a second, and retried when it was rejected. Entries that found the list
// still empty, before the first rows were written, each read all tables and followed them as if there were no other
// entry. On a day without disruption all calls came before the first request; of 60 entries each made 5. Run by
// hand with -fleet.entries 385 and 1000.
func TestSimultaneousStartOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFleetBed(t, 1, *fleetEntries)
		for _, when := range []string{"first", "after all were killed"} {
			for i := range b.entries {
				b.killEntry(i)
			}
			before := b.store.AllCalls()
			b.startAll()
			took := b.awaitServing(fleetTimeout)
			time.Sleep(fleetSettlingTime)
			n := len(b.entries)
			calls := b.store.AllCalls() - before
			t.Logf("%s: %d entries serve after %v; %.2f calls per entry, %d rejected", when, n, took, float64(calls)/float64(n), b.store.Rejected())
			if float64(calls) > fleetCallsPerEntry*float64(n)+fleetExtraCalls {
				t.Errorf("%s: %d calls of %d entries", when, calls, n)
			}
			if b.store.Rejected() > 0 {
				t.Errorf("%s: %d calls were rejected", when, b.store.Rejected())
			}
			if took > fleetServingTime {
				t.Errorf("%s: all serve after %v", when, took)
			}
		}
	})
}
