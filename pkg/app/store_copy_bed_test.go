package app

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/storetest"
	"quaydock/platform/wiretest"
)

const (
	copyTargets = 6
	// copyChangeLimit is the time within which a change must be in force at all entries, and copyKeyLimit the limit on
	// removed keys: those of the deployments with the shortest ones that were reported.
	copyChangeLimit = 3 * time.Second
	copyKeyLimit    = 5 * time.Second
	// copyAway is for how long the store is away before it returns from a copy.
	copyAway = 500 * time.Millisecond
	// copyRate is the requests per second at all entries together, of each key.
	copyRate = 60
)

// The keys of the bed's accounts: one that all configurations have, one that the second configuration removes and one
// that it adds.
const (
	keptKey    = "key-o"
	removedKey = "key-a"
	addedKey   = "key-new"
)

// copyBed is a test bed of whole entries whose store returns from a copy of its contents. It counts what callers and
// targets get that an older configuration or target list led to.
type copyBed struct {
	*crashBed

	copyMu       sync.Mutex
	changedAt    time.Duration                 // when the second configuration was acknowledged; 0 before
	leavingSince map[string]time.Duration      // by target id: since when its row says that it is leaving
	lateArrivals int                           // requests that reached leaving targets later than copyChangeLimit
	lateRemoved  int                           // requests with the removed key that ran later than copyChangeLimit
	lateRefused  int                           // requests with the added key that were refused as not allowed later than that
	minServed    float64                       // the least fraction of the requests with the kept key that must be served
	kept, served int                           // requests with the kept key, and those of them that were served
	refusedAt    map[*crashEntry]time.Duration // when a run of an entry had first refused the removed key
	undone       int                           // requests with the removed key that ran at such a run afterwards
	causes       map[string]int                // why requests with the kept key were refused
}

// newCopyBed starts entries, and writes so many rows of other tables that versions are well above 0.
func newCopyBed(t *testing.T, seed uint64, entries int) *copyBed {
	b := &copyBed{crashBed: newBed(t, seed, entries, copyTargets, 0, true), leavingSince: make(map[string]time.Duration), minServed: 0.99, refusedAt: make(map[*crashEntry]time.Duration), causes: make(map[string]int)}
	b.bounds.Revoke, b.bounds.RevokeStrict = 5_000, true
	b.intercept = b.arrive
	b.store.ClockRestarts = seed%4 < 2
	b.store.SetEra(int64(seed % 2)) // whether the first era is numbered 0 or 1, the next one differs
	b.writeOthers(100)
	b.startTargetsAndEntries(4 * time.Second)
	return b
}

// writeOthers writes rows of another table.
func (b *copyBed) writeOthers(n int) {
	for i := range n {
		b.store.Put("other", fmt.Sprint(i), nil)
	}
}

// arrive counts a request that reaches a leaving target. It leaves the answer to the target.
func (b *copyBed) arrive(e *crashEngine, _ http.ResponseWriter, _ *http.Request) bool {
	b.copyMu.Lock()
	defer b.copyMu.Unlock()
	if since, leaving := b.leavingSince[e.id]; leaving && b.now() > since+copyChangeLimit {
		b.lateArrivals++
	}
	return false
}

// rejectAndReturn has the store reject all calls for copyAway and return from its last copy.
func (b *copyBed) rejectAndReturn() {
	b.store.InjectFaults(func(*http.Request) storetest.Fault { return storetest.Fault{Status: http.StatusServiceUnavailable} })
	time.Sleep(copyAway)
	b.store.ReturnFromCopy()
	b.store.InjectFaults(nil)
}

// drill takes a copy of the store, writes lost rows of another table, and has the store return from the copy 2 s later.
func (b *copyBed) drill(lost int) {
	b.store.Copy()
	b.writeOthers(lost)
	time.Sleep(2 * time.Second)
	b.rejectAndReturn()
}

// change has a target leave and changes the keys.
func (b *copyBed) change() {
	b.leave(0)
	b.changeKeys(2)
}

// leave has the row of the nth target say that it is leaving.
func (b *copyBed) leave(n int) {
	b.mu.Lock()
	e := b.engines[n]
	b.mu.Unlock()
	row := e.row
	row.State = wiretest.Draining
	b.store.Put(platform.TableTargets, e.id, row.Row())
	b.copyMu.Lock()
	defer b.copyMu.Unlock()
	if _, leaving := b.leavingSince[e.id]; !leaving {
		b.leavingSince[e.id] = b.now()
	}
}

// putConfiguration writes a version of the configuration with these keys.
func (b *copyBed) putConfiguration(version int, keys ...string) {
	c := b.configuration(version)
	c.Accounts = nil
	for _, key := range keys {
		c.Accounts = append(c.Accounts, wiretest.Account{Name: ids.Account("account of " + key), Keys: []string{key}})
	}
	b.store.Put(platform.TableOperators, platform.KeyConfiguration, c.Row())
}

// changeKeys writes the configuration that removes a key and adds another one.
func (b *copyBed) changeKeys(version int) {
	b.putConfiguration(version, keptKey, addedKey)
	b.copyMu.Lock()
	defer b.copyMu.Unlock()
	if b.changedAt == 0 {
		b.changedAt = b.now()
	}
}

// callers sends requests with all keys to all entries from one time to another.
func (b *copyBed) callers(from, until time.Duration) {
	var all sync.WaitGroup
	for _, key := range []string{keptKey, removedKey, addedKey} {
		all.Go(func() {
			b.callAtRate(copyRate, from, until, func() {
				at, i := b.now(), b.draw(len(b.entries))
				life := b.life(i)
				status, text := b.call(i, "/safe/q", key, b.uniqueBody())
				b.count(key, at, status, text)
				b.countUndone(key, life, at, status)
			})
		})
	}
	all.Wait()
}

// count counts an answer to a request that was sent at a time.
func (b *copyBed) count(key string, at time.Duration, status int, text string) {
	b.copyMu.Lock()
	defer b.copyMu.Unlock()
	late := b.changedAt > 0 && at > b.changedAt+copyChangeLimit
	switch {
	case key == keptKey:
		b.kept++
		if status == http.StatusOK {
			b.served++
		} else {
			b.causes[fmt.Sprint(status, " ", strings.TrimSpace(text))]++
		}
	case key == removedKey && late && status == http.StatusOK:
		b.lateRemoved++
	case key == addedKey && late && (status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound):
		b.lateRefused++
	}
}

// life returns the present run of an entry, nil if it does not run.
func (b *copyBed) life(i int) *crashEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[i]
}

// countUndone counts a request with the removed key that ran at an entry whose present run had refused the key before.
func (b *copyBed) countUndone(key string, life *crashEntry, at time.Duration, status int) {
	b.copyMu.Lock()
	defer b.copyMu.Unlock()
	refusedAt, refused := b.refusedAt[life]
	switch {
	case key != removedKey || life == nil:
	case status == http.StatusUnauthorized && !refused:
		b.refusedAt[life] = b.now()
	case status == http.StatusOK && refused && at > refusedAt:
		b.undone++
	}
}

// check fails the test if a change was not in force in time, or requests were not served whose key and targets all
// entries knew before.
func (b *copyBed) check() {
	b.t.Helper()
	b.copyMu.Lock()
	defer b.copyMu.Unlock()
	if b.lateArrivals > 0 {
		b.t.Errorf("%d requests reached leaving targets later than %v after their rows had said so", b.lateArrivals, copyChangeLimit)
	}
	if b.lateRemoved > 0 {
		b.t.Errorf("%d requests with a removed key ran later than %v after its removal", b.lateRemoved, copyChangeLimit)
	}
	if b.lateRefused > 0 {
		b.t.Errorf("%d requests with an added key were refused as not allowed later than %v after that", b.lateRefused, copyChangeLimit)
	}
	if float64(b.served) < b.minServed*float64(b.kept) {
		b.t.Errorf("%d of %d requests were served that an outage would not have stopped: %v", b.served, b.kept, b.causes)
	}
}
