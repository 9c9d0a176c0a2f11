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

// TestTargetGetsAccountInsteadOfKey guards against callers' keys that reach targets, and against an account that the
// caller names itself.
func TestTargetGetsAccountInsteadOfKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, replies(200, "", "yes"))
		b.call(context.Background(), "/unsafe/a", map[string]string{"Account": "forged"})
		got := b.arrived()[0]
		if got.header.Get("Key") != "" || got.header.Get("Account") != "acme" || got.body != "question" {
			t.Errorf("arrived with %v and %q", got.header, got.body)
		}
	})
}

// TestKeyRemovedWhileRequestWaits guards against a request that is sent although its key was removed after its
// admission.
func TestKeyRemovedWhileRequestWaits(t *testing.T) {
	for _, s := range []struct {
		name string
		left []*routing.Account
	}{
		{"the account has another key", []*routing.Account{{Name: "acme", Keys: []string{"another"}}}},
		{"the account has no key", []*routing.Account{{Name: "acme"}}},
		{"no account is left", nil},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, replies(200, "", "yes"))
				b.scheduler.delay = time.Second
				time.AfterFunc(500*time.Millisecond, func() {
					b.accounts = s.left
					b.configure(2)
					b.view.Confirmed(b.clock.Now())
				})
				got := b.call(context.Background(), "/unsafe/a", nil)
				if got.status != http.StatusServiceUnavailable || len(b.arrived()) != 0 {
					t.Errorf("status %d, %d arrivals", got.status, len(b.arrived()))
				}
			})
		})
	}
}

// A request waits 4.5 s at an entry whose configuration is not confirmed meanwhile, as when the entry is suspended,
// with a strict limit of 5 s on removed keys. It must not run, as its key may have been removed.
func TestStaleKeyIsNotUsedAfterWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, replies(200, "", "yes"))
		b.scheduler.delay = 4500 * time.Millisecond
		got := b.call(context.Background(), "/unsafe/a", nil)
		if got.status != http.StatusServiceUnavailable || len(b.arrived()) != 0 {
			t.Errorf("status %d, %d arrivals", got.status, len(b.arrived()))
		}
	})
}

// An entry gets no confirmation of its configuration for a while. With a strict limit it serves no request with a key
// beyond 0.85 of that, 4.25 s. Without one it goes on for 7.5 s, as the other entries may redistribute the share of an
// entry after 8 s without a heartbeat, or, while it holds its membership lease, for the 20 s that the operators allow.
func TestKeysWithoutConfirmation(t *testing.T) {
	scenarios := []struct {
		strict bool
		leased bool          // the entry holds its membership lease
		after  time.Duration // since the last confirmation
		want   int           // status
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
		t.Run(fmt.Sprint(s.strict, s.leased, s.after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{alwaysLeased: s.leased}, replies(200, "", "yes"))
				b.controller.SetKeyGrace(ingress.KeyGrace{Limit: 5000, Strict: s.strict, Max: 20 * clock.Second})
				time.Sleep(s.after)
				if got := b.call(context.Background(), "/unsafe/a", nil); got.status != s.want {
					t.Errorf("status %d, want %d", got.status, s.want)
				}
				if got := b.call(context.Background(), "/open/a", nil); got.status != http.StatusOK {
					t.Errorf("route without keys: status %d", got.status)
				}
			})
		})
	}
}
