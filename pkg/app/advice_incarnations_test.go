package app

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/wiretest"
)

// vmClock is the clock of a target's VM.
type vmClock struct {
	ahead time.Duration // of the entries' clocks
	dates bool          // whether its answers tell the time
}

func (c vmClock) String() string {
	return fmt.Sprintf("clock %v ahead, answers dated %t", c.ahead, c.dates)
}

// vmClocks are the clocks that the tests play. Undated ones tell an entry nothing but the start in the row.
var vmClocks = []vmClock{
	{0, true}, {2 * time.Second, true}, {-2 * time.Second, true}, {20 * time.Second, true}, {-20 * time.Second, true},
	{0, false}, {2 * time.Second, false}, {-2 * time.Second, false},
}

// runOn has the first target's answers carry the time of a VM's clock, or none.
func (b *adviceBed) runOn(c vmClock) {
	b.intercept = func(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
		if e.n == 0 {
			w.Header()["Date"] = nil
		}
		if e.n == 0 && c.dates {
			w.Header().Set("Date", time.Now().Add(c.ahead).UTC().Format(http.TimeFormat))
		}
		time.Sleep(crashWork) // so that several requests are under way
		return b.answer(e, w, r)
	}
}

// endQuietly ends the first target between two requests, while the store is silent: none fails, so that nothing but its row
// tells that it has started again.
func (b *adviceBed) endQuietly() {
	b.callers(time.Second)
	b.setStoreDown(true)
	time.Sleep(6 * time.Second) // until no connection is kept
	b.engines[0].end()
	time.Sleep(50 * time.Millisecond)
}

// startAgain starts the first target again under its id. Its start is told by its VM's clock.
func (b *adviceBed) startAgain(c vmClock) {
	id := b.engines[0].id
	b.startEngineAs(0, id)
	b.mu.Lock()
	b.engines[0].born = ids.Start(time.Now().Add(c.ahead).UnixMilli())
	b.mu.Unlock()
	b.row(wiretest.Ready)
}

// row writes the row of the first target.
func (b *adviceBed) row(state string) {
	e := b.engine(0)
	row := wiretest.Engine{Service: "s", Address: e.address(), Domain: "d", Version: "v1", Slots: crashSlots, State: state, Sequence: 2, Born: e.born}
	b.store.Put(platform.TableTargets, e.id, row.Row())
}

// newTerms forgets what the first target's former life said.
func (b *adviceBed) newTerms() {
	b.said.Lock()
	defer b.said.Unlock()
	delete(b.leaving, 0)
	delete(b.sheds, 0)
	clear(b.told)
	clear(b.rests)
}

// TestATargetThatLeavesSoonAfterItsStart: while the store was silent, a target started again under its id and was told
// to leave at once, as in a release that is taken back. An entry passed on an answer of it that said so, and took it
// for the former life, whose row was the newest that it had. When the store was back, with a row that was still ready,
// the entry sent the target requests again: it had kept the word for the former life, since the connection had been
// made less than 3 s after the new start, and clocks of two VMs may differ by that. What proved that: with a
// leaving target that had started 3 s before its first connection nothing was sent.
func TestATargetThatLeavesSoonAfterItsStart(t *testing.T) {
	for _, c := range vmClocks {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newAdviceBedOf(t, 1, 1, crashTargets)
				b.runOn(c)
				b.endQuietly()
				b.leave(1)
				b.startAgain(c)
				go b.callers(b.now() + 11*time.Second)
				time.Sleep(6 * time.Second)
				b.said.Lock()
				told := len(b.told)
				b.said.Unlock()
				b.setStoreDown(false)
				// It writes that it leaves with its next beat, at the latest.
				time.Sleep(2 * time.Second)
				b.row(wiretest.Draining)
				time.Sleep(4 * time.Second)
				b.said.Lock()
				t.Logf("%d requests against its word", b.against)
				b.said.Unlock()
				if told == 0 {
					t.Error("its entry was not told before its row was read")
				}
				b.check()
			})
		})
	}
}

// TestARestThatIsAskedForBeforeTheStartIsRead: a target started again under its id while the store was silent, turned
// requests away and asked for rest. Its VM's clock was ahead, so that the start in its row seemed to be later than the
// connections on which it had said so; the entries took the rest for the former life's, and sent three and more
// requests at once when they had read the row.
func TestARestThatIsAskedForBeforeTheStartIsRead(t *testing.T) {
	for _, c := range vmClocks {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newAdviceBedOf(t, 1, 1, crashTargets)
				b.runOn(c)
				b.endQuietly()
				b.shed(1, shedding{share: 1, rest: 5 * time.Second})
				b.startAgain(c)
				go b.callersAt(3*adviceLoad, b.now()+6*time.Second)
				time.Sleep(3 * time.Second)
				b.said.Lock()
				before := b.declined
				b.said.Unlock()
				b.setStoreDown(false)
				time.Sleep(4 * time.Second)
				b.said.Lock()
				t.Logf("%d requests turned away, %d before its row was read; %d too many", b.declined, before, b.withinRest)
				b.said.Unlock()
				if before == 0 {
					t.Error("none was turned away before its row was read")
				}
				b.check()
			})
		})
	}
}

// TestARestOfAFormerLife: a target asked for a minute of rest, ended, and started again under its id on a VM whose clock
// was behind. The start in its row seemed to be earlier than the connections of its former life; the entries kept
// the rest for the new life, which got nothing for the rest of the minute.
func TestARestOfAFormerLife(t *testing.T) {
	for _, c := range vmClocks {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newAdviceBed(t)
				b.runOn(c)
				b.shed(1, shedding{share: 1, rest: time.Minute})
				go b.callers(13 * time.Second)
				time.Sleep(time.Second)
				b.engines[0].end()
				time.Sleep(50 * time.Millisecond)
				b.newTerms()
				b.said.Lock()
				before := b.arrivals[b.engines[0].id]
				b.said.Unlock()
				b.startAgain(c)
				// In doubt an entry waits; told by dates it need not.
				within := time.Second
				if !c.dates {
					within = 6 * time.Second
				}
				time.Sleep(within)
				b.said.Lock()
				got := b.arrivals[b.engines[0].id] - before
				b.said.Unlock()
				if got < 5 {
					t.Errorf("%d requests within %v of its start", got, within)
				}
				time.Sleep(15*time.Second - b.now())
			})
		})
	}
}
