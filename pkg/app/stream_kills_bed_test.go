package app

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
	"quaydock/platform"
	"quaydock/platform/storetest"
	"quaydock/platform/wiretest"
)

const (
	// spareTargets is how many targets more than those of a streamBed there can be.
	spareTargets = 4
	killCallers  = 40 // of streams that are under way at a kill
	// minKilled is the least number of streams that must have been taken up again for a play to say something.
	minKilled = 15
	// afterKill is for how long callers begin streams after the last kill.
	afterKill = time.Second
	// settleTime is how long a play waits until what entries write at the start is done.
	settleTime = 3 * time.Second
)

// isWrite reports whether a call of the store is a write.
func isWrite(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "-tx") }

// eachFirstLate returns a fault by which the first write of each content is done late, after its connection was closed.
func eachFirstLate(late time.Duration) func(*http.Request) storetest.Fault {
	seen := make(map[string]bool)
	return func(r *http.Request) storetest.Fault {
		if !isWrite(r) {
			return storetest.Fault{}
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return storetest.Fault{}
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if seen[string(body)] {
			return storetest.Fault{}
		}
		seen[string(body)] = true
		return storetest.Fault{Late: late}
	}
}

// refuseWrites has the store refuse all entries' writes.
func (b *streamBed) refuseWrites() {
	b.store.InjectFaults(func(r *http.Request) storetest.Fault {
		if isWrite(r) {
			return storetest.Fault{Status: http.StatusServiceUnavailable}
		}
		return storetest.Fault{}
	})
}

// comeAndGo has two targets of another version come and go. They serve on when their rows are gone, as targets that leave.
func (b *streamBed) comeAndGo(stay time.Duration) {
	b.startSpare("v2")
	time.Sleep(stay)
	b.removeSpare()
	time.Sleep(50 * time.Millisecond)
}

// startSpare starts the spare targets as a version, in place of former ones.
func (b *streamBed) startSpare(version ids.Version) {
	b.setVersion(version)
	for n := streamTargets; n < streamTargets+spareTargets; n++ {
		if former := b.engine(n); former != nil {
			former.end()
		}
		b.startEngine(n)
	}
	b.setVersion("v1")
}

// removeSpare deletes the rows of the spare targets.
func (b *streamBed) removeSpare() {
	for n := streamTargets; n < streamTargets+spareTargets; n++ {
		b.store.Remove(platform.TableTargets, b.engine(n).id)
	}
}

// release replaces a number of the targets from one on by targets of a version at other addresses, one after the other.
// The former ones leave: they say so, serve on, and their rows go once the next one has started.
func (b *streamBed) release(version ids.Version, first, number int, pause time.Duration) {
	for n := first; n < first+number; n++ {
		former := b.engine(n)
		b.leave(former)
		b.setVersion(version)
		b.startEngine(n + streamTargets)
		b.setVersion("v1")
		time.Sleep(pause)
		b.store.Remove(platform.TableTargets, former.id)
	}
}

// leave has the row of a target say that it is leaving.
func (b *streamBed) leave(e *crashEngine) {
	row := e.row
	row.State = wiretest.Draining
	b.store.Put(platform.TableTargets, e.id, row.Row())
}

// setService sets the service of targets that start from now on.
func (b *streamBed) setService(service ids.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service = service
}

// routeStreams writes a version of the configuration in which the route of streams leads to a service.
func (b *streamBed) routeStreams(version int, service ids.Service) {
	configuration := b.streamConfiguration(version, service)
	b.store.Put(platform.TableOperators, platform.KeyConfiguration, configuration.Row())
}

// entryOf returns the number of the entry with an IP address, and whether there is one.
func (b *streamBed) entryOf(address string) (int, bool) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return 0, false
	}
	for i := range b.entries {
		if entryIP(i) == host {
			return i, true
		}
	}
	return 0, false
}

// separate has entries of different groups hear nothing of one another, and some nothing of the store, also not what they
// have asked it already.
func (b *streamBed) separate(group func(i int) int, withoutStore func(i int) bool) {
	b.datagrams.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
		x, _ := b.entryOf(from.String())
		y, _ := b.entryOf(to.String())
		return group(x) != group(y)
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, e := range b.entries {
		if e != nil {
			e.net.cutOff(func(address string) bool {
				other, found := b.entryOf(address)
				return found && group(other) != group(i) || withoutStore(i) && address == storeAddress(i)
			})
		}
	}
}

// join ends separate.
func (b *streamBed) join() {
	b.datagrams.Lose(nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e != nil {
			e.net.cutOff(nil)
		}
	}
}

// faultFor injects a fault of the calls of some entries for which a condition holds.
func (b *streamBed) faultFor(entry func(i int) bool, holds func(*http.Request) bool, fault storetest.Fault) {
	faulty := make(map[string]bool)
	for i := range b.entries {
		faulty[storeAddress(i)] = entry(i)
	}
	b.store.InjectFaults(func(r *http.Request) storetest.Fault {
		if holds(r) && faulty[r.Host] {
			return fault
		}
		return storetest.Fault{}
	})
}

// choose has callers choose the entry of each try by a function from now on; nil is at random.
func (b *streamBed) choose(entry func(again bool) int) {
	b.streamMu.Lock()
	defer b.streamMu.Unlock()
	b.chooseEntry = entry
}

// setFirstStart tells entries that start from now on whether the system starts for the first time.
func (b *streamBed) setFirstStart(first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstStart = first
}

// restartInTurn kills all entries at the same time and starts them again one by one.
func (b *streamBed) restartInTurn(pause time.Duration) {
	for i := range b.entries {
		b.killEntry(i)
	}
	for i := range b.entries {
		time.Sleep(pause)
		b.startEntry(i)
	}
}

// playKill runs a play after settleTime, with callers from its beginning until afterKill after its end.
func (b *streamBed) playKill(play func(b *streamBed)) {
	time.Sleep(settleTime)
	until := make(chan struct{})
	go func() {
		defer close(until)
		time.Sleep(time.Second) // until streams are under way
		play(b)
		time.Sleep(afterKill)
	}()
	b.runCallersWhile(killCallers, streamEvents*streamEvery, func() bool {
		select {
		case <-until:
			return false
		default:
			return true
		}
	})
}

// checkTakenUp checks that so many streams were taken up again that a play says something.
func (b *streamBed) checkTakenUp(t *testing.T) {
	b.streamMu.Lock()
	defer b.streamMu.Unlock()
	if b.tally.returns < minKilled {
		t.Errorf("%d streams were taken up again, want %d or more", b.tally.returns, minKilled)
	}
}

// forEntries runs a test in virtual time for each of some numbers of entries.
func forEntries(t *testing.T, name string, counts []int, run func(t *testing.T, entries int)) {
	for _, entries := range counts {
		t.Run(fmt.Sprintf("%s, %d entries", name, entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, entries) })
		})
	}
}
