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

// checkAllGoOn checks that all streams that were taken up again went on.
func (b *streamBed) checkAllGoOn(t *testing.T) {
	b.checkStreams(streamScenario{knownLost: true})
	b.checkTakenUp(t)
	b.streamMu.Lock()
	defer b.streamMu.Unlock()
	if n := b.tally; n.wentOn < n.returns {
		t.Errorf("%d of %d streams that were taken up again went on, %d were told that they can't", n.wentOn, n.returns, n.refusedReturns)
	}
}

// TestStreamsGoOnAfterAllEntriesAreKilled guards against streams of a service of one version that nobody knows any more
// after a kill of all entries.
func TestStreamsGoOnAfterAllEntriesAreKilled(t *testing.T) {
	scenarios := []struct {
		name string
		long time.Duration // for which the entries have run
		play func(b *streamBed)
	}{
		{"after the first start", 0, (*streamBed).restart},
		{"one version for six minutes", 6 * time.Minute, (*streamBed).restart},
		{"the store has returned from a copy", 0, func(b *streamBed) { b.returnAndRestart(2 * time.Second) }},
		{"the store has returned from a copy after six minutes", 6 * time.Minute, func(b *streamBed) { b.returnAndRestart(2 * time.Second) }},
		{"the store refuses writes", 0, func(b *streamBed) {
			b.refuseWrites()
			time.Sleep(time.Second)
			b.restartAll()
			time.Sleep(2700 * time.Millisecond)
			b.store.InjectFaults(nil)
		}},
	}
	for _, s := range scenarios {
		forEntries(t, s.name, []int{3, 9}, func(t *testing.T, entries int) {
			b := newStreamBed(t, 2, entries, true)
			time.Sleep(s.long)
			b.playKill(s.play)
			b.checkAllGoOn(t)
		})
	}
}

// restart is restartAll, for use as a play.
func (b *streamBed) restart() { b.restartAll() }

// returnAndRestart has the store return from a copy, and kills all entries 4 s later.
func (b *streamBed) returnAndRestart(age time.Duration) {
	b.returnFromCopy(age, 500*time.Millisecond)
	time.Sleep(3500 * time.Millisecond)
	b.restartAll()
}

// TestNewVersionIsServedSoon guards against targets of a new version that wait for streams while the old ones leave.
func TestNewVersionIsServedSoon(t *testing.T) {
	const (
		limit        = time.Second
		refusedLimit = 2500 * time.Millisecond
	)
	play := func(name string, counts []int, refused int, within time.Duration) {
		forEntries(t, name, counts, func(t *testing.T, entries int) {
			b := newStreamBed(t, 2, entries, true)
			b.playKill(func(b *streamBed) { b.releaseAndWait(refused, "v2") })
			b.checkServedSoon(t, within)
		})
	}
	play("a sound store", []int{3, 9}, -1, limit)
	for _, entries := range []int{3, 9} {
		for refused := range entries { // one of them owns the service
			play(fmt.Sprintf("entry %d is refused by the store", refused), []int{entries}, refused, refusedLimit)
		}
	}
}

// releaseAndWait replaces all targets at once, while the store refuses the calls of an entry; -1 for none.
func (b *streamBed) releaseAndWait(refused int, version ids.Version) {
	if refused >= 0 {
		b.faultFor(func(i int) bool { return i == refused }, func(*http.Request) bool { return true }, storetest.Fault{Status: http.StatusServiceUnavailable})
	}
	b.streamMu.Lock()
	b.releasedAt = b.now()
	b.streamMu.Unlock()
	b.setVersion(version)
	for n := range streamTargets {
		b.leave(b.engine(n))
		b.startEngine(streamTargets + n)
	}
	time.Sleep(4 * time.Second)
	for n := range streamTargets {
		b.store.Remove(platform.TableTargets, b.engine(n).id)
	}
	b.store.InjectFaults(nil)
}

// checkServedSoon checks when the new version had its first stream.
func (b *streamBed) checkServedSoon(t *testing.T, within time.Duration) {
	b.checkStreams(streamScenario{})
	b.streamMu.Lock()
	defer b.streamMu.Unlock()
	begun, served := b.begunAt["s/v2"]
	t.Logf("the new version got its first stream %v after its rows", begun-b.releasedAt)
	if !served || begun-b.releasedAt > within {
		t.Errorf("the new version got its first stream %v after its rows (any: %t), want %v", begun-b.releasedAt, served, within)
	}
}

// TestBothVersionsAreServed guards against a version beside another one that gets no streams.
func TestBothVersionsAreServed(t *testing.T) {
	forEntries(t, "two versions", []int{3, 9}, func(t *testing.T, entries int) {
		b := newStreamBed(t, 2, entries, false)
		b.playKill(func(*streamBed) { time.Sleep(time.Second) })
		b.checkStreams(streamScenario{})
		b.streamMu.Lock()
		defer b.streamMu.Unlock()
		for _, version := range []string{"s/v1", "s/v2"} {
			if _, served := b.begunAt[version]; !served {
				t.Errorf("no stream at %s", version)
			}
		}
	})
}

// TestMovedRouteIsServedSoon guards against a route whose streams may begin at neither service after it has moved.
func TestMovedRouteIsServedSoon(t *testing.T) {
	forEntries(t, "a sound store", []int{3, 9}, func(t *testing.T, entries int) {
		const within = time.Second
		b := newStreamBed(t, 1, entries, true)
		b.setService("other")
		b.startSpare("w1")
		var moved time.Duration
		b.playKill(func(b *streamBed) {
			moved = b.now()
			b.routeStreams(3, "other")
			time.Sleep(4 * time.Second)
		})
		b.checkStreams(streamScenario{})
		b.streamMu.Lock()
		defer b.streamMu.Unlock()
		begun, served := b.begunAt["other/w1"]
		if !served || begun-moved > within {
			t.Errorf("the other service got its first stream %v after the move (any: %t), want %v", begun-moved, served, within)
		}
	})
}
