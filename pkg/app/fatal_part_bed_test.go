package app

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/wiretest"
)

// Parts of prompts. Sound requests share the first two, one each, and one of documentCount documents; each request has a
// last part of its own.
const (
	systemPart      ids.PromptPart = 0x51
	otherSystemPart ids.PromptPart = 0x52
	fatalPart       ids.PromptPart = 0xfa
	secondFatalPart ids.PromptPart = 0xfb
	firstDocument   ids.PromptPart = 0xd0000
	documentCount                  = 40
)

const (
	soundRate      = 150              // sound requests a second
	streamRate     = 60               // the same if they are streams, which take most of the targets' slots
	slowStreamRate = 35               // the same if their first events are slow
	contactTime    = 3 * time.Second  // within which all entries must know of the fifth end
	fatalBegins    = time.Second      // when requests with a fatal part begin to come
	fatalLength    = 18 * time.Second // when they end to come
	fatalTries     = 3                // of one request, its first try included
	fatalReturn    = 200 * time.Millisecond
	soundEvents    = 40 // of a sound stream
	soundEventTime = 25 * time.Millisecond
	soundFirstTime = 40 * time.Millisecond
)

// partBed is a test bed of complete entries in front of targets that end when they begin to answer a prompt with a fatal
// part that is not its last one.
type partBed struct {
	*crashBed
	began   bool          // they end after their first event
	from    time.Duration // from when on fatal parts end targets
	streams bool          // sound requests are streams
	// documents is the number of documents, and firstTime the time to the first event of a sound stream.
	documents int
	firstTime time.Duration

	partMu  sync.Mutex
	ended   []time.Duration
	arrived []time.Duration // requests with a fatal part, at targets
	sound   []soundCall
}

// soundCall is a sound request and its result.
type soundCall struct {
	at     time.Duration
	served bool
	reason string // of a refusal
}

// newPartBed starts entries and targets.
func newPartBed(t *testing.T, seed uint64, entries, targets int) *partBed {
	b := &partBed{crashBed: newCrashBedOf(t, seed, entries, targets), documents: documentCount, firstTime: soundFirstTime}
	b.intercept = b.answerPrompt
	configuration := b.configuration(2)
	route := wiretest.Route{Name: "stream", Host: "h", Prefix: "/stream/", Kind: "streaming", Timeout: 6000, Objective: 800, Attempts: 1, Service: "s"}
	resume := route
	resume.Name, resume.Prefix, resume.Attempts, resume.Resumable = "resume", "/resume/", 3, true
	configuration.Routes = append(configuration.Routes, route, resume)
	b.store.Put(platform.TableOperators, platform.KeyConfiguration, configuration.Row())
	time.Sleep(time.Second)
	b.crashBed.began = time.Now()
	return b
}

// answerPrompt answers a request that declares parts of its prompt.
func (b *partBed) answerPrompt(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
	parts := wiretest.PromptParts(r.Header)
	if len(parts) == 0 {
		return false
	}
	wiretest.MarkAnsweredBy(w.Header(), e.id)
	stream := strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resume/")
	shared := parts[:len(parts)-1]
	if !slices.Contains(shared, fatalPart) && !slices.Contains(shared, secondFatalPart) {
		b.answerSound(w, stream)
		return true
	}
	b.record(&b.arrived)
	if b.now() < b.from {
		b.answerSound(w, stream)
		return true
	}
	if b.began {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(fatalWork)
	b.record(&b.ended)
	e.crash()
	panic(http.ErrAbortHandler)
}

// answerSound answers a request that ends no target.
func (b *partBed) answerSound(w http.ResponseWriter, stream bool) {
	if !stream {
		time.Sleep(crashWork)
		_, _ = io.WriteString(w, "sound")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(b.firstTime)
	for n := 1; n <= soundEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: a\n\n", n); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(soundEventTime)
	}
}

// record appends the present time.
func (b *partBed) record(list *[]time.Duration) {
	b.partMu.Lock()
	defer b.partMu.Unlock()
	*list = append(*list, b.now())
}

// ownPart draws a part that only one request has.
func (b *partBed) ownPart() ids.PromptPart { return ids.PromptPart(1<<40 + b.draw(1<<39)) }

// document draws one of the documents.
func (b *partBed) document() ids.PromptPart {
	return firstDocument + ids.PromptPart(b.draw(b.documents))
}

// sendFatal sends requests with a fatal part, no two alike, at a rate, each of them up to fatalTries times. The parts are
// those of the prompt before the last one.
func (b *partBed) sendFatal(path string, perSecond float64, keys []string, parts func() []ids.PromptPart) {
	b.callAtRate(perSecond, fatalBegins, fatalLength, func() {
		prompt := append(parts(), b.ownPart())
		key, body := keys[b.draw(len(keys))], b.uniqueBody()
		for range fatalTries {
			status, _, _ := b.sendWith(b.draw(len(b.entries)), b.newRequestID(), path, key, body, prompt)
			if status == http.StatusOK {
				return
			}
			time.Sleep(fatalReturn)
		}
	})
}

// sendSound sends sound requests of both accounts until the end, half of them with the first part of the others.
func (b *partBed) sendSound(path string) {
	rate := soundRate
	switch {
	case b.streams && b.firstTime > soundFirstTime:
		rate = slowStreamRate
	case b.streams:
		rate = streamRate
	}
	b.callAtRate(float64(rate), 0, fatalLength, func() {
		system := []ids.PromptPart{systemPart, otherSystemPart}[b.draw(2)]
		key := []string{"key-a", "key-o"}[b.draw(2)]
		at := b.now()
		status, _, text := b.sendWith(b.draw(len(b.entries)), b.newRequestID(), path, key, b.uniqueBody(), []ids.PromptPart{system, b.document(), b.ownPart()})
		b.partMu.Lock()
		defer b.partMu.Unlock()
		b.sound = append(b.sound, soundCall{at: at, served: status == http.StatusOK, reason: fmt.Sprint(status, " ", strings.TrimSpace(text[:min(len(text), 12)]))})
	})
}

// fatalResult is what a play shows.
type fatalResult struct {
	ended, late int            // targets that ended, and requests that reached targets later than contactTime after the fifth end
	served      float64        // fraction of the sound requests
	settled     float64        // the same from some time on
	heldBack    int            // sound requests that the quarantine refused
	reasons     map[string]int // of the sound requests that were not served
}

// result returns what the play shows; settled counts from the given time on.
func (b *partBed) result(settled time.Duration) fatalResult {
	b.partMu.Lock()
	defer b.partMu.Unlock()
	r := fatalResult{ended: len(b.ended), reasons: make(map[string]int)}
	if len(b.ended) >= 5 {
		slices.Sort(b.ended)
		for _, at := range b.arrived {
			if at > b.ended[4]+contactTime {
				r.late++
			}
		}
	}
	served, all, servedLater, later := 0, 0, 0, 0
	for _, c := range b.sound {
		all++
		if c.at >= settled {
			later++
		}
		if !c.served {
			r.reasons[c.reason]++
			if strings.HasPrefix(c.reason, "503 HeldBack") || strings.HasPrefix(c.reason, "503 NoTurn") {
				r.heldBack++
			}
			continue
		}
		served++
		if c.at >= settled {
			servedLater++
		}
	}
	r.served = float64(served) / float64(max(1, all))
	r.settled = float64(servedLater) / float64(max(1, later))
	return r
}
