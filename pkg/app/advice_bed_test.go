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

// drainTime is how long after an entry has passed on the word of a target that it leaves requests may
// still reach that target from the entry.
const drainTime = 2 * time.Second

// restSlack is how long after a target has asked for rest requests may still be on their way to it, and
// mostInRest how many may reach it from one entry in the rest of that time.
const (
	restSlack  = 500 * time.Millisecond
	mostInRest = 2
)

// adviceBed is whole entries before targets that say in their answers that they leave, or ask for
// rest. It knows what each entry was told, and counts what reaches a target against that.
type adviceBed struct {
	*crashBed

	said    sync.Mutex
	leaving map[int]bool           // targets, by number
	sheds   map[int]shedding       // targets, by number
	sent    map[string]sentCall    // requests, by id
	told    map[pair]time.Duration // when an entry first passed on that a target leaves
	rests   map[pair][]*rest
	// against are the requests that reached targets that leave, and withinRest those beyond what a rest bears.
	against, withinRest int
	pairs               map[pair]bool // of which something counts
	declined            int
	arrivals            map[string]int // by target
	lastArrival         map[string]time.Duration
}

// pair is an entry and a life of a target.
type pair struct {
	entry  int
	target string
}

// shedding is how a target turns requests away.
type shedding struct {
	share float64
	rest  time.Duration
	own   bool // without the mark that says that the request did not run
}

type sentCall struct {
	entry int
	at    time.Duration
}

// rest is one time of rest that a target has asked an entry for.
type rest struct {
	from, until time.Duration
	reached     int
}

func newAdviceBed(t *testing.T) *adviceBed { return newAdviceBedOf(t, 1, 3, crashTargets) }

func newAdviceBedOf(t *testing.T, seed uint64, entries, targets int) *adviceBed {
	b := &adviceBed{
		crashBed: newCrashBedOf(t, seed, entries, targets), leaving: make(map[int]bool), sheds: make(map[int]shedding),
		sent: make(map[string]sentCall), told: make(map[pair]time.Duration), rests: make(map[pair][]*rest), pairs: make(map[pair]bool),
		arrivals: make(map[string]int), lastArrival: make(map[string]time.Duration),
	}
	b.intercept = b.answer
	return b
}

// answer counts a request that has reached a target, and answers what that turns away.
func (b *adviceBed) answer(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
	b.said.Lock()
	defer b.said.Unlock()
	now := b.now()
	call := b.sent[wiretest.RequestID(r.Header)]
	at := pair{call.entry, e.id}
	b.arrivals[e.id]++
	b.lastArrival[e.id] = now
	if told, known := b.told[at]; known && call.at > told+drainTime {
		b.against++
		b.pairs[at] = true
	}
	for _, x := range b.rests[at] {
		if now > x.from+restSlack && now < x.until {
			x.reached++
			if x.reached > mostInRest {
				b.withinRest++
				b.pairs[at] = true
			}
		}
	}
	if b.leaving[e.n] {
		wiretest.MarkLeaving(w.Header())
	}
	shed := b.sheds[e.n]
	if shed.share <= 0 || b.draw(1000) >= int(shed.share*1000) {
		return false
	}
	b.declined++
	b.rests[at] = append(b.rests[at], &rest{from: now, until: now + shed.rest})
	if shed.own {
		wiretest.MarkAnsweredBy(w.Header(), e.id)
	} else {
		wiretest.MarkNotRun(w.Header())
	}
	wiretest.SetBackoff(w.Header(), shed.rest)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// leave has the first n targets say in all their answers that they leave.
func (b *adviceBed) leave(n int) {
	b.said.Lock()
	defer b.said.Unlock()
	for i := range n {
		b.leaving[i] = true
	}
}

// shed has the first n targets turn requests away.
func (b *adviceBed) shed(n int, s shedding) {
	for i := range n {
		b.shedAt(i, s)
	}
}

// shedAt has one target turn requests away.
func (b *adviceBed) shedAt(n int, s shedding) {
	b.said.Lock()
	defer b.said.Unlock()
	b.sheds[n] = s
}

// restarted forgets what an entry was told.
func (b *adviceBed) restarted(entry int) {
	b.said.Lock()
	defer b.said.Unlock()
	maps.DeleteFunc(b.told, func(at pair, _ time.Duration) bool { return at.entry == entry })
	maps.DeleteFunc(b.rests, func(at pair, _ []*rest) bool { return at.entry == entry })
}

// adviceAnswer is what a caller got.
type adviceAnswer struct {
	at, took time.Duration
	status   int
	back     time.Duration // when it is told to come back, 0 if not
}

// adviceLoad is how many requests a second come: a third of what one target can serve.
const adviceLoad = 200

// callers sends requests of both kinds to all entries until a moment and returns their answers.
func (b *adviceBed) callers(until time.Duration) []adviceAnswer {
	return b.callersAt(adviceLoad, until)
}

// callersAt is callers with so many requests a second.
func (b *adviceBed) callersAt(perSecond float64, until time.Duration) []adviceAnswer {
	return b.collect(perSecond, until, b.callOnce)
}

// collect calls entries so many times a second until a moment, and returns their answers.
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

func (b *adviceBed) callOnce(entry int) adviceAnswer {
	a, head := b.callKnown(entry)
	if wiretest.IsLeaving(head) {
		b.said.Lock()
		noteFirst(b.told, pair{entry, wiretest.AnsweredBy(head)}, b.now())
		b.said.Unlock()
	}
	return a
}

// noteFirst notes when something first was so.
func noteFirst[K comparable](first map[K]time.Duration, what K, now time.Duration) {
	if _, known := first[what]; !known {
		first[what] = now
	}
}

// callKnown sends a request of which targets can tell where it was sent, and returns the answer with its head.
func (b *adviceBed) callKnown(entry int) (adviceAnswer, http.Header) {
	path := []string{"/safe/q", "/unsafe/q"}[b.draw(2)]
	id, at := b.newRequestID(), b.now()
	b.said.Lock()
	b.sent[id] = sentCall{entry, at}
	b.said.Unlock()
	status, head, _ := b.send(entry, id, path, "key-a", b.uniqueBody())
	a := adviceAnswer{at: at, took: b.now() - at, status: status}
	if seconds, err := strconv.ParseFloat(head.Get("Retry-After"), 64); err == nil {
		a.back = time.Duration(seconds * float64(time.Second))
	}
	return a, head
}

// usedSince is how many targets a request has reached since a moment.
func (b *adviceBed) usedSince(from time.Duration) int {
	b.said.Lock()
	defer b.said.Unlock()
	used := 0
	for _, at := range b.lastArrival {
		if at >= from {
			used++
		}
	}
	return used
}

// served is the part of answers to requests of a span that are whole.
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

// check holds what has reached targets against what they had said.
func (b *adviceBed) check() {
	b.t.Helper()
	b.said.Lock()
	defer b.said.Unlock()
	var pairs []string
	for at := range b.pairs {
		pairs = append(pairs, fmt.Sprintf("entry %d to %s", at.entry, at.target))
	}
	slices.Sort(pairs)
	if b.against > 0 {
		b.t.Errorf("%d requests reached targets that leave later than %v after their entries had passed that on: %v", b.against, drainTime, pairs)
	}
	if b.withinRest > 0 {
		b.t.Errorf("%d requests beyond %d reached targets while they rested from those entries: %v", b.withinRest, mostInRest, pairs)
	}
}
