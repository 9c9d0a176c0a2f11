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

// crashEngine is one life of a target.
type crashEngine struct {
	bed     *crashBed
	n       int
	id      string
	version ids.Version
	born    ids.Start
	row     wiretest.Engine
	server  *http.Server
	once    sync.Once
}

// address is where the nth target listens, whatever its life.
func (e *crashEngine) address() string { return targetAddress(e.n) }

// domainOf is the failure domain of the nth target: the entries' own, or one of several in turn.
func (b *crashBed) domainOf(n int) ids.FailureDomain {
	if b.domains == 0 {
		return "d"
	}
	return ids.FailureDomain(fmt.Sprint("d", n%b.domains))
}

func targetAddress(n int) string { return fmt.Sprintf("10.9.%d.%d:80", n/200, 1+n%200) }

func (b *crashBed) startEngine(n int) { b.startEngineAs(n, "") }

// startEngineAs starts the nth target under an id, or under one of its own.
func (b *crashBed) startEngineAs(n int, id string) {
	address := targetAddress(n)
	b.mu.Lock()
	if b.over {
		b.mu.Unlock()
		return
	}
	b.started++
	e := &crashEngine{bed: b, n: n, id: cmp.Or(id, fmt.Sprintf("t-%d-%d", n, b.started)), version: cmp.Or(b.version, "v1")}
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
	row := wiretest.Engine{Service: "s", Address: address, Domain: b.domainOf(n), Version: e.version, Slots: crashSlots, State: wiretest.Ready, ColdFor: b.coldFor(), Sequence: 1, Born: e.born}
	e.row = row
	b.store.Put(platform.TableTargets, e.id, row.Row())
}

func (e *crashEngine) end() { e.once.Do(func() { _ = e.server.Close() }) }

// crash ends the target with all that it runs, and has another one start in its place.
func (e *crashEngine) crash() {
	e.once.Do(func() {
		_ = e.server.Close()
		go func() {
			if e.bed.reusesIDs() {
				time.Sleep(crashBack)
				e.bed.startEngineAs(e.n, e.id)
				return
			}
			time.Sleep(crashLapse)
			e.bed.store.Remove(platform.TableTargets, e.id)
			time.Sleep(crashBack - crashLapse)
			e.bed.startEngine(e.n)
		}()
	})
}

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
	if e.bed.answers != nil && e.bed.answers(e, w, r) {
		return
	}
	if strings.HasPrefix(body, fatal) {
		e.note(e.bed.reached, body)
		time.Sleep(crashAfter)
		e.note(e.bed.ends, body)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if e.bed.long && e.bed.draw(longOneIn) == 0 {
		time.Sleep(longWork)
	}
	time.Sleep(crashWork)
	if e.bed.breaksOff() {
		panic(http.ErrAbortHandler)
	}
	wiretest.MarkAnsweredBy(w.Header(), e.id)
	_, _ = io.WriteString(w, "answer to "+body)
}

// breaksOff draws whether an answer is broken off.
func (b *crashBed) breaksOff() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < b.breaks
}

// note adds this moment to those of a body. A target ends once, whatever runs at it.
func (e *crashEngine) note(list map[string][]time.Duration, body string) {
	e.bed.mu.Lock()
	defer e.bed.mu.Unlock()
	list[body] = append(list[body], e.bed.now())
}

// coldFor is for how long a target that starts now says that it is cold, in ms.
func (b *crashBed) coldFor() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.cold.Milliseconds())
}

// reuseIDs has ended targets start again under their ids.
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
