package quarantine

import "quaydock/pkg/clock"

const (
	// firstRetrial and nextRetrial are when a request that is held back runs once more, counted
	// from the moment at which that was first known here: targets that were lost for another
	// reason are back by then. mostRetrials is how often in all.
	firstRetrial = 5 * clock.Second
	nextRetrial  = 10 * clock.Minute
	mostRetrials = 2
)

// RetrialDue reports whether it is time for one more run of a request that is held back.
func (r *Register) RetrialDue(now clock.Millis, d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	return e != nil && e.retrialDue(now)
}

// Retry returns the write that allows one more run of a request that is held back, if it is time
// for that. Done has to be called with its outcome.
func (r *Register) Retry(now clock.Millis, d Digest) (Write, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil || e.spare || !e.retrialDue(now) {
		return Write{}, false
	}
	e.trying = true
	w := Write{Record: e.clone(), Version: e.version}
	w.Retrials++
	return w, true
}

// Spare notes that one more run that was allowed did not take place.
func (r *Register) RetrialUnused(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.records[d]; e != nil {
		e.spare = true
	}
}

// TakeSpare takes a run that was allowed and did not take place.
func (r *Register) TakeUnusedRetrial(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil || !e.spare {
		return false
	}
	e.spare = false
	return true
}

// retrialDue reports whether it is time for one more run of what is held back.
func (e *entry) retrialDue(now clock.Millis) bool {
	if e.spare {
		return true
	}
	if e.heldAt == 0 || e.version == 0 || e.trying || e.Retrials >= mostRetrials {
		return false
	}
	wait := firstRetrial
	if e.Retrials > 0 {
		wait = nextRetrial
	}
	return now-e.heldAt >= wait
}

// Done takes the outcome of a write of Retry.
func (r *Register) WriteDone(w *Write, written bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[w.Digest]
	if e == nil {
		return
	}
	e.trying = false
	if written {
		e.Retrials = max(e.Retrials, w.Retrials)
	}
}

// ReadyIn is in what time a request that is held back may run once more at the soonest.
func (r *Register) ReadyIn(now clock.Millis, d Digest) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.records[d]; e != nil {
		return e.readyIn(now)
	}
	return firstRetrial
}

func (e *entry) readyIn(now clock.Millis) clock.Millis {
	switch {
	case e.heldAt == 0:
		return firstRetrial
	case e.Retrials == 0:
		return max(clock.Second, e.heldAt+firstRetrial-now)
	default:
		return nextRetrial
	}
}
