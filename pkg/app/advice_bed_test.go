package app

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"quaydock/platform/wiretest"
)

// leavingSlack is how long requests from an entry may still reach a target after the entry has passed on the
// target's report that it is leaving.
const leavingSlack = 2 * time.Second

// backoffSlack is how long requests may still be on their way to a target after it has asked for a back-off, and
// maxInBackoff how many may reach it from one entry in the remainder of the back-off.
const (
	backoffSlack = 500 * time.Millisecond
	maxInBackoff = 2
)

// adviceBed is a test bed of complete entries in front of targets that report in their answers that they are
// leaving, or ask for a back-off. It records which reports each entry got, and counts the requests that reach a
// target in spite of them.
type adviceBed struct {
	*crashBed

	adviceMu   sync.Mutex
	leaving    map[int]bool                  // targets, by number
	rejections map[int]rejection             // targets, by number
	sent       map[string]sentCall           // requests, by id
	passedOnAt map[entryTarget]time.Duration // when an entry first passed on that a target is leaving
	backoffs   map[entryTarget][]*backoffPeriod
	// afterLeaving counts the requests that reached leaving targets too late, and duringBackoff those beyond
	// maxInBackoff.
	afterLeaving, duringBackoff int
	pairs                       map[entryTarget]bool     // between which a request came in spite of a report
	rejected                    int                      // requests rejected by targets
	arrivals                    map[string]int           // requests that reached targets, by target id
	lastArrival                 map[string]time.Duration // by target id
}

// entryTarget is an entry and an incarnation of a target.
type entryTarget struct {
	entry  int
	target string
}

// rejection is how a target rejects requests.
type rejection struct {
	fraction float64       // of the requests
	backoff  time.Duration // that it asks for
	unmarked bool          // without the header that says that the request did not run
}

// sentCall is when a caller sent a request, and to which entry.
type sentCall struct {
	entry int
	at    time.Duration
}

// backoffPeriod is one back-off that a target has asked an entry for.
type backoffPeriod struct {
	from, until time.Duration
	reached     int // requests from that entry later than backoffSlack after its beginning
}

// newAdviceBed starts a bed of three entries and crashTargets targets, with seed 1.
func newAdviceBed(t *testing.T) *adviceBed { return newAdviceBedOf(t, 1, 3, crashTargets) }

// newAdviceBedOf starts a bed, with its targets in the entries' failure domain.
func newAdviceBedOf(t *testing.T, seed uint64, entries, targets int) *adviceBed {
	b := &adviceBed{
		crashBed: newCrashBedOf(t, seed, entries, targets), leaving: make(map[int]bool), rejections: make(map[int]rejection),
		sent: make(map[string]sentCall), passedOnAt: make(map[entryTarget]time.Duration), backoffs: make(map[entryTarget][]*backoffPeriod), pairs: make(map[entryTarget]bool),
		arrivals: make(map[string]int), lastArrival: make(map[string]time.Duration),
	}
	b.intercept = b.answer
	return b
}

// answer counts a request that has reached a target, and answers it if the target rejects it.
func (b *adviceBed) answer(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
	b.adviceMu.Lock()
	defer b.adviceMu.Unlock()
	now := b.now()
	call := b.sent[wiretest.RequestID(r.Header)]
	at := entryTarget{call.entry, e.id}
	b.arrivals[e.id]++
	b.lastArrival[e.id] = now
	if passedOn, known := b.passedOnAt[at]; known && call.at > passedOn+leavingSlack {
		b.afterLeaving++
		b.pairs[at] = true
	}
	for _, period := range b.backoffs[at] {
		if now > period.from+backoffSlack && now < period.until {
			period.reached++
			if period.reached > maxInBackoff {
				b.duringBackoff++
				b.pairs[at] = true
			}
		}
	}
	if b.leaving[e.n] {
		wiretest.MarkLeaving(w.Header())
	}
	rejecting := b.rejections[e.n]
	if rejecting.fraction <= 0 || b.draw(1000) >= int(rejecting.fraction*1000) {
		return false
	}
	b.rejected++
	b.backoffs[at] = append(b.backoffs[at], &backoffPeriod{from: now, until: now + rejecting.backoff})
	if rejecting.unmarked {
		wiretest.MarkAnsweredBy(w.Header(), e.id)
	} else {
		wiretest.MarkNotRun(w.Header())
	}
	wiretest.SetBackoff(w.Header(), rejecting.backoff)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// setLeaving makes the first n targets report in all their answers that they are leaving.
func (b *adviceBed) setLeaving(n int) {
	b.adviceMu.Lock()
	defer b.adviceMu.Unlock()
	for i := range n {
		b.leaving[i] = true
	}
}

// rejectFirst makes the first n targets reject requests.
func (b *adviceBed) rejectFirst(n int, s rejection) {
	for i := range n {
		b.rejectAt(i, s)
	}
}

// rejectAt makes one target reject requests.
func (b *adviceBed) rejectAt(n int, s rejection) {
	b.adviceMu.Lock()
	defer b.adviceMu.Unlock()
	b.rejections[n] = s
}

// forgetAdviceOf drops the reports that an entry got: it has started again.
func (b *adviceBed) forgetAdviceOf(entry int) {
	b.adviceMu.Lock()
	defer b.adviceMu.Unlock()
	maps.DeleteFunc(b.passedOnAt, func(at entryTarget, _ time.Duration) bool { return at.entry == entry })
	maps.DeleteFunc(b.backoffs, func(at entryTarget, _ []*backoffPeriod) bool { return at.entry == entry })
}

// adviceAnswer is what a caller got.
type adviceAnswer struct {
	at, took   time.Duration // when the request was sent, and the time to the whole answer
	status     int           // 0 without an answer
	retryAfter time.Duration // the answer's Retry-After, 0 without one
}

// adviceLoad is the rate of requests per second: a third of what one target can serve.
const adviceLoad = 200

// callers sends safe and unsafe requests to all entries until the given time, and returns their answers.
func (b *adviceBed) callers(until time.Duration) []adviceAnswer {
	return b.callersAt(adviceLoad, until)
}

// callersAt is callers at a given rate.
func (b *adviceBed) callersAt(perSecond float64, until time.Duration) []adviceAnswer {
	return b.collect(perSecond, until, b.callOnce)
}

// collect calls entries at the given rate until the given time, and returns their answers.
func (b *adviceBed) collect(perSecond float64, until time.Duration, call func(entry int) adviceAnswer) []adviceAnswer {
	var mu sync.Mutex
	var answers []adviceAnswer
	b.callAtRate(perSecond, b.now(), until, func() {
		a := call(b.draw(len(b.entries)))
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	})
	return answers
}

// callOnce sends a request to an entry, and records whether the answer passes on that its target is leaving.
func (b *adviceBed) callOnce(entry int) adviceAnswer {
	a, head := b.callTraced(entry)
	if wiretest.IsLeaving(head) {
		b.adviceMu.Lock()
		recordFirst(b.passedOnAt, entryTarget{entry, wiretest.AnsweredBy(head)}, b.now())
		b.adviceMu.Unlock()
	}
	return a
}

// recordFirst records the time of the first occurrence of something.
func recordFirst[K comparable](first map[K]time.Duration, what K, now time.Duration) {
	if _, known := first[what]; !known {
		first[what] = now
	}
}

// callTraced sends a request whose entry and time are recorded by its id, and returns the answer with its header.
func (b *adviceBed) callTraced(entry int) (adviceAnswer, http.Header) {
	path := []string{"/safe/q", "/unsafe/q"}[b.draw(2)]
	id, at := b.newRequestID(), b.now()
	b.adviceMu.Lock()
	b.sent[id] = sentCall{entry, at}
	b.adviceMu.Unlock()
	status, head, _ := b.send(entry, id, path, "key-a", b.uniqueBody())
	a := adviceAnswer{at: at, took: b.now() - at, status: status}
	if seconds, err := strconv.ParseFloat(head.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a, head
}

// targetsUsedSince returns how many targets got a request since the given time.
func (b *adviceBed) targetsUsedSince(from time.Duration) int {
	b.adviceMu.Lock()
	defer b.adviceMu.Unlock()
	used := 0
	for _, at := range b.lastArrival {
		if at >= from {
			used++
		}
	}
	return used
}

// served returns the fraction of a time span's requests that were answered with 200.
func served(answers []adviceAnswer, from, until time.Duration) float64 {
	n, all := 0, 0
	for _, a := range answers {
		if a.at < from || a.at >= until {
			continue
		}
		all++
		if a.status == http.StatusOK {
			n++
		}
	}
	return float64(n) / float64(max(1, all))
}

// check fails the test if requests reached targets in spite of their reports.
func (b *adviceBed) check() {
	b.t.Helper()
	b.adviceMu.Lock()
	defer b.adviceMu.Unlock()
	var pairs []string
	for at := range b.pairs {
		pairs = append(pairs, fmt.Sprintf("entry %d to %s", at.entry, at.target))
	}
	slices.Sort(pairs)
	if b.afterLeaving > 0 {
		b.t.Errorf("%d requests reached leaving targets later than %v after their entries had passed the report on: %v", b.afterLeaving, leavingSlack, pairs)
	}
	if b.duringBackoff > 0 {
		b.t.Errorf("%d requests beyond %d reached targets during a back-off that they had asked those entries for: %v", b.duringBackoff, maxInBackoff, pairs)
	}
}
