package app

import (
	"flag"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var crashSeeds = flag.Uint64("crash.seeds", 2, "how `many` seeds to run for each scenario in which targets end")

// TestUnrelatedRequestsAreServedWhileTargetsEnd guards against the quarantine of requests that do not cause the end of
// their targets. A popular request runs on most targets at any time, so many incarnations end under it. Unlike a
// request that ends its targets, it is completed by other targets.
func TestUnrelatedRequestsAreServedWhileTargetsEnd(t *testing.T) {
	const (
		length  = 12 * time.Second
		popular = "popular"
		// One request in popularOneIn is the popular one: 50 a second.
		popularOneIn = 4
		// maxQuarantined is how long a request may be quarantined.
		maxQuarantined = 6 * time.Second
	)
	scenarios := []struct {
		name  string
		fault func(b *crashBed)
	}{
		{"targets end at random", func(b *crashBed) {
			for b.now() < length-6*time.Second {
				time.Sleep(400 * time.Millisecond)
				b.engine(b.draw(len(b.engines))).crash()
			}
		}},
		{"half of the targets lost twice", func(b *crashBed) {
			time.Sleep(time.Second)
			b.endEvery(0, 2)
			time.Sleep(4*time.Second + time.Duration(b.draw(500))*time.Millisecond)
			b.endEvery(1, 2)
		}},
		{"all targets lost", func(b *crashBed) {
			time.Sleep(2 * time.Second)
			b.endEvery(0, 1)
		}},
		{"all targets lost twice", func(b *crashBed) {
			time.Sleep(time.Second)
			b.endEvery(0, 1)
			time.Sleep(restartDelay + time.Duration(b.draw(200))*time.Millisecond)
			b.endEvery(0, 1)
		}},
		{"answers are broken off", func(b *crashBed) {
			b.setBreaks(0.3)
			time.Sleep(5 * time.Second)
			b.setBreaks(0)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range *crashSeeds {
				synctest.Test(t, func(t *testing.T) {
					b := newCrashBed(t, 1+seed, 3)
					b.longRuns = true
					go s.fault(b)
					b.backgroundCallers(200, length, func() string {
						if b.draw(popularOneIn) == 0 {
							return popular
						}
						return b.uniqueBody()
					})
					quarantined, longest := b.quarantined()
					served := b.servedFraction(length-3*time.Second, length)
					t.Logf("%d of %d requests rejected as quarantined, the same body for up to %v; served %.3f, in the last 3 s %.3f",
						quarantined, len(b.backgroundCalls), longest, b.servedFraction(0, length), served)
					if longest > maxQuarantined {
						t.Errorf("an unrelated request was quarantined for %v", longest)
					}
					if served < 0.97 {
						t.Errorf("served in the last 3 s: %.3f", served)
					}
				})
			}
		})
	}
}

// quarantined returns how many background requests were rejected as quarantined, and the longest time over which this
// happened to the same body.
func (b *crashBed) quarantined() (count int, longest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := make(map[string]time.Duration)
	for _, c := range b.backgroundCalls {
		if c.status != http.StatusServiceUnavailable || !strings.HasPrefix(c.text, "HeldBack") {
			continue
		}
		count++
		if _, before := first[c.body]; !before {
			first[c.body] = c.at
		}
		longest = max(longest, c.at-first[c.body])
	}
	return count, longest
}

// engine is the present incarnation of the nth target.
func (b *crashBed) engine(n int) *crashEngine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engines[n]
}

// endEvery ends every step-th target, beginning with the given one, at the same time.
func (b *crashBed) endEvery(from, step int) {
	for n := from; n < len(b.engines); n += step {
		b.engine(n).crash()
	}
}

// setBreaks makes targets break off a fraction of their answers without ending.
func (b *crashBed) setBreaks(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breakFraction = fraction
}
