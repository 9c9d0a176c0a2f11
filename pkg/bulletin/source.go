package bulletin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/random"
)

// Source reads one table through the board: as the reader from the store, else
// from what the reader tells. It is for one follower.
type Source struct {
	board  *Relay
	name   string
	direct follow.Source
	// random draws for this table alone: followers that begin together would draw in any order.
	random *random.Source
	// proven is the newest store time that was returned.
	proven    clock.Millis
	version   int64        // the newest that was returned
	forgotten bool         // the store has no changes after that
	asked     clock.Millis // when the store was last asked
	sound     bool         // the store answered then
	resort    clock.Millis // how old a proof this entry bears before it asks for itself
}

var (
	_ follow.Source = (*Source)(nil)
	_ follow.Waker  = (*Source)(nil)
)

const (
	// leastPause is between two questions to the store that are not to be held.
	leastPause = 100 * clock.Millisecond
	// quickAnswer bounds a question to a store of which it is not known whether it
	// answers.
	quickAnswer = 800 * clock.Millisecond
	// lostAfter is for how long there are no news before the store counts as away. Rows
	// of targets lapse no sooner than three of their heartbeats after that.
	lostAfter = 1200 * clock.Millisecond
	// readFirst is how many entries read a table at the start without asking others, in
	// the order in which they would be the reader, besides the head of each failure domain;
	// peersFirst is for how long the others
	// ask one another before they read it too. When many entries start at once, a
	// read of the store by all of them is as many calls; entries that start before those few are not
	// to wait long for them.
	readFirst  = 3
	peersFirst = 60 * clock.Millisecond
	// readSpacing is between the questions of all entries that have got nothing from peers, and mostSpread the time
	// over which they are spread at the most.
	readSpacing = 2 * clock.Millisecond
	mostSpread  = clock.Second
	// joinPeersFirst is peersFirst of an entry that is not listed yet.
	joinPeersFirst = 300 * clock.Millisecond
)

// errQuiet is returned while nobody tells how the table stands and it is not this
// entry's turn to ask the store.
var errQuiet = errors.New("no news of the store")

// Share returns a source of a table that shares what direct reads.
func (b *Relay) Source(name string, direct follow.Source) *Source {
	return &Source{board: b, name: name, direct: direct, random: random.NewSource(b.Random.Fork().Uint64())}
}

// Answering is closed when the store answers a question of any table after one has failed.
func (s *Source) Recovered() <-chan struct{} {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	return s.board.answering
}

func (s *Source) returned(batch follow.Batch) {
	s.proven = max(s.proven, batch.StoreTime)
	s.version = max(s.version, batch.Version)
	s.forgotten = false
	s.resort = 0
}

// Changes returns what has changed since a version.
func (s *Source) Changes(ctx context.Context, after int64, wait clock.Millis) (follow.Batch, error) {
	if s.board.reads() {
		return s.ask(ctx, after, min(wait, MaxStoreWait))
	}
	batch, found := s.listen(ctx, after)
	switch found {
	case told:
		s.hear(after, batch)
		return batch, nil
	case missed:
		return s.fetch(ctx, after)
	case ours:
		return s.ask(ctx, after, min(wait, MaxStoreWait))
	default:
		return follow.Batch{}, errQuiet
	}
}

// hear takes news that a message told.
func (s *Source) hear(after int64, batch follow.Batch) {
	s.board.mu.Lock()
	t := s.board.table(s.name)
	currentAt := t.heardAt - t.heard.Age
	s.board.mu.Unlock()
	s.board.learned(s.name, after, batch, currentAt)
	s.returned(batch)
}

// ask asks the store, which may hold the question if it answered the last one.
func (s *Source) ask(ctx context.Context, after int64, wait clock.Millis) (follow.Batch, error) {
	if !s.sound {
		// It has its own time: that of ctx may have gone by listening, and a question cut
		// short by it would say that the store does not answer.
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), quickAnswer.Duration())
		defer cancel()
		ctx, wait = limited, 0
	}
	clock.Pause(ctx, s.asked+leastPause-s.board.Clock.Now())
	s.asked = s.board.Clock.Now()
	batch, err := s.direct.Changes(ctx, after, holdWithin(ctx, wait))
	return batch, s.answered(after, batch, err)
}

// answered notes what a question to the store came to.
func (s *Source) answered(after int64, batch follow.Batch, err error) error {
	s.forgotten = errors.Is(err, follow.ErrTrimmed)
	s.sound = err == nil || s.forgotten
	s.board.noteStore(s.sound)
	if err != nil {
		return fmt.Errorf("reading for all: %w", err)
	}
	s.board.publish(s.name, after, batch)
	s.returned(batch)
	return nil
}

// answerTime is kept of a call's time for the store's answer.
const answerTime = 600 * clock.Millisecond

// holdWithin bounds for how long the store may hold a question, so that its
// answer comes before ctx ends: a part of its time may have gone by listening.
func holdWithin(ctx context.Context, wait clock.Millis) clock.Millis {
	end, bounded := ctx.Deadline()
	if !bounded {
		return wait
	}
	left := clock.Millis(time.Until(end).Milliseconds()) - answerTime
	return max(0, min(wait, left))
}
