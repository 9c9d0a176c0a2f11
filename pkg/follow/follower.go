// Package follow keeps a process's picture of a table of the platform's store
// current: a whole read, then the changes since, and a whole read again when
// the store has forgotten them. It decides when to ask and what an answer
// proves; what the rows mean is up to the handler.
package follow

import (
	"context"
	"errors"
	"fmt"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/random"
)

// ErrForgotten is returned by a source that no longer has the changes since the
// version asked for.
var ErrTrimmed = errors.New("the store has forgotten these changes")

// Row is one row of a table, or the mark of its end.
type Row struct {
	Key   string
	Value []byte
	Gone  bool
	// Version is that at which the row was last written, 0 if it is not known.
	Version int64
}

// Batch is an answer of a source.
type Batch struct {
	Rows []Row
	// Version is what the table has been read up to.
	Version int64
	// StoreTime is the source's own steady clock when it answered.
	StoreTime clock.Millis
	// Relayed says that another process asked the store, maybe before this one
	// asked that process.
	Relayed bool
	// Age, if set, is how long ago the store had said so when the question for a relayed
	// answer was sent, but for the time that messages between processes took.
	Age *clock.Millis
}

// Source reads one table.
type Source interface {
	// Whole reads all rows.
	Snapshot(ctx context.Context) (Batch, error)
	// Changes returns the rows changed after a version as soon as there are
	// any, or none after the wait.
	Changes(ctx context.Context, after int64, wait clock.Millis) (Batch, error)
}

// Waker is a Source that also tells when the store has answered a question about another table.
type Waker interface {
	// Answering is closed when the store answers somebody after it had failed.
	Recovered() <-chan struct{}
}

// Proof says when an answer of the store was true.
type Freshness struct {
	// AskedAt is when the question was sent: the store was in reach from about
	// then on.
	AskedAt clock.Millis
	// CurrentAt is a moment at which the rows were current.
	CurrentAt clock.Millis
	// Version is what the table has been read up to, and StoreTime the source's own clock at
	// that version.
	Version   int64
	StoreTime clock.Millis
}

// Handler takes what a follower has read. Its methods are called by one
// goroutine.
type Handler interface {
	// Whole replaces all rows.
	Snapshot(rows []Row, proof Freshness)
	// Changed applies changes; an empty list only renews the proof.
	Changed(rows []Row, proof Freshness)
	// Lost says that the store could not be read.
	ReadFailed(err error)
}

// Options are a follower's times.
type Options struct {
	// Wait is how long the source may hold a question for changes.
	Wait clock.Millis
	// Answer bounds the time an answer may take beyond the wait.
	Answer clock.Millis
	// Reread, if set, is how often the table is read whole although changes
	// were followed: a store that loses a change is then found out.
	Reread clock.Millis
}

// The pauses after a failed read.
const (
	minBackoff = 50 * clock.Millisecond
	maxBackoff = 400 * clock.Millisecond
	// maxWholeBackoff is the longest pause after a failed read of a whole table. Processes
	// that know nothing yet know of nobody either who could ask for them: with maxBackoff a start of all would ask a
	// store that turns them away for more than it bears.
	maxWholeBackoff = 1600 * clock.Millisecond
)

// Follower follows one table.
type Follower struct {
	common.Common
	source  Source
	handler Handler
	options Options

	version  int64
	known    bool
	wholeAt  clock.Millis
	lag      clock.Millis // the least seen between the store's clock and ours
	lagKnown bool
	// lagRelayed says that it is a lower bound that another process's answer gave.
	lagRelayed bool
	// lostAt is when the present outage was noticed, 0 if there is none: an outage takes one
	// line at its beginning and one at its end.
	lostAt clock.Millis
}

// NewFollower returns a follower that has read nothing.
func NewFollower(c common.Common, source Source, handler Handler, options Options) *Follower {
	return &Follower{Common: c, source: source, handler: handler, options: options}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	changes := f.Random.NewBackoff(minBackoff, maxBackoff)
	whole := f.Random.NewBackoff(minBackoff, maxWholeBackoff)
	for ctx.Err() == nil {
		if f.known {
			f.step(ctx, changes)
		} else {
			f.step(ctx, whole)
		}
	}
}

func (f *Follower) step(ctx context.Context, backoff *random.Backoff) {
	answering := f.answering()
	err := f.read(ctx)
	switch {
	case err == nil:
		backoff.Reset()
		f.regained()
	case ctx.Err() != nil:
	case errors.Is(err, ErrTrimmed):
		f.known = false
		f.Log.WithError(err).Warn("reading the whole table")
	default:
		f.lost(err)
		f.handler.ReadFailed(err)
		pauseUntil(ctx, backoff, answering)
	}
}

// answering returns a channel that is closed when the store answers others; nil if the source
// cannot tell.
func (f *Follower) answering() <-chan struct{} {
	if w, tells := f.source.(Waker); tells {
		return w.Recovered()
	}
	return nil
}

// pauseUntil waits for the next try, but no longer than until the store answers others: a
// store that comes and goes may answer for a moment only, and a process that has then read
// one of its tables and not the other knows half of what it decides by.
func pauseUntil(ctx context.Context, backoff *random.Backoff, answering <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-answering:
			cancel()
		case <-ctx.Done():
		}
	}()
	backoff.Pause(ctx)
}

// lost notes an outage, also one that was there before the first read: what a process does not
// know then decides what it refuses.
func (f *Follower) lost(err error) {
	if f.lostAt > 0 {
		return
	}
	f.lostAt = f.Clock.Now()
	if f.wholeAt == 0 {
		f.Log.WithError(err).Warn("store not read; nothing is known of the table yet")
		return
	}
	f.Log.WithError(err).Warn("store not read; going on with what is known")
}

func (f *Follower) regained() {
	if f.lostAt == 0 {
		return
	}
	f.Log.WithField("after_ms", int64(f.Clock.Now()-f.lostAt)).Info("store read again")
	f.lostAt = 0
}

func (f *Follower) read(ctx context.Context) error {
	asked := f.Clock.Now()
	if !f.known || f.options.Reread > 0 && asked-f.wholeAt >= f.options.Reread {
		return f.readWhole(ctx, asked)
	}
	ctx, cancel := context.WithTimeout(ctx, (f.options.Wait + f.options.Answer).Duration())
	defer cancel()
	batch, err := f.source.Changes(ctx, f.version, f.options.Wait)
	if err != nil {
		return fmt.Errorf("reading changes: %w", err)
	}
	f.version = max(f.version, batch.Version)
	f.handler.Changed(batch.Rows, f.proof(asked, batch))
	return nil
}

// wholeAnswers is how many answers' time a whole read may take: a long table comes in
// pages of some hundred rows, each an answer of its own.
const wholeAnswers = 4

func (f *Follower) readWhole(ctx context.Context, asked clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, wholeAnswers*f.options.Answer.Duration())
	defer cancel()
	batch, err := f.source.Snapshot(ctx)
	if err != nil {
		return fmt.Errorf("reading the table: %w", err)
	}
	f.version = batch.Version
	f.known = true
	f.wholeAt = asked
	f.handler.Snapshot(batch.Rows, f.wholeProof(asked, batch))
	return nil
}

func (f *Follower) wholeProof(asked clock.Millis, batch Batch) Freshness {
	if batch.Relayed {
		return f.proof(asked, batch)
	}
	f.current(asked, batch.StoreTime)
	return Freshness{AskedAt: asked, CurrentAt: asked, Version: batch.Version, StoreTime: batch.StoreTime}
}

// relayTime is what a relayed answer's age may lack: the way of the message that told it
// to the process that was asked.
const relayTime = 200 * clock.Millisecond

func (f *Follower) proof(asked clock.Millis, batch Batch) Freshness {
	if batch.Relayed && !f.lagKnown && batch.Age == nil {
		return Freshness{Version: batch.Version} // the store's clock says nothing here yet
	}
	if batch.Relayed && !f.lagKnown {
		// Less than what the store itself would show, so that it proves no more.
		f.lag = asked - *batch.Age - relayTime - batch.StoreTime
		f.lagKnown = true
		f.lagRelayed = true
	}
	if batch.Relayed {
		at := min(f.Clock.Now(), batch.StoreTime+f.lag)
		return Freshness{AskedAt: at, CurrentAt: at, Version: batch.Version, StoreTime: batch.StoreTime}
	}
	return Freshness{AskedAt: asked, CurrentAt: f.current(asked, batch.StoreTime), Version: batch.Version, StoreTime: batch.StoreTime}
}

// current returns a moment, by our clock, at which an answer was current: the
// store's own time, put on our clock by the quickest answer seen so far, and
// never before the question or after the answer.
func (f *Follower) current(asked, storeTime clock.Millis) clock.Millis {
	now := f.Clock.Now()
	lag := now - storeTime
	if !f.lagKnown || f.lagRelayed || lag < f.lag {
		f.lag = lag
		f.lagKnown = true
		f.lagRelayed = false
	}
	return min(now, max(asked, storeTime+f.lag))
}
