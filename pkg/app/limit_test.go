package app

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// limitCases are what targets name, and how much of the limits is to be used where all name one.
var limitCases = []struct {
	name    string
	targets int // that name limits, of twelve
	names   func(b *limitBed, targets int)
	uses    float64
}{
	{"1 of 12 names 2.5", 1, func(b *limitBed, n int) { b.limitFirst(n, 2.5) }, 0},
	{"4 of 12 name 1.4", 4, func(b *limitBed, n int) { b.limitFirst(n, 1.4) }, 0},
	{"4 of 12 name 0.3", 4, func(b *limitBed, n int) { b.limitFirst(n, 0.3) }, 0},
	{"6 of 12 name 8, then 2, then 5", 6, func(b *limitBed, n int) {
		for _, perSecond := range []float64{8, 2, 5} {
			b.limitFirst(n, perSecond)
			time.Sleep(6 * time.Second)
		}
	}, 0},
	{"all name 6", 12, func(b *limitBed, n int) { b.limitFirst(n, 6) }, 0.85},
}

// TestTargetsThatNameALimitGetNoMore guards against entries that don't heed, or heed each by itself, what a target takes from all.
func TestTargetsThatNameALimitGetNoMore(t *testing.T) {
	const length = 18 * time.Second
	for _, entries := range []int{3, 16} {
		for _, c := range limitCases {
			t.Run(fmt.Sprintf("%d entries, %s", entries, c.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := newLimitBed(t, 1, entries)
					go c.names(b, c.targets)
					answers := b.callers(length)
					b.check()
					used := 0.0
					for n := range c.targets {
						used += b.got(n, 6*time.Second, length) / float64(c.targets)
					}
					share := served(answers, 6*time.Second, length)
					t.Logf("served %.3f of %d; a limited target got %.2f a second", share, len(answers), used)
					if c.targets < crashTargets && share < 0.97 {
						t.Errorf("served %.3f, want 0.97", share)
					}
					if c.uses > 0 && used < c.uses*6 {
						t.Errorf("a target that takes 6 a second got %.2f", used)
					}
				})
			})
		}
	}
}

// TestLimitsHoldWhileEntriesFail guards against homes that don't know, give out what another one does, or have become homes just now.
func TestLimitsHoldWhileEntriesFail(t *testing.T) {
	const length = 16 * time.Second
	hurts := []struct {
		name  string
		hurt  func(b *limitBed)
		least float64 // of the requests that are served
	}{
		{"entries are killed one after the other", func(b *limitBed) {
			for i := range min(8, len(b.entries)) {
				time.Sleep(700 * time.Millisecond)
				b.restartEntry(i, 300*time.Millisecond)
			}
		}, 0.6},
		{"all entries are killed", func(b *limitBed) {
			for i := range b.entries {
				b.forgetTold(i)
			}
			b.restartAll()
		}, 0.85},
		{"entries are cut off from the others and come back", func(b *limitBed) {
			for range 3 {
				for i := range 2 {
					b.partition(i, true)
				}
				time.Sleep(time.Second)
				for i := range 2 {
					b.partition(i, false)
				}
				time.Sleep(500 * time.Millisecond)
			}
		}, 0.9},
		{"entries hear nothing of one another", func(b *limitBed) {
			for i := range b.entries {
				b.partition(i, true)
			}
		}, 0.9},
		{"a twentieth of all datagrams is lost", func(b *limitBed) { b.loseDatagrams(0.05) }, 0.9},
		{"a fifth of all datagrams is lost", func(b *limitBed) { b.loseDatagrams(0.2) }, 0.9},
		{"the store is silent", func(b *limitBed) { b.setStoreDown(true) }, 0.97},
		{"targets start again under their ids", func(b *limitBed) {
			for n := range 6 {
				b.startAgain(n)
				time.Sleep(time.Second)
			}
		}, 0.9},
		{"all at once", func(b *limitBed) {
			b.loseDatagrams(0.1)
			for i := range min(5, len(b.entries)) {
				b.partition(i, true)
				b.startAgain(i)
				time.Sleep(600 * time.Millisecond)
				b.partition(i, false)
				b.restartEntry((i+1)%len(b.entries), 200*time.Millisecond)
				b.setStoreUnreachable(i, true)
			}
			b.setStoreDown(false)
		}, 0.5},
	}
	for _, entries := range []int{3, 16, 60} {
		for n, h := range hurts {
			if entries > 16 && n%4 != 0 {
				continue // each of these takes long
			}
			t.Run(fmt.Sprintf("%d entries, %s", entries, h.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := newLimitBed(t, 2, entries)
					for n, perSecond := range []float64{0, 0.3, 1.4, 2.5, 8, 20} {
						b.limit(n, perSecond)
					}
					go func() {
						time.Sleep(4 * time.Second)
						h.hurt(b)
					}()
					answers := b.callers(length)
					b.check()
					share := served(answers, 0, length)
					t.Logf("served %.3f of %d", share, len(answers))
					if share < h.least {
						t.Errorf("served %.3f, want %.2f", share, h.least)
					}
				})
			})
		}
	}
}

// TestATargetWhoseLimitIsLiftedGetsWorkAgain guards against limits that nobody hears the end of, as too little is sent.
func TestATargetWhoseLimitIsLiftedGetsWorkAgain(t *testing.T) {
	const (
		liftAt = 8 * time.Second
		// A target that takes nothing is asked once in limitWindow.
		heard = limitWindow + time.Second
		// In so long a target without a limit gets 160 requests, give or take 13.
		counted = 8 * time.Second
	)
	for _, idle := range []bool{false, true} {
		t.Run(fmt.Sprintf("no requests before it is lifted: %t", idle), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newLimitBed(t, 3, 16)
				limits := []float64{0, 0.01, 0.3, 1.4, 12}
				for n, perSecond := range limits {
					b.limit(n, perSecond)
				}
				if idle {
					b.callers(3 * time.Second)
					time.Sleep(liftAt - b.now())
				} else {
					b.callers(liftAt)
				}
				b.check()
				for n := range limits {
					b.lift(n)
				}
				b.callers(liftAt + heard + counted)
				for n, perSecond := range limits {
					got := b.got(n, liftAt+heard, liftAt+heard+counted)
					if got < 0.7*limitLoad/crashTargets {
						t.Errorf("one that took %.2f a second gets %.1f after %v", perSecond, got, heard)
					}
				}
			})
		})
	}
}

// TestLimitsThatAreOddlyWritten guards against texts that end in no limit by mistake, or in a target that is never asked again.
func TestLimitsThatAreOddlyWritten(t *testing.T) {
	const length = 16 * time.Second
	texts := []struct {
		text      string
		perSecond float64
	}{
		{"0", 0},
		{"-3", 0},
		{"1e-300", 0},
		{" 1.5 ", 1.5},
		{"7, 2", 2},
		{"0.05e2", 5},
		{"few, 3", 3},
		{"1e999", math.Inf(1)},
		{"1e300", math.Inf(1)},
		{"NaN", math.Inf(1)},
		{"few", math.Inf(1)},
	}
	synctest.Test(t, func(t *testing.T) {
		b := newLimitBed(t, 4, 3)
		for n, x := range texts {
			b.limitAs(n, x.text, x.perSecond)
		}
		b.callers(length)
		b.check()
		usual := b.got(len(texts), 6*time.Second, length)
		for n, x := range texts {
			got := b.got(n, 6*time.Second, length)
			if least := min(0.8*x.perSecond, usual/2); got < least || got == 0 {
				t.Errorf("%q: %.2f a second, want %.2f", x.text, got, least)
			}
		}
	})
}
