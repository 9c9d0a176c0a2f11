package quarantine

import "quaydock/pkg/clock"

const (
	// firstRetrialDelay and nextRetrialDelay are when a quarantined request may run once more, counted from the moment
	// at which this entry learned of the quarantine: targets that were lost for another reason are back by then.
	// maxRetrials is the number of such runs in total.
	firstRetrialDelay = 5 * clock.Second
	nextRetrialDelay  = 10 * clock.Minute
	maxRetrials       = 2
	// nextPartRetrialDelay is nextRetrialDelay for a part: an innocent one that is quarantined stops many requests.
	nextPartRetrialDelay = 30 * clock.Second
	// severalHeldDelay is how much later a request may be the retrial of a part for each further part of it that is
	// quarantined. A fatal part may take along those that no other request had, and of the requests with these the ones
	// without the fatal part are to come first.
	severalHeldDelay = 30 * clock.Second
)

// RetrialDue reports whether one more run of a quarantined request is due, or an earlier permitted one was not used.
func (r *Register) RetrialDue(now clock.Millis, d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	return e != nil && e.retrialDue(now)
}

// BeginRetrial returns the write that permits one more run of a quarantined request, if one is due. The caller must
// pass its outcome to RetrialWritten; until then no other one is due.
func (r *Register) BeginRetrial(now clock.Millis, d Digest) (Write, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil || e.unusedRetrial || !e.retrialDue(now) {
		return Write{}, false
	}
	e.writingRetrial = true
	w := Write{Record: e.clone(), Position: e.writtenAt}
	w.Retrials++
	return w, true
}

// ReturnRetrial records that a permitted retrial did not take place, so that it may be used later.
func (r *Register) ReturnRetrial(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.records[d]; e != nil {
		e.unusedRetrial = true
	}
}

// TakeReturnedRetrial takes a permitted retrial that did not take place, and reports whether there was one.
func (r *Register) TakeReturnedRetrial(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil || !e.unusedRetrial {
		return false
	}
	e.unusedRetrial = false
	return true
}

// retrialDue reports whether one more run is due. That requires that the store holds the record, since the retrials are
// counted there. The caller holds the lock.
func (e *trackedRecord) retrialDue(now clock.Millis) bool {
	if e.unusedRetrial {
		return true
	}
	if e.heldAt == 0 || !e.writtenAt.Known() || e.writingRetrial || e.Retrials >= maxRetrials {
		return false
	}
	return now-e.heldAt >= e.retrialDelay()
}

// retrialDelay returns when the next retrial is due, counted from the moment at which this entry learned of the
// quarantine.
func (r *Record) retrialDelay() clock.Millis {
	switch {
	case r.Retrials == 0:
		return firstRetrialDelay
	case r.isPart():
		return nextPartRetrialDelay
	default:
		return nextRetrialDelay
	}
}

// RetrialWritten records the outcome of a write that BeginRetrial returned.
func (r *Register) RetrialWritten(w *Write, written bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[w.Digest]
	if e == nil {
		return
	}
	e.writingRetrial = false
	if written {
		e.Retrials = max(e.Retrials, w.Retrials)
	}
}

// ReadyIn returns the time until a quarantined request may run once more, at least a second. After the first retrial it
// is the whole nextRetrialDelay, whatever part of it is over, and also if no retrial is left. For a request that has no
// record, or does not count as quarantined, it is firstRetrialDelay.
func (r *Register) ReadyIn(now clock.Millis, d Digest) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.records[d]; e != nil {
		return e.readyIn(now)
	}
	return firstRetrialDelay
}

// readyIn is ReadyIn for a known record. The caller holds the lock.
func (e *trackedRecord) readyIn(now clock.Millis) clock.Millis {
	switch {
	case e.heldAt == 0:
		return firstRetrialDelay
	case e.Retrials == 0:
		return max(clock.Second, e.heldAt+firstRetrialDelay-now)
	default:
		return e.retrialDelay()
	}
}
