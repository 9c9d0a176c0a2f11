package app

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/wiretest"
)

// crashEngine is one incarnation of a simulated target.
type crashEngine struct {
	bed     *crashBed
	n       int // it is the nth target in all its incarnations
	id      string
	service ids.Service
	version ids.Version
	born    ids.Start
	row     wiretest.Engine // as it wrote it when it started
	server  *http.Server
	once    sync.Once // ends it
}

// address is where the target listens; it is the same for all incarnations of the nth target.
func (e *crashEngine) address() string { return targetAddress(e.n) }

// domainOf is the failure domain of the nth target: the entries' own, or one of b.domains in rotation.
func (b *crashBed) domainOf(n int) ids.FailureDomain {
	if b.domains == 0 {
		return "d"
	}
	return ids.FailureDomain(fmt.Sprint("d", n%b.domains))
}

func targetAddress(n int) string { return fmt.Sprintf("10.9.%d.%d:80", n/200, 1+n%200) }

// startEngine starts the nth target under a new id.
func (b *crashBed) startEngine(n int) { b.startEngineAs(n, "") }

// startEngineAs starts the nth target under an id; if id is empty, under a new one.
func (b *crashBed) startEngineAs(n int, id string) {
	address := targetAddress(n)
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.started++
	e := &crashEngine{bed: b, n: n, id: cmp.Or(id, fmt.Sprintf("t-%d-%d", n, b.started)), service: cmp.Or(b.service, "s"), version: cmp.Or(b.version, "v1")}
	e.born = ids.Start(time.Now().UnixMilli())
	e.server = &http.Server{Handler: e}
	b.engines[n] = e
	listener, err := b.net.Listen(address)
	b.mu.Unlock()
	if err != nil {
		b.t.Error(err)
		return
	}
	go func() { _ = e.server.Serve(listener) }()
	row := wiretest.Engine{Service: e.service, Address: address, Domain: b.domainOf(n), Version: e.version, Slots: crashSlots, State: wiretest.Ready, ColdFor: b.coldFor(), Sequence: 1, Born: e.born}
	e.row = row
	b.store.Put(platform.TableTargets, e.id, row.Row())
}

// end ends the target for good; its row stays.
func (e *crashEngine) end() { e.once.Do(func() { _ = e.server.Close() }) }

// crash ends the target with all requests that it runs, and starts another one in its place after restartDelay.
func (e *crashEngine) crash() {
	e.once.Do(func() {
		_ = e.server.Close()
		go func() {
			if e.bed.reusesIDs() {
				time.Sleep(restartDelay)
				e.bed.startEngineAs(e.n, e.id)
				return
			}
			time.Sleep(rowExpiry)
			e.bed.store.Remove(platform.TableTargets, e.id)
			time.Sleep(restartDelay - rowExpiry)
			e.bed.startEngine(e.n)
		}()
	})
}

// ServeHTTP runs a request that is meant for this incarnation. Under a fatal body the target ends after fatalWork.
func (e *crashEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wiretest.SetRequestID(w.Header(), wiretest.RequestID(r.Header))
	if wiretest.IntendedEngine(r.Header) != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body := string(text)
	if e.bed.intercept != nil && e.bed.intercept(e, w, r) {
		return
	}
	if strings.HasPrefix(body, fatalPrefix) {
		e.recordTime(e.bed.reached, body)
		time.Sleep(fatalWork)
		e.recordTime(e.bed.ends, body)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if e.bed.longRuns && e.bed.draw(longOneIn) == 0 {
		time.Sleep(longWork)
	}
	time.Sleep(crashWork)
	if e.bed.drawBreak() {
		panic(http.ErrAbortHandler)
	}
	wiretest.MarkAnsweredBy(w.Header(), e.id)
	_, _ = io.WriteString(w, "answer to "+body)
}

// drawBreak draws whether an answer is broken off.
func (b *crashBed) drawBreak() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < b.breakFraction
}

// recordTime appends the present time to the times of a body.
func (e *crashEngine) recordTime(list map[string][]time.Duration, body string) {
	e.bed.mu.Lock()
	defer e.bed.mu.Unlock()
	list[body] = append(list[body], e.bed.now())
}

// coldFor is how long a target that starts now reports that it is cold, in ms.
func (b *crashBed) coldFor() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.cold.Milliseconds())
}

// reuseIDs makes targets that ended start again under their former ids.
func (b *crashBed) reuseIDs() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sameIDs = true
}

func (b *crashBed) reusesIDs() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sameIDs
}
