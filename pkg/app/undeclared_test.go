package app

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/platform"
	"quaydock/platform/storetest"
)

// replaceTargets has all targets leave and, after a pause, others of a version come.
func (b *streamBed) replaceTargets(pause time.Duration) {
	for n := range streamTargets {
		b.store.Remove(platform.TableTargets, b.engine(n).id)
	}
	time.Sleep(pause)
	for n := streamTargets; n < streamTargets+spareTargets; n++ {
		b.startEngine(n)
	}
}

// TestPlainRequestsAreServedWhileNoStreamMayBegin guards against requests that are no streams, but are refused as the store
// does not name the version of their service's targets.
func TestPlainRequestsAreServedWhileNoStreamMayBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStreamBed(t, 1, 3, true)
		time.Sleep(3 * time.Second)
		b.store.InjectFaults(func(r *http.Request) storetest.Fault {
			if isWrite(r) {
				return storetest.Fault{Status: http.StatusServiceUnavailable}
			}
			return storetest.Fault{}
		})
		b.setVersion("v2")
		b.replaceTargets(0)
		time.Sleep(5 * time.Second)
		for i := range 3 {
			if status, _ := b.call(i, "/safe/q", "key-a", b.uniqueBody()); status != http.StatusOK {
				t.Errorf("entry %d answers %d", i, status)
			}
		}
		b.close()
	})
}

// TestVersionThatIsListedAgainIsUsedSoon guards against targets that get no requests though the store names their version.
func TestVersionThatIsListedAgainIsUsedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStreamBed(t, 1, 3, true)
		time.Sleep(3300 * time.Millisecond)
		b.replaceTargets(3 * time.Second)
		listed := time.Now()
		for {
			status, _ := b.call(1, "/safe/q", "key-a", b.uniqueBody())
			if took := time.Since(listed); status == http.StatusOK || took > 5*time.Second {
				if took > 300*time.Millisecond {
					t.Errorf("status %d, %d ms after the targets came", status, took.Milliseconds())
				}
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		b.close()
	})
}
