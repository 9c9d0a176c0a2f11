package quarantine

import (
	"sync"
	"sync/atomic"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	// mostRecords and mostOfAccount bound the requests that are remembered, in all and of one
	// account. Beyond, the weakest of the account, or of all, goes.
	mostRecords   = 4096
	mostOfAccount = 256
	// suspectFor and heldFor are for how long a request is remembered that doesn't come any more.
	// One that comes each few minutes is to be held back too, and forgetting costs three targets.
	suspectFor = 60 * clock.Minute
	heldFor    = 24 * 60 * clock.Minute
	// excusedFor is for how long it is remembered that a request was completed: news of its ends
	// may still be under way.
	excusedFor = clock.Minute
)

// entry is a record with what this process knows beside it.
type entry struct {
	Record
	seen clock.Millis // when it last came, or was heard of
	// endedAt is when the last end was heard of.
	endedAt clock.Millis
	// heldAt is since when it is held back here; 0 if it is not.
	heldAt clock.Millis
	// row is what the store holds of it, as last read, and version that row's; 0 if there is none.
	row     Record
	version int64
	// trying says that a retrial is being written, spare that one was and did not take place.
	trying, spare bool
}

// Register holds the records that one entry knows. It does no I/O.
type Register struct {
	count atomic.Int64 // of records, so that nothing is locked while there are none

	mu       sync.Mutex
	known    bool
	records  map[Digest]*entry
	accounts map[ids.Account]*holdings
	// dropped are rows of records that there was no room for any more.
	dropped []Write
}

// NewRegister returns an empty register. Until Know is called, records that it doesn't have may
// exist.
func NewRegister() *Register {
	return &Register{records: make(map[Digest]*entry), accounts: make(map[ids.Account]*holdings)}
}

// Know notes that the store's records have been read. An empty register is no clean record
// before: the first end that is seen counts as the last one needed.
func (r *Register) MarkRead(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known {
		return
	}
	r.known = true
	for _, e := range r.records {
		r.changed(now, e, false, Free)
	}
}

// Watches reports whether there is anything against some request of an account.
func (r *Register) HasRecord(account ids.Account) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accounts[account] != nil
}

// Verdict returns what may be done with a request that comes now.
func (r *Register) Verdict(now clock.Millis, d Digest) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil {
		return Free
	}
	e.seen = now
	return r.verdict(e)
}

// settleFor is how long after an end a suspected request may run again. Where a failure domain is lost, its targets end
// within some ms of one another; one that ran the request again at once, and ended with the others, would count as one more that
// ended under it.
const settleFor = 50 * clock.Millisecond

// Settled reports whether no target has ended under a request for a moment.
func (r *Register) Settled(now clock.Millis, d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	return e == nil || now-e.endedAt >= settleFor
}

// verdict returns the verdict on a record; the lock is held.
func (r *Register) verdict(e *entry) Verdict {
	strict := !r.known
	if h := r.accounts[e.Account]; h != nil && e.heldAt == 0 {
		strict = strict || h.held >= suspectAccount
	}
	if e.heldAt > 0 && r.known {
		strict = true // held back once, only a completed run frees it
	}
	return e.verdict(strict)
}

// Change is what news of a request have done.
type Change struct {
	Record
	// New says that something was not known before.
	New           bool
	Before, After Verdict
}

// Join adds what is known of a request, by this entry or another.
func (r *Register) Join(now clock.Millis, news *Record) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.endsOf(news.Digest)
	c := r.join(now, news)
	h := r.accounts[news.Account]
	if h == nil {
		return c
	}
	// Rows of the store, which an entry reads when it starts, tell of ends that may be old; they don't come here.
	if r.endsOf(news.Digest) > before {
		r.records[news.Digest].endedAt = now
		h.on(news.Route).noteEnd(now)
	}
	if c.Before != Held && c.After == Held {
		h.on(news.Route).noteHeld(now)
	}
	return c
}

// endsOf is how many ends stand against a request; the lock is held.
func (r *Register) endsOf(d Digest) int {
	e := r.records[d]
	if e == nil {
		return 0
	}
	count, _ := e.standing()
	return count
}

func (r *Register) join(now clock.Millis, news *Record) Change {
	if len(news.Ends) == 0 {
		return Change{}
	}
	e := r.records[news.Digest]
	if e == nil {
		e = &entry{Record: Record{Digest: news.Digest, Account: news.Account, Route: news.Route}}
		r.insert(now, e)
	}
	before := r.verdict(e)
	isNew := e.join(news)
	if isNew {
		e.seen = now
	}
	return r.changed(now, e, isNew, before)
}

// changed takes up a record's new verdict; the lock is held.
func (r *Register) changed(now clock.Millis, e *entry, isNew bool, before Verdict) Change {
	after := r.verdict(e)
	held := after == Held && r.known
	switch h := r.accounts[e.Account]; {
	case held && e.heldAt == 0:
		e.heldAt = max(1, now)
		h.held++
	case !held && e.heldAt > 0:
		e.heldAt = 0
		h.held--
	}
	return Change{Record: e.clone(), New: isNew, Before: before, After: after}
}

// Completed notes that a request has been completed. New says that there was something against it.
func (r *Register) Completed(now clock.Millis, d Digest) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil {
		return Change{}
	}
	before := r.verdict(e)
	c := r.changed(now, e, e.excuse(), before)
	if h := r.accounts[e.Account]; h != nil && before == Held && c.New {
		// Something else ended the targets, also where others of the route were held back.
		delete(h.routes, e.Route)
	}
	return c
}
