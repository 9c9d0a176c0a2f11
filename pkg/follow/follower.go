// Package follow keeps a process's copy of a table of the platform's store current: it reads a
// snapshot, then the changes since, and a snapshot again when the store has trimmed them from its
// history. It decides when to read, and at which moment an answer was current (its freshness); what
// the rows mean is up to the handler.
package follow

import (
	"context"
	"errors"
	"fmt"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/history"
	"quaydock/pkg/random"
)

// Errors of sources.
var (
	// ErrTrimmed means that the source does not have the changes since the requested position.
	ErrTrimmed = errors.New("the store has trimmed these changes from its history, or has not reached that version")
	// ErrNewEra means that the store has returned from a copy: the requested position is of a former era.
	ErrNewEra = errors.New("the store has returned from a copy and begun a new era")
	// ErrFormerEra means that an answer is from before a return of the store that is known already.
	ErrFormerEra = errors.New("the answer is of a former era of the store")
)

// NewEraError is ErrNewEra with the era that has begun.
type NewEraError struct{ Era history.Era }

// Error returns the text of ErrNewEra with the era.
func (e *NewEraError) Error() string { return fmt.Sprintf("%v: %d", ErrNewEra, e.Era) }

// Is reports whether the target is ErrNewEra.
func (e *NewEraError) Is(target error) bool { return target == ErrNewEra }

// CheckEra returns an error unless an answer is of the era of what was read before it.
func CheckEra(read, answer history.Era) error {
	switch {
	case answer > read:
		return &NewEraError{answer}
	case answer < read:
		return ErrFormerEra
	}
	return nil
}

// Row is one row of a table, or the tombstone of a deleted row (Gone).
type Row struct {
	Key   string
	Value []byte
	Gone  bool
	// Position is where the row was last written, as far as the history of the store reaches; not Known if that is
	// not known.
	Position history.Position
}

// Batch is an answer of a source: a snapshot or changes.
type Batch struct {
	Rows []Row
	// Position is that up to which the table has been read.
	Position history.Position
	// StoreTime is the store's own monotonic clock when it answered. Two of them are comparable in one era.
	StoreTime clock.Millis
	// Relayed says that another process read the store, possibly before this one queried that
	// process.
	Relayed bool
	// Age, if set, is how long ago the store had answered when the query for a relayed answer was
	// sent. The transit time of messages between processes is not included.
	Age *clock.Millis
}

// Source reads one table.
type Source interface {
	// Snapshot reads all rows.
	Snapshot(ctx context.Context) (Batch, error)
	// Changes returns the rows changed after a position as soon as there are any, or none after
	// the wait. It returns ErrTrimmed if the source does not have these changes, and ErrNewEra if
	// the position is of a former era; its next snapshot is then one of the new era.
	Changes(ctx context.Context, after history.Position, wait clock.Millis) (Batch, error)
}

// Waker is a Source that also notifies when the store has answered a query about another table.
type Waker interface {
	// Recovered returns a channel that is closed when the store answers any source after it had failed.
	Recovered() <-chan struct{}
}

// Freshness says at which moment an answer of the store was current. Only Position is set if no moment is known.
type Freshness struct {
	// RequestedAt is when the query was sent: the store was reachable from about then on.
	RequestedAt clock.Millis
	// CurrentAt is a moment at which the rows were current.
	CurrentAt clock.Millis
	// Position is that up to which the table has been read, and StoreTime the store's own clock there.
	Position  history.Position
	StoreTime clock.Millis
}

// Handler receives what a follower has read. Its methods are called from one goroutine.
type Handler interface {
	// Snapshot replaces all rows.
	Snapshot(rows []Row, freshness Freshness)
	// Changed applies changes; an empty list only updates the freshness.
	Changed(rows []Row, freshness Freshness)
	// ReadFailed reports that a read failed. It is called for each failed read of an outage.
	ReadFailed(err error)
}

// Options are the times of a follower.
type Options struct {
	// Wait is how long the source may hold a query for changes.
	Wait clock.Millis
	// AnswerTimeout limits the time that an answer may take beyond the wait.
	AnswerTimeout clock.Millis
	// SnapshotInterval, if set, is how often a snapshot is read although changes were followed:
	// it shows a change that the store has lost.
	SnapshotInterval clock.Millis
}

// The limits of the pause after a failed read.
const (
	minBackoff = 50 * clock.Millisecond
	maxBackoff = 400 * clock.Millisecond
	// maxSnapshotBackoff is the longest pause after a failed read of a snapshot. Processes that
	// have just started do not know the others yet, so that none can read for all: with maxBackoff
	// a simultaneous start would overload a store that rejects them.
	maxSnapshotBackoff = 1600 * clock.Millisecond
)

// Follower follows one table. Its fields are used from the goroutine of Run only.
type Follower struct {
	common.Common
	source  Source
	handler Handler
	options Options

	position    history.Position // up to which the table has been read
	hasSnapshot bool             // false before the first one, and when the changes since cannot be read
	snapshotAt  clock.Millis     // when the last one was requested; 0 before the first
	clockOffset clock.Millis     // what to add to the store's clock to get ours: the least offset seen
	offsetKnown bool
	// offsetRelayed says that clockOffset is a lower limit, derived from an answer of another process.
	offsetRelayed bool
	// outageSince is when the present outage was detected, 0 if there is none. An outage is
	// logged once when it begins and once when it ends.
	outageSince clock.Millis
}

// NewFollower returns a follower that has read nothing.
func NewFollower(c common.Common, source Source, handler Handler, options Options) *Follower {
	return &Follower{Common: c, source: source, handler: handler, options: options}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	changes := f.Random.NewBackoff(minBackoff, maxBackoff)
	snapshot := f.Random.NewBackoff(minBackoff, maxSnapshotBackoff)
	for ctx.Err() == nil {
		if f.hasSnapshot {
			f.step(ctx, changes)
		} else {
			f.step(ctx, snapshot)
		}
	}
}

// step reads once. After a failure it pauses; when the changes cannot be read, the next step reads a snapshot.
func (f *Follower) step(ctx context.Context, backoff *random.Backoff) {
	recovered := f.recovered()
	err := f.read(ctx)
	switch {
	case err == nil:
		backoff.Reset()
		f.recordRecovery()
	case ctx.Err() != nil:
	case errors.Is(err, ErrTrimmed), errors.Is(err, ErrNewEra):
		f.hasSnapshot = false
		f.Log.WithError(err).Warn("reading a snapshot of the table")
	default:
		f.recordOutage(err)
		f.handler.ReadFailed(err)
		pauseUntilRecovered(ctx, backoff, recovered)
	}
}

// recovered returns a channel that is closed when the store answers other followers after a failure,
// nil if the source is no Waker.
func (f *Follower) recovered() <-chan struct{} {
	if w, ok := f.source.(Waker); ok {
		return w.Recovered()
	}
	return nil
}

// pauseUntilRecovered waits for the next try, but no longer than until the store answers other
// followers: a store with intermittent outages may answer for a moment only, and a process that has
// then read one of its tables and not the other knows only half of what its decisions need.
func pauseUntilRecovered(ctx context.Context, backoff *random.Backoff, recovered <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-recovered:
			cancel()
		case <-ctx.Done():
		}
	}()
	backoff.Pause(ctx)
}

// recordOutage records and logs the begin of an outage, also of one before the first read: a process
// then refuses requests because of what it does not know.
func (f *Follower) recordOutage(err error) {
	if f.outageSince > 0 {
		return
	}
	f.outageSince = f.Clock.Now()
	if f.snapshotAt == 0 {
		f.Log.WithError(err).Warn("store not read; nothing is known of the table yet")
		return
	}
	f.Log.WithError(err).Warn("store not read; going on with what is known")
}

// recordRecovery records and logs the end of an outage.
func (f *Follower) recordRecovery() {
	if f.outageSince == 0 {
		return
	}
	f.Log.WithField("after_ms", int64(f.Clock.Now()-f.outageSince)).Info("store read again")
	f.outageSince = 0
}

// read reads the changes, or a snapshot if there is none or it is due again, and passes them to the handler.
func (f *Follower) read(ctx context.Context) error {
	requestedAt := f.Clock.Now()
	if !f.hasSnapshot || f.options.SnapshotInterval > 0 && requestedAt-f.snapshotAt >= f.options.SnapshotInterval {
		return f.readSnapshot(ctx, requestedAt)
	}
	ctx, cancel := context.WithTimeout(ctx, (f.options.Wait + f.options.AnswerTimeout).Duration())
	defer cancel()
	batch, err := f.source.Changes(ctx, f.position, f.options.Wait)
	if err == nil {
		err = CheckEra(f.position.Era, batch.Position.Era)
	}
	if err != nil {
		return fmt.Errorf("reading changes: %w", err)
	}
	f.position = history.Latest(f.position, batch.Position)
	f.handler.Changed(batch.Rows, f.freshness(requestedAt, batch))
	return nil
}

// snapshotAnswers is how many times the answer timeout reading a snapshot may take: a long table comes
// in pages of some hundred rows, each an answer of its own.
const snapshotAnswers = 4

// readSnapshot reads a snapshot and passes it to the handler.
func (f *Follower) readSnapshot(ctx context.Context, requestedAt clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotAnswers*f.options.AnswerTimeout.Duration())
	defer cancel()
	batch, err := f.source.Snapshot(ctx)
	if err == nil && batch.Position.Era < f.position.Era {
		err = ErrFormerEra
	}
	if err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	if batch.Position.Era > f.position.Era {
		f.offsetKnown = false // the store's clock of another era may be another one
	}
	f.position = batch.Position
	f.hasSnapshot = true
	f.snapshotAt = requestedAt
	f.handler.Snapshot(batch.Rows, f.snapshotFreshness(requestedAt, batch))
	return nil
}

// snapshotFreshness returns the freshness of a snapshot. One that was read from the store counts as current when it was
// requested; its store time only updates the clock offset.
func (f *Follower) snapshotFreshness(requestedAt clock.Millis, batch Batch) Freshness {
	if batch.Relayed {
		return f.freshness(requestedAt, batch)
	}
	f.currentMoment(requestedAt, batch.StoreTime)
	return Freshness{RequestedAt: requestedAt, CurrentAt: requestedAt, Position: batch.Position, StoreTime: batch.StoreTime}
}

// maxRelayTime is what the age of a relayed answer may lack: the transit time of the message that
// brought the state to the queried process.
const maxRelayTime = 200 * clock.Millisecond

// freshness returns the freshness of an answer that was requested at a moment. That of a relayed answer is derived from
// the store's time and the clock offset; there is none while neither the offset nor the answer's age is known.
func (f *Follower) freshness(requestedAt clock.Millis, batch Batch) Freshness {
	if batch.Relayed && !f.offsetKnown && batch.Age == nil {
		return Freshness{Position: batch.Position} // the offset of the store's clock is not known yet
	}
	if batch.Relayed && !f.offsetKnown {
		// Below the offset that an answer of the store itself would give, so that the freshness is
		// never too new.
		f.clockOffset = requestedAt - *batch.Age - maxRelayTime - batch.StoreTime
		f.offsetKnown = true
		f.offsetRelayed = true
	}
	if batch.Relayed {
		at := min(f.Clock.Now(), batch.StoreTime+f.clockOffset)
		return Freshness{RequestedAt: at, CurrentAt: at, Position: batch.Position, StoreTime: batch.StoreTime}
	}
	return Freshness{RequestedAt: requestedAt, CurrentAt: f.currentMoment(requestedAt, batch.StoreTime), Position: batch.Position, StoreTime: batch.StoreTime}
}

// currentMoment returns a moment, by our clock, at which an answer was current: the store's time plus
// the least clock offset seen so far (that of the quickest answer), and never before the query or
// after the answer. It updates that offset, and replaces one that was derived from a relayed answer.
func (f *Follower) currentMoment(requestedAt, storeTime clock.Millis) clock.Millis {
	now := f.Clock.Now()
	offset := now - storeTime
	if !f.offsetKnown || f.offsetRelayed || offset < f.clockOffset {
		f.clockOffset = offset
		f.offsetKnown = true
		f.offsetRelayed = false
	}
	return min(now, max(requestedAt, storeTime+f.clockOffset))
}
