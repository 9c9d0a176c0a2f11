package quota_test

import (
	"testing"

	"pgregory.net/rapid"

	"quaydock/pkg/clock"
	"quaydock/pkg/quota"
)

// TestLedgerNeverUnderstatesUsage compares sums with what was recorded: all units of the window must count, and none
// that are older by more than a sixteenth of it.
func TestLedgerNeverUnderstatesUsage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 8 * clock.Second
		l := quota.NewLedger()
		type entry struct {
			at    clock.Millis
			units float64
		}
		var all []entry
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "entries") {
			now += clock.Millis(rapid.IntRange(0, 2000).Draw(t, "pause"))
			e := entry{at: now, units: rapid.Float64Range(1, 100).Draw(t, "units")}
			l.Add(now, "a", window, e.units)
			all = append(all, e)
			lowest, highest := 0.0, 0.0
			for _, e := range all {
				if now-e.at < window {
					lowest += e.units
				}
				if now-e.at <= window+window/16 {
					highest += e.units
				}
			}
			if got := l.UsedInWindow(now, "a", window); got < lowest-1e-6 || got > highest+1e-6 {
				t.Fatalf("sum %.3f, want between %.3f and %.3f", got, lowest, highest)
			}
		}
		if got := l.UsedInWindow(now, "b", window); got != 0 {
			t.Fatalf("another account has used %.3f", got)
		}
	})
}

// TestRefundExpiresWithItsUnits gives units back long after they were recorded: once they have left the window, the
// sum must not be less than what was used since.
func TestRefundExpiresWithItsUnits(t *testing.T) {
	const window = 8 * clock.Second
	scenarios := []struct {
		name        string
		refund, sum clock.Millis // after the units were recorded
		want        float64
	}{
		{"while the units are in the window", 3 * clock.Second, 4 * clock.Second, 50},
		{"summed after the units left the window", 7 * clock.Second, 8500, 50},
		{"refunded after the units left the window", 8600, 8700, 50},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := quota.NewLedger()
			l.Add(start, "a", window, 100)
			l.Add(start+clock.Second, "a", window, 50)
			l.Refund(start+s.refund, start, "a", window, 100)
			if got := l.UsedInWindow(start+s.sum, "a", window); got != s.want {
				t.Errorf("sum %.0f, want %.0f", got, s.want)
			}
		})
	}
}

// TestLedgerNeverUnderstatesUsageOfChangedWindow changes the window at random: what was used in the present one counts, as far as
// the one before reached back, and nothing counts for longer than a window, its steps and a step of each window since.
func TestLedgerNeverUnderstatesUsageOfChangedWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at    clock.Millis
			units float64
			moved clock.Millis // by how much later it may count, as the window has changed since
		}
		var all []entry
		l, now := quota.NewLedger(), start
		window := 8 * clock.Second
		changed, before := clock.Millis(0), window // when the window changed, and the one before
		for range rapid.IntRange(1, 100).Draw(t, "entries") {
			now += clock.Millis(rapid.IntRange(0, 2000).Draw(t, "pause"))
			if now-changed > window && rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				before, changed = window, now
				for i := range all {
					all[i].moved += before/32 + 1
				}
				window = clock.Second * clock.Millis(rapid.IntRange(1, 100).Draw(t, "window"))
			}
			e := entry{at: now, units: rapid.Float64Range(1, 100).Draw(t, "units")}
			l.Add(now, "a", window, e.units)
			all = append(all, e)
			lowest, highest := 0.0, 0.0
			for _, e := range all {
				if now-e.at < window && (e.at >= changed || changed-e.at < before) {
					lowest += e.units
				}
				if now-e.at <= window+window/16+e.moved {
					highest += e.units
				}
			}
			if got := l.UsedInWindow(now, "a", window); got < lowest-1e-6 || got > highest+1e-6 {
				t.Fatalf("sum %.3f, want between %.3f and %.3f", got, lowest, highest)
			}
		}
	})
}

// TestLedgerReachesBackAWholeWindow guards against steps that are rounded down, all of which together are shorter than the window.
func TestLedgerReachesBackAWholeWindow(t *testing.T) {
	for _, window := range []clock.Millis{clock.Second, 1001, 7 * clock.Second, 8 * clock.Second, 9999, 100 * clock.Second} {
		for offset := range clock.Millis(400) {
			l, now := quota.NewLedger(), start+offset
			l.Add(now, "a", window, 1)
			if got := l.UsedInWindow(now+window-1, "a", window); got != 1 {
				t.Errorf("window of %d ms: %.0f of 1 unit counts 1 ms before its end", window, got)
				break
			}
		}
	}
}
