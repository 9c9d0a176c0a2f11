package bulletin

import (
	"context"
	"errors"
	"fmt"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

// Whole reads the table: as the reader from the store, else from another entry, if one
// has it. An entry that follows the table has it already.
func (s *Source) Snapshot(ctx context.Context) (follow.Batch, error) {
	rank, _ := s.board.members.FeedReaderRank(matter)
	_, head := s.board.members.DomainOwner(matter)
	reads := rank == 0 || s.board.Ablation.Off(ablation.OneReader)
	if !reads && !s.forgotten {
		if batch, has := s.held(); has {
			return batch, nil
		}
	}
	_, listed := s.board.members.Entries()
	if !reads && (rank >= readFirst && !head || s.forgotten || !listed) {
		first := peersFirst
		if !listed {
			first = joinPeersFirst // it serves nobody until it is
		}
		limited, cancel := context.WithTimeout(ctx, first.Duration())
		a := s.wholeFromPeers(limited, s.version, nil)
		cancel()
		if s.takeWhole(a) == nil {
			return a.batch, nil
		}
	}
	return s.wholeFromAnyone(ctx)
}

// spread draws how much later than others this entry asks the store for what no peer has told it. What all need they
// need at the same moment, and the first that has it spares the others.
func (s *Source) spread() clock.Millis {
	entries, _ := s.board.members.Entries()
	return s.random.Within(min(mostSpread, clock.Millis(entries)*readSpacing))
}

// peersToo is after what time without an answer of the store peers are asked for a whole
// table besides: they may have it where the store is silent or slow, and it may be long.
const peersToo = 300 * clock.Millisecond

// wholeFromAnyone reads the table from the store, and from peers too if that takes long.
func (s *Source) wholeFromAnyone(ctx context.Context) (follow.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan fetched, 2)
	storeFailed := make(chan struct{})
	atLeast := s.version
	go func() {
		asked := s.board.Clock.Now()
		batch, err := s.direct.Snapshot(ctx)
		if err != nil {
			close(storeFailed)
		}
		answers <- fetched{batch: batch, err: err, fromStore: true, asked: asked}
	}()
	go func() {
		leaveTime(ctx, peersToo, storeFailed)
		if ctx.Err() != nil {
			return // the store has told; no peer need be asked
		}
		answers <- s.wholeFromPeers(ctx, atLeast, storeFailed)
	}()
	var failed error
	for range cap(answers) {
		a := <-answers
		err := s.takeWhole(a)
		if err == nil {
			return a.batch, nil
		}
		failed = errors.Join(failed, err)
	}
	return follow.Batch{}, fmt.Errorf("reading for all: %w", failed)
}

// takeWhole notes what a question for the whole table came to.
func (s *Source) takeWhole(a fetched) error {
	if a.fromStore {
		s.asked = a.asked
		s.sound = a.err == nil
		s.board.noteStore(s.sound)
	}
	switch {
	case a.err != nil:
		return a.err
	case a.fromStore:
		s.board.whole(s.name, a.batch)
	default:
		s.board.Metrics.Links.Add("tables_from_peers", 1)
		s.board.adopted(s.name, a.batch, a.asked-*a.batch.Age)
	}
	s.returned(a.batch)
	return nil
}

// held returns the table as this entry holds it, if it does.
func (s *Source) held() (follow.Batch, bool) {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	batch, has := s.board.table(s.name).replica.whole()
	return batch, has && batch.Version >= s.version
}

// wholeFromPeers asks others for the table, of some version at the least, in rounds until one
// has it, or until the store has failed and it is this entry's turn to ask it once more.
func (s *Source) wholeFromPeers(ctx context.Context, atLeast int64, storeFailed <-chan struct{}) fetched {
	for round := 0; ; round++ {
		failed := errNoPeer
		for _, peer := range s.informed(round) {
			asked := s.board.Clock.Now()
			batch, err := s.askWhole(ctx, peer, atLeast)
			if err == nil {
				return fetched{batch: batch, asked: asked}
			}
			failed = fmt.Errorf("peer %s: %w", peer, err)
			if ctx.Err() != nil {
				return fetched{err: failed}
			}
		}
		if s.asksStoreAgain(storeFailed) {
			return fetched{err: failed}
		}
		if clock.Pause(ctx, s.random.Jitter(roundPause)); ctx.Err() != nil {
			return fetched{err: failed}
		}
	}
}

// asksStoreAgain reports whether the store has failed and this entry is one of the few that
// read it for all, or knows of nobody who would. A store that turns calls away fails within
// a few ms and may answer within the next second; who stays with its peers until its time is
// up asks it too seldom. The others do stay: peers have the table as soon as one has read
// it, and the store is asked by few, however many entries there are.
func (s *Source) asksStoreAgain(storeFailed <-chan struct{}) bool {
	select {
	case <-storeFailed:
	default:
		return false
	}
	_, seniority := s.board.members.FeedReaderRank(matter)
	_, head := s.board.members.DomainOwner(matter)
	return seniority < readFirst || head
}
