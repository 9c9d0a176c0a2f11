package app

import (
	"cmp"
	"expvar"
	"flag"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/packets"
	"quaydock/platform"
	"quaydock/platform/wiretest"
)

var (
	adviceEntries = flag.Int("advice.entries", 8, "how `many` entries send requests to the targets, at most 200")
	adviceTargets = flag.Int("advice.targets", 60, "how `many` targets there are, a third of them leaving and a third rejecting requests")
	adviceSeeds   = flag.Uint64("advice.seeds", 1, "how `many` seeds to run")
)

// TestAdviceOfManyTargets: of many targets a third are leaving one after the other, which the store shows three seconds
// late, and a third reject half of their requests and ask for a back-off. No entry sends requests in spite of a report
// that it got, and 97 in 100 requests are served. Run by hand with -advice.entries 40 -advice.targets 350.
func TestAdviceOfManyTargets(t *testing.T) {
	const (
		length    = 12 * time.Second
		perTarget = 3               // requests a second
		storeLate = 3 * time.Second // from a target's first report until its row says that it is leaving
		serveOn   = 5 * time.Second // of a leaving target
	)
	for seed := range *adviceSeeds {
		synctest.Test(t, func(t *testing.T) {
			b := newAdviceBedOf(t, 1+seed, *adviceEntries, *adviceTargets)
			third := *adviceTargets / 3
			b.adviceMu.Lock()
			for n := third; n < 2*third; n++ {
				b.rejections[n] = rejection{fraction: 0.5, backoff: 3 * time.Second}
			}
			b.adviceMu.Unlock()
			go func() {
				for n := range third {
					go b.leaveGradually(n, storeLate, serveOn)
					time.Sleep(length / 2 / time.Duration(third))
				}
			}()
			answers := b.callersAt(float64(perTarget**adviceTargets), length)
			b.check()
			fraction := served(answers, 0, length)
			counters := b.linkCounters("requests_withheld", "grants_withheld", "grants_declined", "placed_alone")
			t.Logf("seed %d: %d entries, %d targets: served %.4f of %d, 95 in 100 within %v; %d rejected; %v; advice %.0f bytes a second and entry, job submissions %.0f",
				1+seed, *adviceEntries, *adviceTargets, fraction, len(answers), ninetyFifth(answers), b.rejected, counters,
				b.perSecond(packets.KindAdvice, length), b.perSecond(packets.KindJobSubmit, length))
			if fraction < 0.97 {
				t.Errorf("served %.3f", fraction)
			}
		})
	}
}

// leaveGradually makes a target report that it is leaving, its row say so later, and another target start in its place
// once it has ended.
func (b *adviceBed) leaveGradually(n int, late, serveOn time.Duration) {
	b.mu.Lock()
	e := b.engines[n]
	b.mu.Unlock()
	b.adviceMu.Lock()
	b.leaving[n] = true
	b.adviceMu.Unlock()
	time.Sleep(late)
	row := wiretest.Engine{Service: "s", Address: e.address(), Domain: "d", Version: "v1", Slots: crashSlots, State: wiretest.Draining, Sequence: 2, Born: e.born}
	b.store.Put(platform.TableTargets, e.id, row.Row())
	time.Sleep(serveOn - late)
	e.end()
	b.store.Remove(platform.TableTargets, e.id)
	time.Sleep(restartDelay)
	b.adviceMu.Lock()
	delete(b.leaving, n)
	b.adviceMu.Unlock()
	b.startEngine(n)
}

// linkCounters returns the sums of counters over all entries.
func (b *adviceBed) linkCounters(names ...string) map[string]int64 {
	sums := make(map[string]int64)
	for _, e := range b.entries {
		for _, name := range names {
			if n, counted := e.process.Metrics.Links.Get(name).(*expvar.Int); counted {
				sums[name] += n.Value()
			}
		}
	}
	return sums
}

// perSecond returns how many bytes of datagrams of a kind an entry has sent per second, on average.
func (b *adviceBed) perSecond(kind packets.Kind, length time.Duration) float64 {
	return float64(b.sentBytes(kind)) / length.Seconds() / float64(len(b.entries))
}

// ninetyFifth returns the 95th percentile of the response times.
func ninetyFifth(answers []adviceAnswer) time.Duration {
	sorted := slices.SortedFunc(slices.Values(answers), func(x, y adviceAnswer) int { return cmp.Compare(x.took, y.took) })
	return sorted[len(sorted)*95/100].took
}
