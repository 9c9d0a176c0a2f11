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
	dates bool          // whether its answers have a Date header
}

func (c vmClock) String() string {
	return fmt.Sprintf("clock %v ahead, answers dated %t", c.ahead, c.dates)
}

// vmClocks are the clocks that the tests use. From targets without dated answers an entry knows only the start in the
// row.
var vmClocks = []vmClock{
	{0, true}, {2 * time.Second, true}, {-2 * time.Second, true}, {20 * time.Second, true}, {-20 * time.Second, true},
	{0, false}, {2 * time.Second, false}, {-2 * time.Second, false},
}

// useClock makes the first target's answers carry the time of a VM's clock, or none.
func (b *adviceBed) useClock(c vmClock) {
	b.intercept = func(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
		if e.n == 0 {
			w.Header()["Date"] = nil
		}
		if e.n == 0 && c.dates {
			w.Header().Set("Date", time.Now().Add(c.ahead).UTC().Format(http.TimeFormat))
		}
		time.Sleep(crashWork) // so that several requests run at once
		return b.answer(e, w, r)
	}
}

// endBetweenRequests ends the first target between two requests, while the store is unreachable: no request fails, so
// that only the target's row shows that it has started again.
func (b *adviceBed) endBetweenRequests() {
	b.callers(time.Second)
	b.setStoreDown(true)
	time.Sleep(6 * time.Second) // until idle connections are closed
	b.engines[0].end()
	time.Sleep(50 * time.Millisecond)
}

// restartWithClock starts the first target again under its id. The start in its row is that of its VM's clock.
func (b *adviceBed) restartWithClock(c vmClock) {
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

// clearAdvice drops the reports of the first target's former incarnation.
func (b *adviceBed) clearAdvice() {
	b.adviceMu.Lock()
	defer b.adviceMu.Unlock()
	delete(b.leaving, 0)
	delete(b.rejections, 0)
	clear(b.passedOnAt)
	clear(b.backoffs)
}

// TestTargetLeavingSoonAfterRestart: while the store was unreachable, a target started again under its id and was
// stopped at once, as in a release that is rolled back. An entry passed on its report that it was leaving, and recorded
// it for the former incarnation, whose row was the newest that it had. When the store was back, with a row that was
// still ready, the entry sent the target requests again: it attributed the report to the former incarnation, since the
// connection had been made less than 3 s after the new start, and the clocks of two VMs may differ by that. A leaving
// target that had started 3 s before its first connection got nothing.
func TestTargetLeavingSoonAfterRestart(t *testing.T) {
	for _, c := range vmClocks {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newAdviceBedOf(t, 1, 1, crashTargets)
				b.useClock(c)
				b.endBetweenRequests()
				b.setLeaving(1)
				b.restartWithClock(c)
				go b.callers(b.now() + 11*time.Second)
				time.Sleep(6 * time.Second)
				b.adviceMu.Lock()
				passedOn := len(b.passedOnAt)
				b.adviceMu.Unlock()
				b.setStoreDown(false)
				// It writes the leaving state with its next heartbeat, at the latest.
				time.Sleep(2 * time.Second)
				b.row(wiretest.Draining)
				time.Sleep(4 * time.Second)
				b.adviceMu.Lock()
				t.Logf("%d requests sent after its report", b.afterLeaving)
				b.adviceMu.Unlock()
				if passedOn == 0 {
					t.Error("the entry got no report before the target's row was read")
				}
				b.check()
			})
		})
	}
}

// TestBackoffRequestedBeforeRestartIsRead: a target started again under its id while the store was unreachable,
// rejected requests and asked for a back-off. Its VM's clock was ahead, so that the start in its row seemed to be later
// than the connections of these answers. The entries attributed the back-off to the former incarnation, and sent three
// or more requests at once when they had read the row.
func TestBackoffRequestedBeforeRestartIsRead(t *testing.T) {
	for _, c := range vmClocks {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newAdviceBedOf(t, 1, 1, crashTargets)
				b.useClock(c)
				b.endBetweenRequests()
				b.rejectFirst(1, rejection{fraction: 1, backoff: 5 * time.Second})
				b.restartWithClock(c)
				go b.callersAt(3*adviceLoad, b.now()+6*time.Second)
				time.Sleep(3 * time.Second)
				b.adviceMu.Lock()
				before := b.rejected
				b.adviceMu.Unlock()
				b.setStoreDown(false)
				time.Sleep(4 * time.Second)
				b.adviceMu.Lock()
				t.Logf("%d requests rejected, %d before its row was read; %d more than allowed during a back-off", b.rejected, before, b.duringBackoff)
				b.adviceMu.Unlock()
				if before == 0 {
					t.Error("no request was rejected before its row was read")
				}
				b.check()
			})
		})
	}
}

// TestBackoffOfFormerIncarnationIsDropped: a target asked for a back-off of a minute, ended, and started again under
// its id on a VM whose clock was behind. The start in its row seemed to be earlier than the connections of its former
// incarnation; the entries applied the back-off to the new one, which got nothing for the remainder of the minute.
func TestBackoffOfFormerIncarnationIsDropped(t *testing.T) {
	for _, c := range vmClocks {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newAdviceBed(t)
				b.useClock(c)
				b.rejectFirst(1, rejection{fraction: 1, backoff: time.Minute})
				go b.callers(13 * time.Second)
				time.Sleep(time.Second)
				b.engines[0].end()
				time.Sleep(50 * time.Millisecond)
				b.clearAdvice()
				b.adviceMu.Lock()
				before := b.arrivals[b.engines[0].id]
				b.adviceMu.Unlock()
				b.restartWithClock(c)
				// Dates in the answers tell the incarnations apart at once; without them an entry waits.
				within := time.Second
				if !c.dates {
					within = 6 * time.Second
				}
				time.Sleep(within)
				b.adviceMu.Lock()
				got := b.arrivals[b.engines[0].id] - before
				b.adviceMu.Unlock()
				if got < 5 {
					t.Errorf("%d requests within %v of its start", got, within)
				}
				time.Sleep(15*time.Second - b.now())
			})
		})
	}
}
