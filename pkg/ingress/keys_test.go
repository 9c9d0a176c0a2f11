package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ingress"
	"quaydock/pkg/routing"
)

func TestTheKeyStaysHereAndTheAccountGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, freely{}, says(200, "", "yes"))
		b.call(context.Background(), "/unsafe/a", map[string]string{"Account": "forged"})
		got := b.arrived()[0]
		if got.header.Get("Key") != "" || got.header.Get("Account") != "acme" || got.body != "question" {
			t.Errorf("arrived with %v and %q", got.header, got.body)
		}
	})
}

func TestAKeyTakenAwayWhileItsRequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, freely{}, says(200, "", "yes"))
		b.scheduler.delay = time.Second
		time.AfterFunc(500*time.Millisecond, func() {
			b.accounts = []*routing.Account{{Name: "acme", Keys: []string{"another"}}}
			b.configure(2)
			b.view.Confirmed(b.clock.Now())
		})
		got := b.call(context.Background(), "/unsafe/a", nil)
		if got.status != http.StatusServiceUnavailable || len(b.arrived()) != 0 {
			t.Errorf("status %d, %d arrivals", got.status, len(b.arrived()))
		}
	})
}

// TestAFrozenEntryDoesNotTrustItsKeys wakes an entry after 6 s without news: the
// request that was waiting in it must not run.
func TestAFrozenEntryDoesNotTrustItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, freely{}, says(200, "", "yes"))
		b.scheduler.delay = 4500 * time.Millisecond
		got := b.call(context.Background(), "/unsafe/a", nil)
		if got.status != http.StatusServiceUnavailable || len(b.arrived()) != 0 {
			t.Errorf("status %d, %d arrivals", got.status, len(b.arrived()))
		}
	})
}

// TestKeysWithoutProof has an entry without news for a while: with a strict bound
// it serves no keyed request beyond it, without one it does until the other
// entries may share out its part, or, while they surely do not, for as long as the
// operator allows.
func TestKeysWithoutProof(t *testing.T) {
	scenarios := []struct {
		strict  bool
		assured bool
		after   time.Duration
		want    int
	}{
		{true, false, 4 * time.Second, http.StatusOK},
		{true, true, 4500 * time.Millisecond, http.StatusServiceUnavailable},
		{false, false, 4500 * time.Millisecond, http.StatusOK},
		{false, false, 7400 * time.Millisecond, http.StatusOK},
		{false, false, 7600 * time.Millisecond, http.StatusServiceUnavailable},
		{false, true, 19 * time.Second, http.StatusOK},
		{false, true, 21 * time.Second, http.StatusServiceUnavailable},
	}
	for _, s := range scenarios {
		t.Run(fmt.Sprint(s.strict, s.assured, s.after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, freely{assuredAlways: s.assured}, says(200, "", "yes"))
				b.controller.SetKeyGrace(ingress.KeyGrace{Limit: 5000, Strict: s.strict, Max: 20 * clock.Second})
				time.Sleep(s.after)
				if got := b.call(context.Background(), "/unsafe/a", nil); got.status != s.want {
					t.Errorf("status %d, want %d", got.status, s.want)
				}
				if got := b.call(context.Background(), "/open/a", nil); got.status != http.StatusOK {
					t.Errorf("without a key: status %d", got.status)
				}
			})
		})
	}
}
