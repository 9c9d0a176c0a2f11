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

// A target that has reported a limit may get limitOver times the limit plus limitSlack requests in any limitWindow.
// This holds from propagationTime after its first report, for the sum over the entries that had passed on such an
// answer at least limitReactionTime before.
const (
	limitWindow       = 4 * time.Second
	limitOver         = 1.5
	limitSlack        = 5.0
	limitReactionTime = 500 * time.Millisecond
)

// limitLoad is the rate of requests per second: a small fraction of what the targets can serve.
const limitLoad = 240

// noLimit is the limit text of a target without a limit.
const noLimit = ""

// limitBed is a test bed of complete entries in front of targets that report limits in their answers. It records which
// reports each entry got, and counts the requests that reach a target beyond its limit.
type limitBed struct {
	*adviceBed

	countMu         sync.Mutex
	limits          map[int][]reportedLimit       // by target, oldest first
	limitPassedOnAt map[entryTarget]time.Duration // when an entry first passed on a limit
	counted         map[string][]time.Duration    // arrivals within the last window that count, by target
	arrived         map[int][]time.Duration       // all arrivals, by target
	worst           windowCount                   // the count that used the most of what was allowed
	firstLimitAt    map[string]time.Duration      // when a target first reported a limit
	exceeded        map[int]bool                  // targets that got more than allowed
}

// reportedLimit is the limit that a target reports from a given time on.
type reportedLimit struct {
	from      time.Duration
	text      string
	perSecond float64 // the meaning of the text; infinite if it is no limit
}

// windowCount is the number of requests that a target got in a window, and the number allowed.
type windowCount struct {
	target  int
	at      time.Duration
	got     int
	allowed float64
}

// newLimitBed starts a bed whose targets report no limit.
func newLimitBed(t *testing.T, seed uint64, entries int) *limitBed {
	b := &limitBed{
		adviceBed: newAdviceBedOf(t, seed, entries, crashTargets), limits: make(map[int][]reportedLimit), limitPassedOnAt: make(map[entryTarget]time.Duration),
		counted: make(map[string][]time.Duration), arrived: make(map[int][]time.Duration), firstLimitAt: make(map[string]time.Duration), exceeded: make(map[int]bool),
	}
	b.intercept = b.answerLimited
	return b
}

// limit makes a target report a limit from now on.
func (b *limitBed) limit(n int, perSecond float64) {
	b.limitText(n, strconv.FormatFloat(perSecond, 'f', -1, 64), perSecond)
}

// lift makes a target report no limit any more.
func (b *limitBed) lift(n int) { b.limitText(n, noLimit, math.Inf(1)) }

// limitText makes a target report a limit by a text that means the given number of requests per second.
func (b *limitBed) limitText(n int, text string, perSecond float64) {
	b.countMu.Lock()
	defer b.countMu.Unlock()
	b.limits[n] = append(b.limits[n], reportedLimit{b.now(), text, perSecond})
}

// limitFirst makes the first n targets report a limit from now on.
func (b *limitBed) limitFirst(n int, perSecond float64) {
	for i := range n {
		b.limit(i, perSecond)
	}
}

// answerLimited counts a request that has reached a target, and reports the target's limit in the header of the answer,
// whose rest it leaves to the target.
func (b *limitBed) answerLimited(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
	b.adviceMu.Lock()
	entry := b.sent[wiretest.RequestID(r.Header)].entry
	b.adviceMu.Unlock()
	b.countMu.Lock()
	defer b.countMu.Unlock()
	now := b.now()
	b.arrived[e.n] = append(b.arrived[e.n], now)
	if reported := b.limits[e.n]; len(reported) > 0 && reported[len(reported)-1].text != noLimit {
		wiretest.SetLimit(w.Header(), reported[len(reported)-1].text)
		recordFirst(b.firstLimitAt, e.id, now)
	}
	if passedOn, known := b.limitPassedOnAt[entryTarget{entry, e.id}]; known && now >= passedOn+limitReactionTime && now >= b.firstLimitAt[e.id]+propagationTime {
		b.count(e, now)
	}
	return false
}

// count counts an arrival to which the limit applies, and compares the window's count with the limit. countMu is held.
func (b *limitBed) count(e *crashEngine, now time.Duration) {
	window := slices.DeleteFunc(append(b.counted[e.id], now), func(at time.Duration) bool { return at <= now-limitWindow })
	b.counted[e.id] = window
	allowed := b.allowed(e.n, now)
	if float64(len(window)) > allowed {
		b.exceeded[e.n] = true
	}
	if float64(len(window))/allowed > float64(b.worst.got)/max(1, b.worst.allowed) {
		b.worst = windowCount{e.n, now, len(window), allowed}
	}
}

// allowed returns how many requests a target may get in the window that ends now, by the highest limit that it has
// reported in that window.
func (b *limitBed) allowed(n int, now time.Duration) float64 {
	highest := 0.0
	for i, l := range b.limits[n] {
		if over := i+1 < len(b.limits[n]) && b.limits[n][i+1].from <= now-limitWindow; !over {
			highest = max(highest, l.perSecond)
		}
	}
	return limitOver*highest*limitWindow.Seconds() + limitSlack
}

// callers sends safe and unsafe requests to all entries until the given time, and returns their answers.
func (b *limitBed) callers(until time.Duration) []adviceAnswer {
	return b.collect(limitLoad, until, b.callOnce)
}

// callOnce sends a request to an entry, and records whether the answer reports a limit.
func (b *limitBed) callOnce(entry int) adviceAnswer {
	a, head := b.callTraced(entry)
	if wiretest.LimitIn(head) != "" {
		b.countMu.Lock()
		recordFirst(b.limitPassedOnAt, entryTarget{entry, wiretest.AnsweredBy(head)}, b.now())
		b.countMu.Unlock()
	}
	return a
}

// loseDatagrams drops a fraction of all datagrams from now on.
func (b *crashBed) loseDatagrams(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lossRate = fraction
}

// restartEntry kills an entry and starts it again after a delay. The reports that it got are lost.
func (b *limitBed) restartEntry(i int, after time.Duration) {
	b.killEntry(i)
	b.forgetLimitsOf(i)
	time.Sleep(after)
	b.startEntry(i)
}

// crashTarget makes a target crash and start again under its id: limits that it reported before don't apply to its new
// incarnation.
func (b *limitBed) crashTarget(n int) {
	b.reuseIDs()
	b.mu.Lock()
	e := b.engines[n]
	b.mu.Unlock()
	b.countMu.Lock()
	delete(b.firstLimitAt, e.id)
	delete(b.counted, e.id)
	maps.DeleteFunc(b.limitPassedOnAt, func(at entryTarget, _ time.Duration) bool { return at.target == e.id })
	b.countMu.Unlock()
	e.crash()
}

// forgetLimitsOf drops the reports of limits that an entry got.
func (b *limitBed) forgetLimitsOf(entry int) {
	b.countMu.Lock()
	defer b.countMu.Unlock()
	maps.DeleteFunc(b.limitPassedOnAt, func(at entryTarget, _ time.Duration) bool { return at.entry == entry })
}

// rate returns the average number of requests per second that reached a target between two times.
func (b *limitBed) rate(n int, from, until time.Duration) float64 {
	b.countMu.Lock()
	defer b.countMu.Unlock()
	count := 0
	for _, at := range b.arrived[n] {
		if at >= from && at < until {
			count++
		}
	}
	return float64(count) / (until - from).Seconds()
}

// check fails the test if a target got more requests than its limit allows.
func (b *limitBed) check() {
	b.t.Helper()
	b.countMu.Lock()
	defer b.countMu.Unlock()
	w := b.worst
	b.t.Logf("highest use of a limit: target %d got %d in %v at %v, allowed %.1f", w.target, w.got, limitWindow, w.at, w.allowed)
	if len(b.exceeded) > 0 {
		b.t.Errorf("%d targets got more than their limits allow", len(b.exceeded))
	}
}
