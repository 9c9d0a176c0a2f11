package feedrelay

import (
	"testing"

	"quaydock/pkg/clock"
)

// Guards against entries that all read the store themselves while there is no feed state, or none of which does. Times
// are in ms.
func TestReadDecision(t *testing.T) {
	const long = clock.Minute
	scenarios := []struct {
		name     string
		decision readDecision
		want     bool
	}{
		{"the feed reader", readDecision{rank: 0, aliveRank: 3, entries: 68}, true},
		{"first backup, when the feed reader has just stopped sending", readDecision{rank: 1, aliveRank: 1, entries: 68, unreliableFor: 50, sinceRead: long, fallbackAge: fallbackReadAge}, false},
		{"first backup, a little later", readDecision{rank: 1, aliveRank: 1, entries: 68, unreliableFor: backupStep, sinceRead: long, fallbackAge: fallbackReadAge}, true},
		{"first backup again, after it was not answered", readDecision{rank: 2, aliveRank: 1, entries: 68, unreliableFor: 3000, sinceRead: 1000, fallbackAge: fallbackReadAge, freshnessAge: 1000}, false},
		{"first backup again, after it was answered", readDecision{rank: 1, aliveRank: 1, entries: 68, unreliableFor: 3000, sinceRead: 1000, answeredLast: true, fallbackAge: fallbackReadAge}, true},
		{"last backup", readDecision{rank: 8, aliveRank: maxBackups, entries: 68, unreliableFor: maxBackups * backupStep, sinceRead: long, fallbackAge: fallbackReadAge}, true},
		{"entry after the last backup", readDecision{rank: 9, aliveRank: maxBackups + 1, entries: 68, unreliableFor: long, sinceRead: long, fallbackAge: fallbackReadAge}, false},
		{"entry after the last backup with old freshness", readDecision{rank: 9, aliveRank: maxBackups + 1, entries: 68, unreliableFor: long, sinceRead: long, freshnessAge: 4000, fallbackAge: 3900}, true},
		{"the same, after it has just read", readDecision{rank: 9, aliveRank: maxBackups + 1, entries: 68, unreliableFor: long, sinceRead: 4000, freshnessAge: 8000, fallbackAge: 3900}, false},
		{"old freshness among few entries", readDecision{rank: 3, aliveRank: 3, entries: 4, unreliableFor: 300, sinceRead: 1000, freshnessAge: 8000, fallbackAge: 3000}, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := s.decision.shouldRead(); got != s.want {
				t.Errorf("shouldRead: %t, want %t", got, s.want)
			}
		})
	}
}

// TestTotalReadRateIsLimited counts the reads of all entries in a minute in which the store does not answer
// and none of them is the feed reader: their rate must not grow with the number of entries.
func TestTotalReadRateIsLimited(t *testing.T) {
	const maxPerSecond = 18
	for _, entries := range []int{4, 68, 350, 1000} {
		reads := 0
		last := make([]clock.Millis, entries)
		const length = 60 * clock.Second
		for now := clock.Millis(0); now < length; now += 50 {
			for i := range entries {
				fallbackAge := fallbackReadAge + fallbackSpan(entries)*clock.Millis(i)/clock.Millis(entries)
				decision := readDecision{rank: max(1, i), aliveRank: i, entries: entries, unreliableFor: now, sinceRead: now - last[i] + sinceFirstRead(last[i]), freshnessAge: now, fallbackAge: fallbackAge}
				if decision.shouldRead() {
					reads++
					last[i] = now
				}
			}
		}
		if perSecond := float64(reads) / float64(length/clock.Second); perSecond > maxPerSecond {
			t.Errorf("%d entries read %.1f times a second", entries, perSecond)
		}
	}
}

// sinceFirstRead returns a long time since the last read if an entry has not read yet, otherwise 0.
func sinceFirstRead(last clock.Millis) clock.Millis {
	if last == 0 {
		return clock.Minute
	}
	return 0
}
