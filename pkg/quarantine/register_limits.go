package quarantine

import "quaydock/pkg/clock"

// insert adds a record, and drops another one if there are too many. The caller holds the lock.
func (r *Register) insert(now clock.Millis, e *trackedRecord) {
	e.lastSeen = now
	if e.isPart() {
		if r.parts.records >= maxPartRecords {
			r.drop(r.weakest((*trackedRecord).isPart))
		}
		r.records[e.Digest] = e
		r.counted(&r.parts, 1)
		return
	}
	h := r.accounts[e.Account]
	if h == nil {
		h = &accountState{}
		r.accounts[e.Account] = h
	}
	switch {
	case h.records >= maxAccountRecords:
		r.drop(r.weakest(func(other *trackedRecord) bool { return !other.isPart() && other.Account == e.Account }))
	case len(r.records)-r.parts.records >= maxRecords:
		r.drop(r.weakest(func(other *trackedRecord) bool { return !other.isPart() }))
	}
	r.accounts[e.Account] = h // it may have been removed with its last record
	r.records[e.Digest] = e
	r.counted(h, 1)
}

// counted adds records to a state, and to the counts that are read without the lock. The caller holds the lock.
func (r *Register) counted(state *accountState, records int) {
	state.records += records
	r.count.Store(int64(len(r.records)))
	r.partCount.Store(int64(r.parts.records))
}

// weakest returns, of the records for which among is true, the one with the least evidence: not quarantined, with the
// fewest ends, and not seen for longest.
// The caller holds the lock.
func (r *Register) weakest(among func(*trackedRecord) bool) *trackedRecord {
	var weakest *trackedRecord
	for _, e := range r.records {
		if among(e) && (weakest == nil || e.weaker(weakest)) {
			weakest = e
		}
	}
	return weakest
}

// weaker reports whether a record holds less evidence than another one: not quarantined comes first, then fewer ends,
// then the one that was not seen for longer. The caller holds the register's lock.
func (e *trackedRecord) weaker(than *trackedRecord) bool {
	if (e.heldAt > 0) != (than.heldAt > 0) {
		return than.heldAt > 0
	}
	if own, other := e.evidence(), than.evidence(); own != other {
		return own < other
	}
	return e.lastSeen < than.lastSeen
}

// evidence returns the number of target ends that count against a request, or of those in a row against a part.
func (r *Record) evidence() int {
	if r.isPart() {
		return r.level()
	}
	count, _ := r.countEnds()
	return count
}

// drop removes a record for lack of space, and has Expire return the removal of its row; beyond maxAccountRecords such
// removals the row stays in the store. The caller holds the lock.
func (r *Register) drop(e *trackedRecord) {
	if e.writtenAt.Known() && len(r.dropped) < maxAccountRecords {
		r.dropped = append(r.dropped, Write{Record: e.clone(), Position: e.writtenAt, Remove: true})
	}
	r.remove(e)
}

// remove removes a record, and with the last one of an account the state of the account. The caller holds the lock.
func (r *Register) remove(e *trackedRecord) {
	delete(r.records, e.Digest)
	h := r.state(e)
	if e.heldAt > 0 {
		h.held--
	}
	r.counted(h, -1)
	switch {
	case e.isPart() && e.heldAt > 0:
		r.partChanged(e.lastSeen)
	case !e.isPart() && h.records == 0:
		delete(r.accounts, e.Account)
	}
}

// Expire removes the records of requests that have not come for a long time. It returns the removals of their rows, and
// of the rows of records dropped for lack of space since the last call. Removing from the map while ranging over it is
// safe in Go.
func (r *Register) Expire(now clock.Millis) []Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := r.dropped
	r.dropped = nil
	for _, e := range r.records {
		if now-e.lastSeen < e.retention() {
			continue
		}
		if e.writtenAt.Known() {
			rows = append(rows, Write{Record: e.clone(), Position: e.writtenAt, Remove: true})
		}
		r.remove(e)
	}
	return rows
}

// retention returns how long a record is kept after its request last came. The caller holds the register's lock.
func (e *trackedRecord) retention() clock.Millis {
	count, _ := e.countEnds()
	switch {
	case e.heldAt > 0:
		return heldRetention
	case count == 0:
		return excusedRetention
	default:
		return suspectedRetention
	}
}
