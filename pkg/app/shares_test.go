package app

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// sharesLength is for how long requests are sent.
const sharesLength = 5 * time.Second

// sharesFaults happen while accounts flood.
var sharesFaults = []struct {
	name  string
	fault func(b *sharesBed)
}{
	{"no fault", func(*sharesBed) {}},
	{"an entry is killed each 3 s", func(b *sharesBed) {
		for i := range 2 {
			time.Sleep(time.Second)
			b.killEntry(i)
			time.Sleep(300 * time.Millisecond)
			b.startEntry(i)
			time.Sleep(1700 * time.Millisecond)
		}
	}},
	{"the owner is killed", func(b *sharesBed) {
		time.Sleep(2 * time.Second)
		b.killEntry(b.owner())
	}},
	{"the store does not answer", func(b *sharesBed) { b.setStoreDown(true) }},
}

// TestAccountBelowItsShareIsServedBesideFloods guards against accounts that take the slots of others by sending more,
// shorter or longer requests, also while entries fail.
func TestAccountBelowItsShareIsServedBesideFloods(t *testing.T) {
	floods := []struct {
		name             string
		accounts, floods int
		times            float64
		work             time.Duration
	}{
		{"2 accounts, 2.5 times", 2, 1, 2.5, sharesWork},
		{"2 accounts, 1.3 times", 2, 1, 1.3, sharesWork},
		{"2 accounts, 2.5 times by shorter requests", 2, 1, 2.5, 2 * sharesWork / 5},
		{"2 accounts, 2.5 times by longer requests", 2, 1, 2.5, 4 * sharesWork},
		{"16 accounts, 2.5 times", 16, 2, 2.5, sharesWork},
	}
	for _, entries := range []int{3, 9} {
		for n, f := range floods {
			for i, fault := range sharesFaults {
				if n > 0 && (i > 0 || entries > 3) {
					continue // each fault and size with one flood
				}
				t.Run(fmt.Sprintf("%d entries, %s, %s", entries, f.name, fault.name), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						b := newSharesBed(t, 1, entries, f.accounts)
						go fault.fault(b)
						if lowest := b.play(f.accounts, f.floods, f.times, f.work, sharesLength); lowest < 0.95 {
							t.Errorf("%.3f in time, want 0.95", lowest)
						}
					})
				})
			}
		}
	}
}
