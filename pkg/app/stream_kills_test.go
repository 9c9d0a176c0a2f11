package app

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/storetest"
)

// killScenario is a way in which streams of two versions or services are under way when entries are killed.
type killScenario struct {
	name string
	// start is a fault of the store's calls in the first two seconds; nil for none.
	start func() func(*http.Request) storetest.Fault
	play  func(b *streamBed)
}

// streamKills are the ways. They are played settleTime and a second after the start.
var streamKills = []killScenario{
	{"while the store refuses writes", nil, func(b *streamBed) {
		b.refuseWrites()
		b.comeAndGo(1500 * time.Millisecond)
		b.restartAll()
		b.store.InjectFaults(nil)
	}},
	{"while the store does the first writes late", func() func(*http.Request) storetest.Fault { return eachFirstLate(7500 * time.Millisecond) }, func(b *streamBed) {
		b.comeAndGo(2 * time.Second)
		b.restartAll()
	}},
	{"while the store does the first writes of a version late", nil, func(b *streamBed) {
		b.store.InjectFaults(eachFirstLate(6500 * time.Millisecond))
		go func() {
			time.Sleep(300 * time.Millisecond)
			b.store.InjectFaults(nil)
		}()
		b.comeAndGo(6800 * time.Millisecond)
		b.restartAll()
	}},
	{"while the store does the writes of a version late that has gone", nil, func(b *streamBed) {
		b.comeAndGo(500 * time.Millisecond)
		b.store.InjectFaults(eachFirstLate(6500 * time.Millisecond))
		time.Sleep(300 * time.Millisecond)
		b.store.InjectFaults(nil)
		time.Sleep(4700 * time.Millisecond)
		b.comeAndGo(1500 * time.Millisecond)
		b.restartAll()
	}},
	{"and the store returns from a copy of before", nil, func(b *streamBed) {
		b.store.Copy()
		b.comeAndGo(1500 * time.Millisecond)
		go b.store.ReturnFromCopyAfter(100 * time.Millisecond)
		b.restartAll()
		b.store.RewriteLost(platform.TableOperators, platform.TableTargets)
	}},
	{"and the store returns from a copy of before at once", nil, func(b *streamBed) {
		b.store.Copy()
		b.comeAndGo(1500 * time.Millisecond)
		b.store.ReturnFromCopy()
		b.restartAll()
		b.store.RewriteLost(platform.TableOperators, platform.TableTargets)
	}},
	{"while a route leads elsewhere and back, and the store refuses writes", nil, func(b *streamBed) {
		b.setService("other")
		b.startSpare("w1")
		b.setService("")
		time.Sleep(2 * time.Second)
		b.refuseWrites()
		b.routeStreams(3, "other")
		time.Sleep(1500 * time.Millisecond)
		b.routeStreams(4, "s")
		time.Sleep(500 * time.Millisecond) // streams of the other service are still under way
		b.restartAll()
		b.store.InjectFaults(nil)
	}},
	{"while a route leads elsewhere and back", nil, func(b *streamBed) {
		b.setService("other")
		b.startSpare("w1")
		b.setService("")
		time.Sleep(2 * time.Second)
		b.routeStreams(3, "other")
		time.Sleep(1500 * time.Millisecond)
		b.routeStreams(4, "s")
		time.Sleep(500 * time.Millisecond) // streams of the other service are still under way
		b.restartAll()
	}},
}

// TestStreamsAreNotJoinedAfterAllEntriesAreKilled guards against streams that go on at another version after a kill of all
// entries, as the store's last word is older than they are.
func TestStreamsAreNotJoinedAfterAllEntriesAreKilled(t *testing.T) {
	for _, s := range streamKills {
		s.run(t, []int{3, 9})
	}
}

// run plays a scenario at some numbers of entries.
func (s *killScenario) run(t *testing.T, counts []int) {
	forEntries(t, s.name, counts, func(t *testing.T, entries int) {
		var fault func(*http.Request) storetest.Fault
		if s.start != nil {
			fault = s.start()
		}
		b := newStreamBedWith(t, 1, entries, true, fault)
		b.playKill(s.play)
		b.checkStreams(streamScenario{knownLost: true})
		b.checkTakenUp(t)
	})
}

// releaseKills are the ways in which a release is followed by a kill of all entries.
var releaseKills = []killScenario{
	{"a whole release, three rounds", nil, func(b *streamBed) {
		for round, version := range []ids.Version{"v2", "v3", "v4"} {
			b.release(version, round*streamTargets, streamTargets, 100*time.Millisecond)
			time.Sleep(2300 * time.Millisecond)
			b.restartAll()
			time.Sleep(time.Second)
		}
	}},
	{"half a release, 0.4 s later", nil, func(b *streamBed) {
		b.release("v2", 0, streamTargets/2, 100*time.Millisecond)
		time.Sleep(400 * time.Millisecond)
		b.restartAll()
	}},
	{"half a release, 1.5 s later", nil, func(b *streamBed) {
		b.release("v2", 0, streamTargets/2, 100*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		b.restartAll()
	}},
	{"a whole release, and entries come back one by one", nil, func(b *streamBed) {
		b.release("v2", 0, streamTargets, 100*time.Millisecond)
		b.restartInTurn(700 * time.Millisecond)
	}},
	{"a whole release, and the first start is set still", nil, func(b *streamBed) {
		b.setFirstStart(true)
		b.release("v2", 0, streamTargets, 100*time.Millisecond)
		b.restartAll()
	}},
	{"the store returns from a copy while entries live", nil, func(b *streamBed) {
		b.store.Copy()
		b.startSpare("v2")
		time.Sleep(1500 * time.Millisecond)
		b.store.ReturnFromCopyAfter(500 * time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		b.store.RewriteLost(platform.TableOperators, platform.TableTargets)
		time.Sleep(3450 * time.Millisecond)
		b.removeSpare()
		time.Sleep(50 * time.Millisecond)
		b.restartAll()
	}},
	{"the store returns from a copy of before a version that has gone, while entries live", nil, func(b *streamBed) {
		b.store.Copy()
		b.comeAndGo(1500 * time.Millisecond)
		b.store.ReturnFromCopyAfter(100 * time.Millisecond)
		b.store.RewriteLost(platform.TableOperators, platform.TableTargets)
		time.Sleep(300 * time.Millisecond)
		b.restartAll()
	}},
}

// TestStreamsAreNotJoinedAfterReleaseAndKill guards against streams that go on at the version that has replaced theirs.
func TestStreamsAreNotJoinedAfterReleaseAndKill(t *testing.T) {
	for _, s := range releaseKills {
		s.run(t, []int{3, 9})
	}
}

// TestStreamsAreNotJoinedAfterGroupsAreKilled guards against a record that one group of entries writes over that of
// another group, which has seen another version and which it does not hear.
func TestStreamsAreNotJoinedAfterGroupsAreKilled(t *testing.T) {
	groups := []struct {
		name  string
		group func(i int) int
	}{
		{"every second entry", func(i int) int { return i % 2 }},
		{"the first", func(i int) int { return min(i, 1) }},
		{"the second", func(i int) int { return max(i-1, 1-i) }},
		{"the third", func(i int) int { return min(max(i-2, 2-i), 1) }},
	}
	for _, g := range groups {
		for _, late := range []int{0, 1} {
			inGroup := func(i int) bool { return min(g.group(i), 1) == late }
			s := killScenario{fmt.Sprintf("%s apart, group %d reads late", g.name, late), nil, func(b *streamBed) {
				b.separate(func(i int) int { return min(g.group(i), 1) }, func(int) bool { return false })
				time.Sleep(3 * time.Second) // until each group has an owner
				b.faultFor(inGroup, func(r *http.Request) bool { return !isWrite(r) }, storetest.Fault{Silent: true})
				go func() {
					time.Sleep(1200 * time.Millisecond)
					b.store.InjectFaults(nil)
				}()
				b.comeAndGo(1500 * time.Millisecond)
				b.join()
				b.restartAll()
			}}
			s.run(t, []int{3, 9})
		}
	}
}

// TestStreamsAreNotJoinedWhileOneEntryIsRefused guards against records that are not written as their owner alone cannot
// reach the store: each entry in turn.
func TestStreamsAreNotJoinedWhileOneEntryIsRefused(t *testing.T) {
	refusals := []struct {
		name   string
		refuse func(b *streamBed, entry int)
	}{
		{"refused", func(b *streamBed, entry int) {
			b.faultFor(func(i int) bool { return i == entry }, func(*http.Request) bool { return true }, storetest.Fault{Status: http.StatusServiceUnavailable})
		}},
		{"reset", func(b *streamBed, entry int) { b.setStoreUnreachable(entry, true) }},
		{"not answered", func(b *streamBed, entry int) {
			b.faultFor(func(i int) bool { return i == entry }, func(*http.Request) bool { return true }, storetest.Fault{Silent: true})
		}},
	}
	scenario := func(name string, entry int, refuse func(b *streamBed, entry int)) *killScenario {
		return &killScenario{fmt.Sprintf("entry %d %s", entry, name), nil, func(b *streamBed) {
			refuse(b, entry)
			b.comeAndGo(1500 * time.Millisecond)
			b.restartAll()
			b.store.InjectFaults(nil)
			b.setStoreUnreachable(entry, false)
		}}
	}
	for i, r := range refusals {
		for entry := range 3 {
			scenario(r.name, entry, r.refuse).run(t, []int{3})
		}
		for entry := i; entry < 9; entry += len(refusals) {
			scenario(r.name, entry, r.refuse).run(t, []int{9})
		}
	}
}

// TestStreamsAreNotJoinedByEntriesThatAreCutOff guards against entries that go by what they have read before they were cut
// off: callers come to them when the entries that served them were killed.
func TestStreamsAreNotJoinedByEntriesThatAreCutOff(t *testing.T) {
	const step = 10 * time.Millisecond // between two targets of the release
	cuts := []struct {
		entries int // that are cut off, and hear one another
		after   []time.Duration
	}{
		{1, []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, time.Second, 1400 * time.Millisecond, 1900 * time.Millisecond, 4 * time.Second}},
		{2, []time.Duration{700 * time.Millisecond, 1400 * time.Millisecond, 1900 * time.Millisecond, 4 * time.Second}},
	}
	for _, c := range cuts {
		for _, after := range c.after {
			s := killScenario{fmt.Sprintf("%d for %v", c.entries, after), nil, func(b *streamBed) {
				b.cutOff(c.entries)
				b.choose(func(bool) int { return c.entries + b.draw(len(b.entries)-c.entries) })
				b.release("v2", 0, streamTargets, step)
				time.Sleep(after - streamTargets*step)
				b.choose(func(bool) int { return b.draw(c.entries) })
				for i := c.entries; i < len(b.entries); i++ {
					b.killEntry(i)
				}
				time.Sleep(time.Second)
				b.join()
				for i := c.entries; i < len(b.entries); i++ {
					b.startEntry(i)
				}
				b.choose(nil)
			}}
			s.run(t, []int{3, 9})
		}
	}
}

// cutOff has the first entries hear nothing of the others and of the store.
func (b *streamBed) cutOff(entries int) {
	b.separate(func(i int) int { return min(i/entries, 1) }, func(i int) bool { return i < entries })
}
