package app

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/buffers"
	"quaydock/platform"
	"quaydock/platform/wiretest"
)

// These tests guard against entries that outgrow their memory, and targets that are held up, while hundreds of callers
// pause before they read their answers.

const (
	slowEvents     = 12       // of a stream
	slowEventBytes = 16 << 10 // of one event, so that a stream is larger than the buffers of a connection
	slowEventEvery = 10 * time.Millisecond
	slowCallers    = 300
)

// slowBed is a crashBed whose targets stream large events to callers that pause.
type slowBed struct {
	*crashBed

	slowMu sync.Mutex
	unread int // answers that their targets could not write at their own pace
	tally  map[string]int
}

// newSlowBed starts the entries on VMs of the smallest size.
func newSlowBed(t *testing.T, seed uint64) *slowBed {
	b := &slowBed{crashBed: newBed(t, seed, 2, crashTargets, 0, true), tally: make(map[string]int)}
	b.memoryMB = 112
	b.intercept = b.stream
	configuration := b.configuration(2)
	configuration.Routes = append(configuration.Routes, wiretest.Route{Name: "stream", Host: "h", Prefix: "/stream/", Kind: "streaming", Timeout: 9000, Objective: 2000, Attempts: 1, Service: "s"})
	b.store.Put(platform.TableOperators, platform.KeyConfiguration, configuration.Row())
	for n := range b.engines {
		b.startEngine(n)
	}
	for i := range b.entries {
		b.startEntry(i)
	}
	time.Sleep(4 * time.Second) // until no target is cold
	return b
}

// stream writes the events of a stream.
func (b *slowBed) stream(e *crashEngine, w http.ResponseWriter, _ *http.Request) bool {
	began := time.Now()
	wiretest.MarkAnsweredBy(w.Header(), e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range slowEvents {
		if _, err := io.WriteString(w, slowEvent(n)); err != nil || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(slowEventEvery)
	}
	if time.Since(began) > slowEvents*slowEventEvery+50*time.Millisecond {
		b.slowMu.Lock()
		defer b.slowMu.Unlock()
		b.unread++
	}
	return true
}

// slowEvent returns the n-th event of a stream.
func slowEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("a", slowEventBytes))
}

// call makes one request, pauses once its answer has begun, and counts how it ended.
func (b *slowBed) call(id string, entry int, pause time.Duration) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return b.net.Dial(ctx, entryIP(entry)+":80")
	}}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://h/stream/q", strings.NewReader("question"))
	if err != nil {
		b.t.Error(err)
		return
	}
	wiretest.SetCall(r.Header, id, "key-a", 9*time.Second)
	response, err := transport.RoundTrip(r)
	if err != nil {
		b.count("no answer")
		return
	}
	defer func() { _ = response.Body.Close() }()
	time.Sleep(pause)
	body, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode != http.StatusOK:
		b.count(response.Status)
	case err != nil:
		b.count("broken off")
	case strings.Count(string(body), "\n\n") != slowEvents:
		b.count("truncated")
	default:
		b.count("whole")
	}
}

func (b *slowBed) count(how string) {
	b.slowMu.Lock()
	defer b.slowMu.Unlock()
	b.tally[how]++
}

// callAll has slowCallers pause for 1 s or 4 s; they begin over half a second.
func (b *slowBed) callAll(round string) *sync.WaitGroup {
	var all sync.WaitGroup
	for i := range slowCallers {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond / slowCallers)
			b.call(fmt.Sprint(round, i), i%len(b.entries), []time.Duration{time.Second, 4 * time.Second}[i/2%2])
		})
	}
	return &all
}

// checkHeld checks for a time that each entry stays within its bound, and returns the most that one held.
func (b *slowBed) checkHeld(during time.Duration) (most int) {
	for began := time.Now(); time.Since(began) < during; time.Sleep(20 * time.Millisecond) {
		b.mu.Lock()
		for _, e := range b.entries {
			if e == nil {
				continue
			}
			used := e.process.buffers.Usage()
			if used.Answers+used.Bodies > buffers.LimitsFor(b.memoryMB).Total {
				b.t.Errorf("an entry holds %+v", used)
			}
			most = max(most, used.Answers)
		}
		b.mu.Unlock()
	}
	return most
}

// TestPausingCallersOfWholeEntries has all entries killed and started again while their callers pause, and the callers
// come back.
func TestPausingCallersOfWholeEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newSlowBed(t, 1)
		first := b.callAll("a")
		most := b.checkHeld(2 * time.Second)
		b.restartAll()
		for i := range b.entries {
			if used := b.entries[i].process.buffers.Usage(); used != (buffers.Usage{}) {
				t.Errorf("a new process holds %+v", used)
			}
		}
		time.Sleep(2 * time.Second) // until the entries are ready
		first.Wait()
		t.Logf("before the kills: %v", b.tally)
		if b.tally["whole"] < slowCallers/4 || b.tally["truncated"] > 0 {
			t.Errorf("before the kills: %v", b.tally)
		}
		clear(b.tally)
		second := b.callAll("b")
		most = max(most, b.checkHeld(6*time.Second))
		second.Wait()
		if b.tally["whole"] != slowCallers || b.unread > 0 {
			t.Errorf("%v, %d answers were held up at their targets", b.tally, b.unread)
		}
		t.Logf("at most %d bytes were held", most)
		if most < 1<<20 {
			t.Errorf("no more than %d bytes were held", most)
		}
		time.Sleep(time.Second)
		for i := range b.entries {
			if used := b.entries[i].process.buffers.Usage(); used != (buffers.Usage{}) {
				t.Errorf("at the end an entry holds %+v", used)
			}
		}
	})
}

// TestPlannedStopWaitsForPausingCallers guards against answers that a planned stop cuts off although their callers read
// them within the grace.
func TestPlannedStopWaitsForPausingCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDrainBed(t, drainGrace)
		const length = 500_000
		finished := make(chan time.Time, 1)
		target := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			for range length / 1000 {
				_, _ = io.WriteString(w, "data: "+strings.Repeat("a", 1000-8)+"\n\n")
			}
			finished <- time.Now()
		})}
		go func() { _ = target.Serve(b.listen(drainTarget)) }()
		defer func() { _ = target.Close() }()
		synctest.Wait()
		c, err := b.network.Dial(context.Background(), drainCallers)
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, _ = io.WriteString(c, "POST /draft/a HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		time.Sleep(500 * time.Millisecond)
		b.stop()
		time.Sleep(4500 * time.Millisecond)
		text, err := io.ReadAll(c)
		if n := strings.Count(string(text), "data: "); err != nil || n != length/1000 || !strings.HasSuffix(string(text), "0\r\n\r\n") {
			t.Errorf("%d events, %d bytes, %v", n, len(text), err)
		}
		<-b.drained
		if took := time.Since(began); took > 5500*time.Millisecond {
			t.Errorf("the process ended after %v", took)
		}
		if took := (<-finished).Sub(began); took > 100*time.Millisecond {
			t.Errorf("the target was held up for %v", took)
		}
	})
}
