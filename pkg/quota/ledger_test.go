package quota_test

import (
	"testing"

	"pgregory.net/rapid"

	"quaydock/pkg/clock"
	"quaydock/pkg/quota"
)

// TestALedgerNeverTellsTooLittle compares sums with what was really noted.
func TestALedgerNeverTellsTooLittle(t *testing.T) {
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
			least, most := 0.0, 0.0
			for _, e := range all {
				if now-e.at < window {
					least += e.units
				}
				if now-e.at <= window+window/16 {
					most += e.units
				}
			}
			if got := l.Sum(now, "a", window); got < least-1e-6 || got > most+1e-6 {
				t.Fatalf("sum %.3f, want between %.3f and %.3f", got, least, most)
			}
		}
		if got := l.Sum(now, "b", window); got != 0 {
			t.Fatalf("another account has had %.3f", got)
		}
	})
}
