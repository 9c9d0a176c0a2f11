package app

import (
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"quaydock/platform/wiretest"
)

// What a target that has named a limit may get in any limitWindow, from contactTime after it first did so, summed over the
// entries that had passed on such an answer limitToldFor before: limitOver times what the limit allows, and limitSlack more.
const (
	limitWindow  = 4 * time.Second
	limitOver    = 1.5
	limitSlack   = 5.0
	limitToldFor = 500 * time.Millisecond
)

// limitLoad is how many requests a second come: a small part of what the targets can serve.
const limitLoad = 240

// noLimit is what a target names that is not limited.
const noLimit = ""

// limitBed is whole entries before targets that name limits in their answers. It knows what each entry was told, and counts
// what reaches a target beyond its limit.
type limitBed struct {
	*adviceBed

	counting sync.Mutex
	limits   map[int][]namedLimit       // by target, in the order of time
	told     map[pair]time.Duration     // when an entry first passed on a limit
	counted  map[string][]time.Duration // arrivals within the last window that count, by target
	arrived  map[int][]time.Duration    // all arrivals, by target
	worst    windowed
	first    map[string]time.Duration // when a target first named a limit
	over     map[int]bool             // targets that got too many
}

// namedLimit is what a target names from a moment on.
type namedLimit struct {
	from      time.Duration
	text      string
	perSecond float64 // that a limit of this text stands for; infinite if it is none
}

// windowed is what a target got in a window beside what was allowed.
type windowed struct {
	target  int
	at      time.Duration
	got     int
	allowed float64
}

func newLimitBed(t *testing.T, seed uint64, entries int) *limitBed {
	b := &limitBed{
		adviceBed: newAdviceBedOf(t, seed, entries, crashTargets), limits: make(map[int][]namedLimit), told: make(map[pair]time.Duration),
		counted: make(map[string][]time.Duration), arrived: make(map[int][]time.Duration), first: make(map[string]time.Duration), over: make(map[int]bool),
	}
	b.intercept = b.answerLimited
	return b
}

// limit has a target name a limit from now on.
func (b *limitBed) limit(n int, perSecond float64) {
	b.limitAs(n, strconv.FormatFloat(perSecond, 'f', -1, 64), perSecond)
}

// lift has a target name no limit any more.
func (b *limitBed) lift(n int) { b.limitAs(n, noLimit, math.Inf(1)) }

// limitAs has a target name a limit by a text that stands for so many requests a second.
func (b *limitBed) limitAs(n int, text string, perSecond float64) {
	b.counting.Lock()
	defer b.counting.Unlock()
	b.limits[n] = append(b.limits[n], namedLimit{b.now(), text, perSecond})
}

// limitFirst has the first n targets name a limit from now on.
func (b *limitBed) limitFirst(n int, perSecond float64) {
	for i := range n {
		b.limit(i, perSecond)
	}
}

// answerLimited counts a request that has reached a target, and names the target's limit.
func (b *limitBed) answerLimited(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
	b.said.Lock()
	entry := b.sent[wiretest.RequestID(r.Header)].entry
	b.said.Unlock()
	b.counting.Lock()
	defer b.counting.Unlock()
	now := b.now()
	b.arrived[e.n] = append(b.arrived[e.n], now)
	if named := b.limits[e.n]; len(named) > 0 && named[len(named)-1].text != noLimit {
		wiretest.SetLimit(w.Header(), named[len(named)-1].text)
		noteFirst(b.first, e.id, now)
	}
	if told, known := b.told[pair{entry, e.id}]; known && now >= told+limitToldFor && now >= b.first[e.id]+propagationTime {
		b.count(e, now)
	}
	return false
}

// count counts an arrival for which the limit holds, and holds it against what is allowed; the lock is held.
func (b *limitBed) count(e *crashEngine, now time.Duration) {
	window := slices.DeleteFunc(append(b.counted[e.id], now), func(at time.Duration) bool { return at <= now-limitWindow })
	b.counted[e.id] = window
	allowed := b.allowed(e.n, now)
	if float64(len(window)) > allowed {
		b.over[e.n] = true
	}
	if float64(len(window))/allowed > float64(b.worst.got)/max(1, b.worst.allowed) {
		b.worst = windowed{e.n, now, len(window), allowed}
	}
}

// allowed is what a target may get in the window that ends now, by the highest limit that it has named there.
func (b *limitBed) allowed(n int, now time.Duration) float64 {
	highest := 0.0
	for i, l := range b.limits[n] {
		if over := i+1 < len(b.limits[n]) && b.limits[n][i+1].from <= now-limitWindow; !over {
			highest = max(highest, l.perSecond)
		}
	}
	return limitOver*highest*limitWindow.Seconds() + limitSlack
}

// callers sends requests of both kinds to all entries until a moment, and returns their answers.
func (b *limitBed) callers(until time.Duration) []adviceAnswer {
	return b.collect(limitLoad, until, b.callOnce)
}

// callOnce is a request to an entry, of which it notes what the answer names.
func (b *limitBed) callOnce(entry int) adviceAnswer {
	a, head := b.callKnown(entry)
	if wiretest.LimitIn(head) != "" {
		b.counting.Lock()
		noteFirst(b.told, pair{entry, wiretest.AnsweredBy(head)}, b.now())
		b.counting.Unlock()
	}
	return a
}

// loseDatagrams has a part of all datagrams lost from now on.
func (b *limitBed) loseDatagrams(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lossRate = part
}

// restartEntry kills an entry and starts it again a while later. It knows nothing of what it was told.
func (b *limitBed) restartEntry(i int, after time.Duration) {
	b.killEntry(i)
	b.forgetTold(i)
	time.Sleep(after)
	b.startEntry(i)
}

// startAgain has a target crash and start again under its id: what it named before says nothing of its new life.
func (b *limitBed) startAgain(n int) {
	b.reuseIDs()
	b.mu.Lock()
	e := b.engines[n]
	b.mu.Unlock()
	b.counting.Lock()
	delete(b.first, e.id)
	delete(b.counted, e.id)
	maps.DeleteFunc(b.told, func(at pair, _ time.Duration) bool { return at.target == e.id })
	b.counting.Unlock()
	e.crash()
}

// forgetTold forgets what an entry was told.
func (b *limitBed) forgetTold(entry int) {
	b.counting.Lock()
	defer b.counting.Unlock()
	maps.DeleteFunc(b.told, func(at pair, _ time.Duration) bool { return at.entry == entry })
}

// got is how many requests a second have reached a target between two moments.
func (b *limitBed) got(n int, from, until time.Duration) float64 {
	b.counting.Lock()
	defer b.counting.Unlock()
	count := 0
	for _, at := range b.arrived[n] {
		if at >= from && at < until {
			count++
		}
	}
	return float64(count) / (until - from).Seconds()
}

// check holds what has reached targets against their limits.
func (b *limitBed) check() {
	b.t.Helper()
	b.counting.Lock()
	defer b.counting.Unlock()
	w := b.worst
	b.t.Logf("at the worst target %d got %d in %v at %v, allowed %.1f", w.target, w.got, limitWindow, w.at, w.allowed)
	if len(b.over) > 0 {
		b.t.Errorf("%d targets got more than their limits allow", len(b.over))
	}
}
