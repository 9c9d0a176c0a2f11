package quarantine

import (
	"sync"
	"sync/atomic"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
)

const (
	// maxRecords and maxAccountRecords limit the records in total and of one account. Beyond that, the weakest of all,
	// or of the account, is dropped; see weakest.
	maxRecords        = 4096
	maxAccountRecords = 256
	// maxPartRecords limits the records of parts in the same way: the innocent parts at a target that ends have one each,
	// and a caller may invent parts.
	maxPartRecords = 2048
	// suspectedRetention and heldRetention are how long a request that doesn't come any more is remembered. One that
	// comes every few minutes must be quarantined too, and forgetting it costs three targets.
	suspectedRetention = 60 * clock.Minute
	heldRetention      = 24 * 60 * clock.Minute
	// excusedRetention is how long it is remembered that a request was completed, since reports on its target ends may
	// still be under way.
	excusedRetention = clock.Minute
)

// trackedRecord is a record with the state that only this process has.
type trackedRecord struct {
	Record
	lastSeen clock.Millis // when the request last came, or was reported
	// endedAt is when the last target end was reported, 0 if all are known from rows of the store.
	endedAt clock.Millis
	// heldAt is when it was quarantined here; 0 if it is not, and before the store has been read.
	heldAt clock.Millis
	// row is what the store holds, as last read, and writtenAt is where it was written; not Known if there is none.
	row       Record
	writtenAt history.Position
	// writingRetrial says that a retrial is being written to the store, unusedRetrial that a permitted one did not take
	// place and may still be used.
	writingRetrial, unusedRetrial bool
}

// Register holds the records that one entry knows. It does no I/O.
type Register struct {
	count     atomic.Int64 // of records, so that nothing is locked while there are none
	partCount atomic.Int64 // of the records of parts, for the same reason

	mu        sync.Mutex // guards the fields below and the records
	storeRead bool       // StoreRead has been called
	records   map[Digest]*trackedRecord
	accounts  map[ids.Account]*accountState // of the accounts that have records of requests
	parts     accountState                  // of the records of parts; it has no routes
	heldParts map[ids.PromptPart]int        // parts that are quarantined, and at how many services
	// explained are the incarnations that ended under quarantined parts. Their ends do not count against requests.
	explained map[ids.TargetIncarnation]bool
	// dropped are the removals of the rows of records that were dropped for lack of space, at most maxAccountRecords.
	dropped []Write
}

// NewRegister returns an empty register. Until StoreRead is called, records may exist that it does not have.
func NewRegister() *Register {
	return &Register{records: make(map[Digest]*trackedRecord), accounts: make(map[ids.Account]*accountState), heldParts: make(map[ids.PromptPart]int)}
}

// StoreRead records that the store's records have been read. Before that, a missing record does not mean that there is
// none: the first target end that is seen is enough for quarantine. Only the first call has an effect: it applies the
// ordinary rule to the records known so far.
func (r *Register) StoreRead(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeRead {
		return
	}
	r.storeRead = true
	for _, e := range r.records {
		r.updateVerdict(now, e, false, Free)
	}
}

// HasRecord reports whether anything is recorded against a request of an account.
func (r *Register) HasRecord(account ids.Account) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accounts[account] != nil
}

// Verdict returns what may be done with a request that comes now, which also counts as the time at which it last came.
func (r *Register) Verdict(now clock.Millis, d Digest) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil {
		return Free
	}
	e.lastSeen = now
	return r.verdict(e)
}

// settleTime is how long after a target end a suspected request may run again. If a failure domain is lost, its
// targets end within some ms of one another; a target that ran the request again at once and ended with the others
// would count as a further end under it.
const settleTime = 50 * clock.Millisecond

// Settled reports whether no target has ended under a request within settleTime.
func (r *Register) Settled(now clock.Millis, d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	return e == nil || now-e.endedAt >= settleTime
}

// verdict returns the verdict on a record. It is strict, so that one target end is enough for quarantine, until the
// store has been read, for an account with many quarantined requests, and for a request that is quarantined already; for a
// part, if it is quarantined at another service. The caller holds the lock.
func (r *Register) verdict(e *trackedRecord) Verdict {
	if e.isPart() {
		elsewhere := r.heldParts[e.Part]
		if e.heldAt > 0 {
			elsewhere--
		}
		return e.verdict(elsewhere > 0, nil)
	}
	strict := !r.storeRead
	if h := r.accounts[e.Account]; h != nil && e.heldAt == 0 {
		strict = strict || h.held >= accountHeldThreshold
	}
	if e.heldAt > 0 && r.storeRead {
		strict = true // once quarantined, only a completed run frees it
	}
	return e.verdict(strict, r.explained)
}

// state returns the state that counts a record: that of its account, or that of all parts. The caller holds the lock.
func (r *Register) state(e *trackedRecord) *accountState {
	if e.isPart() {
		return &r.parts
	}
	return r.accounts[e.Account]
}

// Change is the effect of a report on a request: its record afterwards, and the verdict before and after it.
type Change struct {
	Record
	// New says that something was not known before.
	New           bool
	Before, After Verdict
}

// Join merges a report on target ends that were seen now, at this entry or another. New ends count against the account
// on the route of the request as well.
func (r *Register) Join(now clock.Millis, report *Record) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.countEnds(report.Digest)
	c := r.join(now, report)
	if report.isPart() {
		return c
	}
	h := r.accounts[report.Account]
	if h == nil {
		return c
	}
	// Rows of the store, which an entry reads when it starts, contain ends that may be old; they don't go through
	// here.
	if r.countEnds(report.Digest) > before {
		r.records[report.Digest].endedAt = now
		h.route(report.Route).recordEnd(now)
	}
	if c.Before != Held && c.After == Held {
		h.route(report.Route).recordHeld(now)
	}
	return c
}

// countEnds returns the number of ends that count against a request. The caller holds the lock.
func (r *Register) countEnds(d Digest) int {
	e := r.records[d]
	if e == nil {
		return 0
	}
	count, _ := e.countEndsBut(r.explained)
	return count
}

// join merges a record from a report or a row. One without target ends has no effect; a target end is the end of a
// target's process while it ran the request. The caller holds the lock.
func (r *Register) join(now clock.Millis, report *Record) Change {
	if len(report.Ends) == 0 {
		return Change{}
	}
	e := r.records[report.Digest]
	if e == nil {
		e = &trackedRecord{Record: Record{Digest: report.Digest, Account: report.Account, Route: report.Route, Service: report.Service, Part: report.Part}}
		r.insert(now, e)
	}
	before := r.verdict(e)
	isNew := e.join(report)
	if isNew {
		e.lastSeen = now
	}
	return r.updateVerdict(now, e, isNew, before)
}

// updateVerdict sets whether a record counts as quarantined, by its present verdict. Before the store has been read
// none does, as one target end, of a target's process while it ran the request, is then enough for Held and the verdict
// may be revoked. The caller holds the lock.
func (r *Register) updateVerdict(now clock.Millis, e *trackedRecord, isNew bool, before Verdict) Change {
	after := r.verdict(e)
	// A part is not quarantined on the first end, so that its verdict does not wait for the store.
	held := after == Held && (r.storeRead || e.isPart())
	switch h := r.state(e); {
	case held && e.heldAt == 0:
		e.heldAt = max(1, now)
		h.held++
	case !held && e.heldAt > 0:
		e.heldAt = 0
		h.held--
	}
	if e.isPart() && (before == Held || after == Held) && (isNew || before != after) {
		r.partChanged(now)
	}
	return Change{Record: e.clone(), New: isNew, Before: before, After: after}
}

// Completed excuses all target ends of a request, because it has been completed or an operator releases it. New says
// that something counted against it. If it was quarantined, the suspicion against its account on its route ends too.
func (r *Register) Completed(now clock.Millis, d Digest) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil {
		return Change{}
	}
	before := r.verdict(e)
	c := r.updateVerdict(now, e, e.excuse(), before)
	if e.isPart() {
		return c
	}
	if h := r.accounts[e.Account]; h != nil && before == Held && c.New {
		// Something else ended the targets, also where other requests of the route were quarantined.
		delete(h.routes, e.Route)
	}
	return c
}
