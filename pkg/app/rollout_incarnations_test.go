package app

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/storetest"
)

// TestRestartOntoAVersionBeforeItsOrderIsRead guards against requests to a version before any entry has read its order.
// Targets of the old version had started again with the new one under their ids, and counted as established, so that
// the new version got requests too early and beyond its fraction. Here the entries can't read the orders for a while
// but read the targets' rows; afterwards the roll-out has to proceed as usual.
func TestRestartOntoAVersionBeforeItsOrderIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			hidden = 1500 * time.Millisecond // for how long the order is unreadable after it was placed
			ahead  = 1500 * time.Millisecond // how long before, so that the reads that the store holds open have ended
			known  = 400 * time.Millisecond  // after which all entries have the engines' rows
		)
		order := rolloutOrder{duration: 18 * time.Second, defect: defect{fraction: 0.5}}
		b := newRolloutBed(t, 7, order)
		done := make(chan struct{})
		go func() {
			b.operate()
			close(done)
		}()
		before, early := -1, -1
		go func() {
			time.Sleep(warmUp - time.Since(b.began) - ahead)
			b.faultOfStore(ahead+hidden, func(r *http.Request) storetest.Fault {
				if r.URL.Query().Get("table") == platform.TableOperators {
					return storetest.Fault{Status: http.StatusServiceUnavailable}
				}
				return storetest.Fault{}
			})
		}()
		time.AfterFunc(warmUp+200*time.Millisecond, func() {
			for n := range 3 {
				b.startAgain(ids.Target(fmt.Sprint(oldVersion, "-", n)), newVersion)
			}
		})
		time.AfterFunc(warmUp+known, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			before = b.exposed
		})
		time.AfterFunc(warmUp+hidden-10*time.Millisecond, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			early = b.exposed - before
		})
		b.load(warmUp + order.duration + 8*time.Second)
		<-done
		o := b.outcome()
		t.Log(o)
		const maxBefore = 10 // that may arrive before any entry can have read the rows
		if before > maxBefore {
			t.Errorf("%d requests reached the version within %v of the order", before, known)
		}
		if early != 0 {
			t.Errorf("%d requests reached the version before its order could be read", early)
		}
		if float64(o.exposed) > exposeFraction*float64(o.reached)+exposeSlack || o.late > 0 || o.state != "rolled_back" {
			t.Errorf("%v", o)
		}
	})
}
