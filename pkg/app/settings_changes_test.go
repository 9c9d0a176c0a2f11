package app

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/platform"
	"quaydock/platform/wiretest"
)

// Times of a play of changed settings.
const (
	settingsBefore  = 12 * time.Second // until the settings change
	settingsSettle  = 12 * time.Second // from then until requests count
	settingsCounted = 16 * time.Second // for how long they count
	settingsAway    = 6 * time.Second  // for how long the store is away after that; requests count then, too
)

// The load of such a play: an account that asks for more than its limit, and one without a limit. Targets decline some of
// the requests, so that retries matter.
const (
	limitedPerSecond  = 10 // the account's limit
	limitedAccountKey = "key-limited"
	callsPerSecond    = 20 // of each account
	declinedFraction  = 0.3
)

// settingsTolerance is the difference of fractions served that is chance.
const settingsTolerance = 0.1

// settingsBed is a test bed of complete entries whose settings change under load.
type settingsBed struct {
	*crashBed
}

// newSettingsBed starts a bed with entries of the given bounds, in front of targets that decline a part of the requests.
func newSettingsBed(t *testing.T, bounds platform.Bounds) *settingsBed {
	b := &settingsBed{newBed(t, 1, 3, 3, 0, true)}
	random := rand.New(rand.NewPCG(1, 10))
	var mu sync.Mutex
	b.intercept = func(_ *crashEngine, w http.ResponseWriter, _ *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= declinedFraction {
			return false
		}
		wiretest.MarkNotRun(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	c := b.configuration(2)
	c.Accounts = append(c.Accounts, wiretest.Account{Name: "limited", Keys: []string{limitedAccountKey}, PerSecond: limitedPerSecond, Burst: limitedPerSecond})
	b.store.Put(platform.TableOperators, platform.KeyConfiguration, c.Row())
	b.bounds = bounds
	b.startTargetsAndEntries(2 * time.Second)
	return b
}

// setBounds changes the bounds of all entries, of the first one a second earlier.
func (b *settingsBed) setBounds(bounds platform.Bounds) {
	for i, e := range b.entries {
		e.process.applyBounds(platform.Settings{Bounds: bounds})
		if i == 0 {
			time.Sleep(time.Second)
		}
	}
}

// settingsResult are fractions of requests that were served.
type settingsResult struct {
	unlimited, limited float64 // of the accounts, while the store answers
	away               float64 // of both, while it does not
}

// play sends the load, with a change of bounds unless that is nil.
func (b *settingsBed) play(change *platform.Bounds) settingsResult {
	const counted = settingsBefore + settingsSettle
	const away = counted + settingsCounted
	var mu sync.Mutex
	var called, served [3]float64 // in the order of settingsResult
	callers := func(key string, column int) {
		var calls sync.WaitGroup
		for at := b.now(); at < away+settingsAway; at = b.now() {
			calls.Go(func() {
				status, _ := b.call(b.draw(len(b.entries)), "/safe/q", key, b.uniqueBody())
				mu.Lock()
				defer mu.Unlock()
				column := column
				switch {
				case at < counted:
					return
				case at >= away:
					column = 2
				}
				called[column]++
				if status == http.StatusOK {
					served[column]++
				}
			})
			time.Sleep(time.Second / callsPerSecond)
		}
		calls.Wait()
	}
	var all sync.WaitGroup
	all.Go(func() { callers("key-a", 0) })
	all.Go(func() { callers(limitedAccountKey, 1) })
	time.Sleep(settingsBefore)
	if change != nil {
		b.setBounds(*change)
	}
	time.Sleep(away - b.now())
	b.setStoreDown(true)
	all.Wait()
	return settingsResult{served[0] / called[0], served[1] / called[1], served[2] / called[2]}
}

// differs reports whether fractions differ by more than chance.
func (r settingsResult) differs(other settingsResult) bool {
	return math.Abs(r.unlimited-other.unlimited) > settingsTolerance || math.Abs(r.limited-other.limited) > settingsTolerance || math.Abs(r.away-other.away) > settingsTolerance
}

// TestSettingsChangedUnderLoadActAsFromTheStart guards against what is computed from a bound and kept when that changes.
func TestSettingsChangedUnderLoadActAsFromTheStart(t *testing.T) {
	usual := platform.Bounds{
		GraceSeconds: 6, Revoke: 60_000, RetryRatio: 0.2, RetryWindowSeconds: 10, RetrySlack: 3,
		QuotaWindowSeconds: 8, QuotaOver: 0.1, QuotaSlack: 10,
	}
	scenarios := []struct {
		name      string
		low, high func(b *platform.Bounds)
	}{
		{"revoke_ms", func(b *platform.Bounds) { b.Revoke, b.RevokeStrict = 2000, true }, func(b *platform.Bounds) { b.Revoke, b.RevokeStrict = 200_000, true }},
		{"revoke_strict", func(b *platform.Bounds) { b.Revoke = 2000 }, func(b *platform.Bounds) { b.Revoke, b.RevokeStrict = 2000, true }},
		{"retry_budget_ratio", func(b *platform.Bounds) { b.RetryRatio = 0.005 }, func(b *platform.Bounds) { b.RetryRatio = 0.5 }},
		{"retry_window_s", func(b *platform.Bounds) { b.RetryWindowSeconds = 1 }, func(b *platform.Bounds) { b.RetryWindowSeconds = 100 }},
		{"retry_window_s within what has run", func(b *platform.Bounds) { b.RetryWindowSeconds = 4 }, func(b *platform.Bounds) { b.RetryWindowSeconds = 10 }},
		{"retry_slack", func(b *platform.Bounds) { b.RetrySlack = 0 }, func(b *platform.Bounds) { b.RetrySlack = 100 }},
		{"quota_window_s", func(b *platform.Bounds) { b.QuotaWindowSeconds = 1 }, func(b *platform.Bounds) { b.QuotaWindowSeconds = 100 }},
		{"quota_window_s within what has run", func(b *platform.Bounds) { b.QuotaWindowSeconds = 4 }, func(b *platform.Bounds) { b.QuotaWindowSeconds = 10 }},
		{"quota_over", func(b *platform.Bounds) { b.QuotaOver = 0.01 }, func(b *platform.Bounds) { b.QuotaOver = 1 }},
		{"quota_slack", func(b *platform.Bounds) { b.QuotaSlack = 0 }, func(b *platform.Bounds) { b.QuotaSlack = 100 }},
	}
	for _, s := range scenarios {
		for _, rising := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, rising %t", s.name, rising), func(t *testing.T) {
				t.Parallel()
				before, after := usual, usual
				s.low(&before)
				s.high(&after)
				if !rising {
					before, after = after, before
				}
				var changed, fromStart settingsResult
				synctest.Test(t, func(t *testing.T) { changed = newSettingsBed(t, before).play(&after) })
				synctest.Test(t, func(t *testing.T) { fromStart = newSettingsBed(t, after).play(nil) })
				if changed.differs(fromStart) {
					t.Errorf("served after the change %.3f, from the start %.3f", changed, fromStart)
				}
			})
		}
	}
}
