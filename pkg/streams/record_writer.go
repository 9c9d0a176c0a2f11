package streams

import (
	"context"
	"errors"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
)

const (
	// storeTimeout limits a call to the store.
	storeTimeout = 600 * clock.Millisecond
	// rewriteAfter is when an entry writes a record again that it has not read as written since; each time after twice that.
	rewriteAfter = 250 * clock.Millisecond
	// maxRewriteDoublings keeps the pause within its type.
	maxRewriteDoublings = 8
)

// ErrRecordChanged means that the stored record was another one than the write expected; nothing was written.
var ErrRecordChanged = errors.New("the record has changed since it was read")

// Store holds the records.
type Store interface {
	// Read returns the row of a service's record, Gone if there is none, and the position at which it was read.
	Read(ctx context.Context, service ids.Service) (follow.Row, history.Position, error)
	// Write replaces the value of a service's record, if it is still the one that was written at a position, or there is none
	// if that is not Known. It returns ErrRecordChanged otherwise. After any other error it may still be written.
	Write(ctx context.Context, service ids.Service, value []byte, over history.Position) error
}

// recordWriter is what this entry keeps of the writes of records.
type recordWriter struct {
	wake chan struct{} // signalled when something has changed that records depend on

	mu sync.Mutex
	// targets and configuration are the positions up to which this entry has read and applied them.
	targets, configuration history.Position
	services               map[ids.Service]*recordWrites // that are due
}

// recordWrites are the writes of one record.
type recordWrites struct {
	over   history.Position // where the record stands that is to be replaced
	tries  int              // to replace it
	nextAt clock.Millis     // when the next one is due
}

func newRecordWriter() recordWriter {
	return recordWriter{wake: make(chan struct{}, 1), services: make(map[ids.Service]*recordWrites)}
}

// changed makes keepRecords look at the records soon.
func (w *recordWriter) changed() {
	select {
	case w.wake <- struct{}{}:
	default: // signalled already
	}
}

// readTargets and readConfiguration record up to where these have been read and applied.
func (w *recordWriter) readTargets(to history.Position) { w.recordRead(&w.targets, to) }

func (w *recordWriter) readConfiguration(to history.Position) { w.recordRead(&w.configuration, to) }

func (w *recordWriter) recordRead(field *history.Position, to history.Position) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*field = history.Latest(*field, to)
}

// readPast reports whether the targets and the configuration have been read up to a position of the present era.
func (w *recordWriter) readPast(at history.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	past := func(read history.Position) bool { return read.Era == at.Era && !read.Before(at) }
	return past(w.targets) && past(w.configuration)
}

// targetsRead returns the position up to which the targets have been read.
func (w *recordWriter) targetsRead() history.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets
}

// due reports whether a record is to be written now over the one at a position, and if so, counts a try.
func (w *recordWriter) due(now clock.Millis, service ids.Service, at history.Position, maxPause clock.Millis, firstPause func() clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	if s == nil || s.over != at {
		s = &recordWrites{over: at, nextAt: now + firstPause()}
		w.services[service] = s
	}
	if now < s.nextAt {
		return false
	}
	s.nextAt = now + min(rewriteAfter<<s.tries, maxPause) + firstPause()
	s.tries = min(s.tries+1, maxRewriteDoublings)
	return true
}

// settled records that nothing is to be written.
func (w *recordWriter) settled(service ids.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.services, service)
}
