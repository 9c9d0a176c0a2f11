package app

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/buffers"
	"quaydock/pkg/operators"
	"quaydock/pkg/slowdown"
	"quaydock/platform/wiretest"
)

// TestStatusPagesOfWholeEntries checks what entries tell operators while a target reports that it is slowed and a caller
// does not read its answer: the slowed target at the owner of its service, the bytes at the caller's entry.
func TestStatusPagesOfWholeEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newSlowBed(t, 1)
		slowed := b.engine(0).id
		stream := b.intercept
		b.intercept = func(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
			load := "1,0,8,100"
			if e.id == slowed {
				load = "1,0,8,400"
			}
			wiretest.SetLoad(w.Header(), load)
			return stream(e, w, r)
		}
		const pausing = 40
		for range pausing {
			go b.call(b.newRequestID(), 0, time.Second)
			time.Sleep(10 * time.Millisecond)
		}
		owners := 0
		for i, e := range b.entries {
			var services []slowdown.ServiceReport
			readPage(t, e, operators.PathSlowed, &services)
			if len(services) > 0 {
				owners++
				s := services[0]
				if s.Service != "s" || s.Targets != crashTargets || s.Slowed != 1 || string(s.Slowest[0].Target) != slowed || s.Slowest[0].Factor < 1.2 {
					t.Errorf("the owner of the service shows %+v", s)
				}
			}
			var held buffers.Report
			readPage(t, e, operators.PathBuffers, &held)
			if held.Limits != buffers.LimitsFor(b.memoryMB) || (held.Held.Readers > 0) != (i == 0) || (len(held.Slowest) > 0) != (i == 0) {
				t.Errorf("entry %d shows %+v", i, held)
			}
		}
		if owners != 1 {
			t.Errorf("%d entries show targets as slowed", owners)
		}
		time.Sleep(3 * time.Second)
	})
}

// readPage reads a page of an entry's operators' address.
func readPage(t *testing.T, e *crashEntry, path string, page any) {
	t.Helper()
	recorder := httptest.NewRecorder()
	e.process.metricsServer.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	if err := json.Unmarshal(recorder.Body.Bytes(), page); err != nil {
		t.Errorf("%s: %d, %v", path, recorder.Code, err)
	}
}
