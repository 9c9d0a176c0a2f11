package app

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/wiretest"
)

// defect is in what way a version is bad; the zero value is a good version.
type defect struct {
	fraction  float64   // of its answers that are bad; 0 if the version is good
	slowdown  float64   // factor on the time of bad answers; 0 if they fail
	from      float64   // fraction of the order's duration after which answers are bad
	underLoad bool      // only on targets with at least 70% of their slots taken
	route     ids.Route // the only route with bad answers; empty for all
}

// bedEngine is one incarnation of a simulated target.
type bedEngine struct {
	id      ids.Target
	version string
	start   ids.Start
	speed   float64       // factor on the time of answers
	running int           // requests
	flaky   bool          // many of its answers fail, whatever its version
	stopped chan struct{} // closed at its end
	once    sync.Once     // closes stopped
}

// end ends the engine with all that it runs; its row stays.
func (e *bedEngine) end() { e.once.Do(func() { close(e.stopped) }) }

// startEngine starts the nth target of a version. The targets of each version have different speeds.
func (b *rolloutBed) startEngine(version string, n int) {
	speeds := []float64{0.36, 1, 1.8}
	e := &bedEngine{id: ids.Target(fmt.Sprint(version, "-", n)), version: version, start: b.now(), speed: speeds[n%len(speeds)], stopped: make(chan struct{})}
	b.mu.Lock()
	b.engines[e.id] = e
	b.mu.Unlock()
	b.writeRow(e, "ready")
}

// startAgain ends an engine with all that it runs and starts it again under its id, with the given version.
func (b *rolloutBed) startAgain(id ids.Target, version string) {
	b.mu.Lock()
	former := b.engines[id]
	e := &bedEngine{id: id, version: version, start: b.now(), speed: former.speed, stopped: make(chan struct{})}
	b.engines[id] = e
	b.mu.Unlock()
	former.end()
	b.writeRow(e, "ready")
}

// now is the start of an engine that starts now.
func (b *rolloutBed) now() ids.Start {
	return ids.Start(time.Now().UnixMilli())
}

// writeRow writes the row of an engine, as a target does itself.
func (b *rolloutBed) writeRow(e *bedEngine, state string) {
	row := wiretest.Engine{
		Service: bedService, Address: "10.9.0.1:80", Domain: "d", Version: ids.Version(e.version), Slots: bedSlots, State: state, Sequence: 1, Born: e.start,
	}
	b.store.Put(platform.TableTargets, string(e.id), row.Row())
}

// enginesOf returns the engines of a version, sorted by id.
func (b *rolloutBed) enginesOf(version string) []*bedEngine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*bedEngine
	for _, e := range b.engines {
		if e.version == version {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *bedEngine) int { return cmp.Compare(a.id, b.id) })
	return list
}

// retire stops the targets of a version at once.
func (b *rolloutBed) retire(version string) {
	for _, e := range b.enginesOf(version) {
		e.end()
		b.store.Remove(platform.TableTargets, string(e.id))
	}
}

// answer draws how long an answer takes, whether it fails, and whether it is slow or fails because of the version's
// defect. errors is the fraction of answers that fail on any version. The caller holds b.mu.
func (b *rolloutBed) answer(e *bedEngine, route ids.Route, errors float64, events int, random *rand.Rand) (took time.Duration, failed, bad bool) {
	const first, event = 40.0, 20.0 // ms
	ms := (first + event*float64(events)) * e.speed * (1 + 0.04*float64(e.running)) * math.Exp(0.2*random.NormFloat64())
	failed = random.Float64() < errors
	if e.flaky && random.Float64() < 0.45 {
		failed = true
	}
	v := b.order.defect
	if e.version == newVersion && v.fraction > 0 && b.sinceOrder() >= v.from && (!v.underLoad || e.running >= bedSlots*7/10) && (v.route == "" || v.route == route) && random.Float64() < v.fraction {
		bad = true
		if v.slowdown > 0 {
			ms *= v.slowdown
		} else {
			failed = true
		}
	}
	if failed {
		ms /= 2
	}
	return time.Duration(ms * float64(time.Millisecond)), failed, bad
}
