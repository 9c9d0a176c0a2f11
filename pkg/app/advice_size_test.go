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
	adviceEntries = flag.Int("advice.entries", 8, "how `many` entries targets talk to, 200 at the most")
	adviceTargets = flag.Int("advice.targets", 60, "how `many` targets say something of themselves")
	adviceSeeds   = flag.Uint64("advice.seeds", 1, "how `many` series of what targets say")
)

// TestManyTargetsSaySomething: of many targets a third leave in series, while the store says so three seconds late,
// and a third turn away half of what they get and ask for rest. No entry goes against what it was told, and callers
// notice next to nothing. By hand with -advice.entries 40 -advice.targets 350.
func TestManyTargetsSaySomething(t *testing.T) {
	const (
		length    = 12 * time.Second
		perTarget = 3 // requests a second
		storeLate = 3 * time.Second
		serveOn   = 5 * time.Second // of a target that leaves
	)
	for seed := range *adviceSeeds {
		synctest.Test(t, func(t *testing.T) {
			b := newAdviceBedOf(t, 1+seed, *adviceEntries, *adviceTargets)
			third := *adviceTargets / 3
			b.said.Lock()
			for n := third; n < 2*third; n++ {
				b.sheds[n] = shedding{share: 0.5, rest: 3 * time.Second}
			}
			b.said.Unlock()
			go func() {
				for n := range third {
					go b.leaveInTime(n, storeLate, serveOn)
					time.Sleep(length / 2 / time.Duration(third))
				}
			}()
			answers := b.callersAt(float64(perTarget**adviceTargets), length)
			b.check()
			share := served(answers, 0, length)
			links := b.links("requests_withheld", "grants_withheld", "grants_declined", "placed_alone")
			t.Logf("seed %d: %d entries, %d targets: served %.4f of %d, 95 in 100 within %v; %d turned away; %v; advice %.0f bytes a second and entry, asks %.0f",
				1+seed, *adviceEntries, *adviceTargets, share, len(answers), ninetyFifth(answers), b.declined, links,
				b.perSecond(packets.KindAdvice, length), b.perSecond(packets.KindJobSubmit, length))
			if share < 0.97 {
				t.Errorf("served %.3f", share)
			}
		})
	}
}

// leaveInTime has a target say that it leaves, its row say so later, and another one start in its place once it has
// ended.
func (b *adviceBed) leaveInTime(n int, late, serveOn time.Duration) {
	b.mu.Lock()
	e := b.engines[n]
	b.mu.Unlock()
	b.said.Lock()
	b.leaving[n] = true
	b.said.Unlock()
	time.Sleep(late)
	row := wiretest.Engine{Service: "s", Address: e.address(), Domain: "d", Version: "v1", Slots: crashSlots, State: wiretest.Draining, Sequence: 2, Born: e.born}
	b.store.Put(platform.TableTargets, e.id, row.Row())
	time.Sleep(serveOn - late)
	e.end()
	b.store.Remove(platform.TableTargets, e.id)
	time.Sleep(restartDelay)
	b.said.Lock()
	delete(b.leaving, n)
	b.said.Unlock()
	b.startEngine(n)
}

// links adds up counters of all entries.
func (b *adviceBed) links(names ...string) map[string]int64 {
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

// perSecond is how many bytes of a kind of datagrams an entry has sent a second.
func (b *adviceBed) perSecond(kind packets.Kind, length time.Duration) float64 {
	return float64(b.sentBytes(kind)) / length.Seconds() / float64(len(b.entries))
}

// ninetyFifth is the time within which 95 in 100 answers came.
func ninetyFifth(answers []adviceAnswer) time.Duration {
	sorted := slices.SortedFunc(slices.Values(answers), func(x, y adviceAnswer) int { return cmp.Compare(x.took, y.took) })
	return sorted[len(sorted)*95/100].took
}
