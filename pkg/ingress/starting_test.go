package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/ingress"
	"quaydock/pkg/quota"
	"quaydock/pkg/view"
)

// A request arrives at an entry that has just started. It is served if the entry reads its configuration soon, and
// otherwise told to come back.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	scenarios := []struct {
		name  string
		after time.Duration // when the configuration is known, since the entry's start
		want  int           // status
		took  time.Duration // at most
	}{
		{"configuration known at once", 0, http.StatusOK, 5 * time.Millisecond},
		{"configuration known a little later", 80 * time.Millisecond, http.StatusOK, 90 * time.Millisecond},
		{"configuration not known for long", time.Second, http.StatusServiceUnavailable, 160 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, replies(200, "", "yes"))
				c := commontest.New(b.network)
				v := view.New(c.Check)
				pool := forward.NewPool(c, func(h map[string][]string) forward.AnswerMetadata { return testCodec{}.AnswerMetadata(h) }, askWho, nil)
				defer pool.Close()
				started := ingress.NewController(ingress.Dependencies{
					Common: c, View: v, HeaderCodec: testCodec{}, Scheduler: b.scheduler, Pool: pool, Meter: fakeMeter{}, Entries: fakeMeter{},
					Retries: quota.NewRetryBudget(quota.RetryBounds{Window: clock.Second}, c.Clock.Now()), Keys: ingress.KeyGrace{Limit: 5000, Strict: true},
				})
				configure := func() {
					v.SetDirectory(b.view.Directory())
					v.SetCatalog(b.view.Catalog())
					v.Confirmed(c.Clock.Now())
				}
				if s.after == 0 {
					configure()
				} else {
					time.AfterFunc(s.after, configure)
				}
				r := httptest.NewRequest(http.MethodPost, "http://h/safe/a", http.NoBody)
				r.Header.Set("Id", "1")
				r.Header.Set("Key", "key")
				r.Header.Set("Wait", "3000")
				w := httptest.NewRecorder()
				began := time.Now()
				started.ServeHTTP(w, r)
				if took := time.Since(began); w.Code != s.want || took > s.took {
					t.Errorf("status %d after %v, want %d within %v", w.Code, took, s.want, s.took)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}
