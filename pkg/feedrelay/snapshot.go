package feedrelay

import (
	"context"
	"errors"
	"fmt"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
)

// Snapshot reads all rows of the table: the feed reader from the store, the others from their own
// replica or from a peer that has all rows, and otherwise from the store. If the store has trimmed changes that this
// entry lacks, its own replica is too old.
func (s *Source) Snapshot(ctx context.Context) (follow.Batch, error) {
	rank, _ := s.relay.members.FeedReaderRank(feedShard)
	_, domainOwner := s.relay.members.DomainOwner(feedShard)
	isFeedReader := rank == 0 || s.relay.Ablation.Off(ablation.OneReader)
	if !isFeedReader && !s.trimmed {
		if batch, has := s.ownSnapshot(); has {
			return batch, nil
		}
	}
	_, listed := s.relay.members.Entries()
	if !isFeedReader && (rank >= initialReaders && !domainOwner || s.trimmed || !listed) {
		limited, cancel := context.WithTimeout(ctx, s.peersTime(listed).Duration())
		a := s.snapshotFromPeers(limited, s.position, nil)
		cancel()
		if s.applyFetchedSnapshot(a) == nil {
			return a.batch, nil
		}
	}
	return s.snapshotFromAny(ctx)
}

// peersTime returns for how long peers alone are queried for a snapshot, given whether this entry is listed.
func (s *Source) peersTime(listed bool) clock.Millis {
	switch {
	case !listed:
		return unlistedPeersFirstTime // it serves no requests until it is listed
	case s.eraRelayed:
		return storeFetchDelay + s.storeDelay() // what it knows stays usable meanwhile
	default:
		return peersFirstTime
	}
}

// storeDelay returns a random delay before this entry reads from the store what no peer has sent. All
// entries need it at the same moment, and the first one that has it spares the others the read.
func (s *Source) storeDelay() clock.Millis {
	entries, _ := s.relay.members.Entries()
	return s.random.DurationUpTo(min(maxSpread, clock.Millis(entries)*readSpacing))
}

// snapshotPeersDelay is after what time without an answer of the store a snapshot is requested from
// peers too: they may have it while the store is slow or does not answer, and the table may be long.
const snapshotPeersDelay = 300 * clock.Millisecond

// snapshotFromAny reads a snapshot from the store, and from peers too if that takes long.
func (s *Source) snapshotFromAny(ctx context.Context) (follow.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan fetchResult, 2)
	storeFailed := make(chan struct{})
	atLeast := s.position
	go func() {
		requestedAt := s.relay.Clock.Now()
		batch, err := s.direct.Snapshot(ctx)
		if err != nil {
			close(storeFailed)
		}
		answers <- fetchResult{batch: batch, err: err, fromStore: true, requestedAt: requestedAt}
	}()
	go func() {
		clock.Await(ctx, snapshotPeersDelay, storeFailed)
		if err := ctx.Err(); err != nil {
			answers <- fetchResult{err: err} // the store has answered, or the time is over: no peer need be queried
			return
		}
		answers <- s.snapshotFromPeers(ctx, atLeast, storeFailed)
	}()
	var failed error
	for range cap(answers) {
		a := <-answers
		err := s.applyFetchedSnapshot(a)
		if err == nil {
			return a.batch, nil
		}
		failed = errors.Join(failed, err)
	}
	return follow.Batch{}, fmt.Errorf("reading a snapshot from the store or a peer: %w", failed)
}

// applyFetchedSnapshot applies the outcome of a request for a snapshot, and returns its error if it failed.
func (s *Source) applyFetchedSnapshot(a fetchResult) error {
	if a.fromStore {
		s.readAt = a.requestedAt
		s.answeredLast = a.err == nil
		s.relay.recordStoreReply(s.answeredLast)
	}
	switch {
	case a.err != nil:
		return a.err
	case a.batch.Position.Era < s.position.Era:
		return follow.ErrFormerEra
	case a.fromStore:
		s.relay.publishSnapshot(s.name, a.batch)
	default:
		s.relay.Metrics.Links.Add("tables_from_peers", 1)
		s.relay.applyRelayedSnapshot(s.name, a.batch, a.requestedAt-*a.batch.Age)
	}
	s.recordReturned(a.batch)
	return nil
}

// ownSnapshot returns all rows from this entry's replica, if it has them at a position that is not
// before what was returned.
func (s *Source) ownSnapshot() (follow.Batch, bool) {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	batch, has := s.relay.table(s.name).replica.snapshot()
	return batch, has && !batch.Position.Before(s.position)
}

// snapshotFromPeers requests a snapshot from at least some position on from peers, in rounds until one
// has it, until the store has failed and this entry is to read it again, or until ctx ends. storeFailed is closed when
// the store has failed, nil if it is not read.
func (s *Source) snapshotFromPeers(ctx context.Context, atLeast history.Position, storeFailed <-chan struct{}) fetchResult {
	for round := 0; ; round++ {
		failed := errNoPeer
		for _, peer := range s.candidatePeers(round) {
			requestedAt := s.relay.Clock.Now()
			batch, err := s.requestSnapshot(ctx, peer, atLeast)
			if err == nil {
				return fetchResult{batch: batch, requestedAt: requestedAt}
			}
			failed = fmt.Errorf("peer %s: %w", peer, err)
			if ctx.Err() != nil {
				return fetchResult{err: failed}
			}
		}
		if s.readsStoreAgain(storeFailed) {
			return fetchResult{err: failed}
		}
		if clock.Pause(ctx, s.random.Jitter(roundPause)); ctx.Err() != nil {
			return fetchResult{err: failed}
		}
	}
}

// readsStoreAgain reports whether the store has failed and this entry is one of the few that read
// it for all, or knows of no other entry that would. A store that rejects calls fails within a few
// ms and may answer within the next second: an entry that went on querying peers until its time is
// up would read the store too seldom. The others do go on querying: peers have the table as soon as
// one has read it, and only few entries read the store, however many there are.
func (s *Source) readsStoreAgain(storeFailed <-chan struct{}) bool {
	select {
	case <-storeFailed:
	default:
		return false
	}
	_, aliveRank := s.relay.members.FeedReaderRank(feedShard)
	_, domainOwner := s.relay.members.DomainOwner(feedShard)
	return aliveRank < initialReaders || domainOwner
}
