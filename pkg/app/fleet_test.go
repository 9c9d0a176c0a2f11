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

var fleetEntries = flag.Int("fleet.entries", 60, "how `many` entries start together")

const (
	fleetDomains    = 6
	fleetWrites     = 200 // a second, of one part of the store
	fleetAnswer     = 4 * time.Millisecond
	fleetStartsIn   = 300 * time.Millisecond // all VMs start within so long
	fleetFirstCalls = 24 * time.Second       // callers come so long after the first start
)

// fleetBed is a whole fleet of entries that start together beside a store that takes so many writes a second.
type fleetBed struct{ *crashBed }

func newFleetBed(t *testing.T, seed uint64, entries int) *fleetBed {
	b := &fleetBed{newBed(t, seed, entries, entries*10/3, 0, true)}
	b.entryDomains = fleetDomains
	b.store.LimitWrites(fleetWrites)
	b.store.InjectFaults(func(*http.Request) storetest.Fault { return storetest.Fault{Delay: fleetAnswer} })
	for n := range b.engines {
		row := wiretest.Engine{Service: "s", Address: targetAddress(n), Domain: "d0", Version: "v1", Slots: crashSlots, State: wiretest.Ready, Sequence: 1, Born: 1}
		b.store.Put(platform.TableTargets, fmt.Sprint("t-", n), row.Row())
	}
	return b
}

// startAll starts all entries within fleetStartsIn, in no order.
func (b *fleetBed) startAll() {
	for i := range b.entries {
		after := time.Duration(b.draw(int(fleetStartsIn)))
		time.AfterFunc(after, func() { b.startEntry(i) })
	}
}

// awaitServing waits until all entries serve and are on the list, and returns how long that took.
func (b *fleetBed) awaitServing(most time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < most {
		time.Sleep(50 * time.Millisecond)
		if b.serving() == len(b.entries) {
			return time.Since(began)
		}
	}
	return most
}

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
	fleetCalls = 1.3 // calls an entry that a start of all may cost
	// fleetFirst is how many the first that start, and the reader, make besides, whatever the size of the fleet.
	fleetFirst   = 60
	fleetSettles = 4 * time.Second // after which only the reader asks
	// fleetServes is how soon all are to serve, as they did when 60 or fewer started.
	fleetServes = 800 * time.Millisecond
)

// TestAStartOfAll: a start of 385 entries cost 7.9 calls to the store for each, 411 of which it turned away, and a start of
// all in the middle of a day 2.0. Each wrote its own row, 385 at once into a part that takes 200 a second, and asked again
// when it was turned away. Those that found the list empty, as it was until the first rows were in, each read all tables
// and followed them as if there were nobody else. What proved that: all calls of a day without disruption came before its first
// request; of 60 entries each made 5. By hand with -fleet.entries 385 and 1000.
func TestAStartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFleetBed(t, 1, *fleetEntries)
		for _, when := range []string{"first", "after all were killed"} {
			for i := range b.entries {
				b.killEntry(i)
			}
			before := b.store.AllCalls()
			b.startAll()
			took := b.awaitServing(fleetFirstCalls)
			time.Sleep(fleetSettles)
			n := len(b.entries)
			calls := b.store.AllCalls() - before
			t.Logf("%s: %d entries serve after %v; %.2f calls an entry, %d turned away", when, n, took, float64(calls)/float64(n), b.store.Rejected())
			if float64(calls) > fleetCalls*float64(n)+fleetFirst {
				t.Errorf("%s: %d calls of %d entries", when, calls, n)
			}
			if b.store.Rejected() > 0 {
				t.Errorf("%s: %d calls were turned away", when, b.store.Rejected())
			}
			if took > fleetServes {
				t.Errorf("%s: all serve after %v", when, took)
			}
		}
	})
}
