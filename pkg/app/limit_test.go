package app

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// limitCases are limits that targets report, and the fraction of the limits that must be used if all targets report
// one.
var limitCases = []struct {
	name    string
	targets int // that report limits, of twelve
	report  func(b *limitBed, targets int)
	minUse  float64 // fraction of the limits; 0 is not checked
}{
	{"1 of 12 reports 2.5", 1, func(b *limitBed, n int) { b.limitFirst(n, 2.5) }, 0},
	{"4 of 12 report 1.4", 4, func(b *limitBed, n int) { b.limitFirst(n, 1.4) }, 0},
	{"4 of 12 report 0.3", 4, func(b *limitBed, n int) { b.limitFirst(n, 0.3) }, 0},
	{"6 of 12 report 8, then 2, then 5", 6, func(b *limitBed, n int) {
		for _, perSecond := range []float64{8, 2, 5} {
			b.limitFirst(n, perSecond)
			time.Sleep(6 * time.Second)
		}
	}, 0},
	{"all report 6", 12, func(b *limitBed, n int) { b.limitFirst(n, 6) }, 0.85},
}

// TestTargetLimitsAreNotExceeded guards against entries that ignore a target's limit on the requests of all entries
// together, or that each apply it to their own requests alone.
func TestTargetLimitsAreNotExceeded(t *testing.T) {
	const length = 18 * time.Second
	for _, entries := range []int{3, 16} {
		for _, c := range limitCases {
			t.Run(fmt.Sprintf("%d entries, %s", entries, c.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := newLimitBed(t, 1, entries)
					go c.report(b, c.targets)
					answers := b.callers(length)
					b.check()
					used := 0.0
					for n := range c.targets {
						used += b.rate(n, 6*time.Second, length) / float64(c.targets)
					}
					fraction := served(answers, 6*time.Second, length)
					t.Logf("served %.3f of %d; a limited target got %.2f a second", fraction, len(answers), used)
					if c.targets < crashTargets && fraction < 0.97 {
						t.Errorf("served %.3f, want 0.97", fraction)
					}
					if c.minUse > 0 && used < c.minUse*6 { // the only such case has limits of 6 a second
						t.Errorf("a target with a limit of 6 a second got %.2f", used)
					}
				})
			})
		}
	}
}

// TestTargetLimitsHoldDuringFailures guards against owners that don't know a limit, that give out what another owner
// has given out, or that have just become owner.
func TestTargetLimitsHoldDuringFailures(t *testing.T) {
	const length = 16 * time.Second
	faults := []struct {
		name      string
		fault     func(b *limitBed)
		minServed float64 // fraction of the requests
	}{
		{"entries are killed one after the other", func(b *limitBed) {
			for i := range min(8, len(b.entries)) {
				time.Sleep(700 * time.Millisecond)
				b.restartEntry(i, 300*time.Millisecond)
			}
		}, 0.6},
		{"all entries are killed", func(b *limitBed) {
			for i := range b.entries {
				b.forgetLimitsOf(i)
			}
			b.restartAll()
		}, 0.85},
		{"entries are partitioned from the others and come back", func(b *limitBed) {
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
		{"all entries are partitioned", func(b *limitBed) {
			for i := range b.entries {
				b.partition(i, true)
			}
		}, 0.9},
		{"a twentieth of all datagrams is lost", func(b *limitBed) { b.loseDatagrams(0.05) }, 0.9},
		{"a fifth of all datagrams is lost", func(b *limitBed) { b.loseDatagrams(0.2) }, 0.9},
		{"the store does not answer", func(b *limitBed) { b.setStoreDown(true) }, 0.97},
		{"targets start again under their ids", func(b *limitBed) {
			for n := range 6 {
				b.crashTarget(n)
				time.Sleep(time.Second)
			}
		}, 0.9},
		{"all faults at once", func(b *limitBed) {
			b.loseDatagrams(0.1)
			for i := range min(5, len(b.entries)) {
				b.partition(i, true)
				b.crashTarget(i)
				time.Sleep(600 * time.Millisecond)
				b.partition(i, false)
				b.restartEntry((i+1)%len(b.entries), 200*time.Millisecond)
				b.setStoreUnreachable(i, true)
			}
			b.setStoreDown(false)
		}, 0.5},
	}
	for _, entries := range []int{3, 16, 60} {
		for n, h := range faults {
			if entries > 16 && n%4 != 0 {
				continue // these take long at this size
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
						h.fault(b)
					}()
					answers := b.callers(length)
					b.check()
					fraction := served(answers, 0, length)
					t.Logf("served %.3f of %d", fraction, len(answers))
					if fraction < h.minServed {
						t.Errorf("served %.3f, want %.2f", fraction, h.minServed)
					}
				})
			})
		}
	}
}

// TestTargetGetsRequestsAfterLimitIsLifted guards against limits whose end no entry notices because hardly any request
// is sent to the target.
func TestTargetGetsRequestsAfterLimitIsLifted(t *testing.T) {
	const (
		liftAt = 8 * time.Second
		// noticed is the time from liftAt within which the end of a limit must be noticed: a target with a limit of 0
		// gets one request per limitWindow.
		noticed = limitWindow + time.Second
		// counted is the time after that in which requests are counted: a target without a limit gets 160 ± 13.
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
				b.callers(liftAt + noticed + counted)
				for n, perSecond := range limits {
					got := b.rate(n, liftAt+noticed, liftAt+noticed+counted)
					if got < 0.7*limitLoad/crashTargets {
						t.Errorf("a target whose limit was %.2f a second gets %.1f, %v after the limit was lifted", perSecond, got, noticed)
					}
				}
			})
		})
	}
}

// TestUnusualLimitTexts guards against limit texts that are read as no limit by mistake, or that leave a target without
// requests for good.
func TestUnusualLimitTexts(t *testing.T) {
	const length = 16 * time.Second
	texts := []struct {
		text      string
		perSecond float64 // the limit that the text means
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
			b.limitText(n, x.text, x.perSecond)
		}
		b.callers(length)
		b.check()
		usual := b.rate(len(texts), 6*time.Second, length)
		for n, x := range texts {
			got := b.rate(n, 6*time.Second, length)
			if minRate := min(0.8*x.perSecond, usual/2); got < minRate || got == 0 {
				t.Errorf("%q: %.2f a second, want %.2f", x.text, got, minRate)
			}
		}
	})
}
