package feedrelay

import (
	"context"
	"errors"
	"fmt"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
)

// storeFetchDelay is after what time missed changes are requested from the store too, besides
// the peers: each peer answers in a few ms, and all entries miss the same change at the same
// moment.
const storeFetchDelay = 250 * clock.Millisecond

// fetchResult is the outcome of a request for missed changes or for a snapshot.
type fetchResult struct {
	batch       follow.Batch // with its Age set if it came from a peer
	err         error
	fromStore   bool
	requestedAt clock.Millis // when the query was sent
}

// fetch gets the changes after a position, which this entry missed: from a peer, or from the store if no peer answers
// soon. It fails if neither has them. So a change too large for a datagram does not cost a call to the store for each
// entry, and an entry that the store rejects keeps the newest configuration and its freshness. Without that it
// would refuse keyed requests after each large change.
func (s *Source) fetch(ctx context.Context, after history.Position) (follow.Batch, error) {
	peersOnly := storeFetchDelay + s.storeDelay()
	ctx, cancel := withLeastTime(ctx, peersOnly+minReadPause+probeTimeout)
	defer cancel()
	answers := make(chan fetchResult, 2)
	peersFailed := make(chan struct{})
	go func() {
		a := s.changesFromPeers(ctx, after, peersOnly)
		if a.err != nil {
			close(peersFailed)
		}
		answers <- a
	}()
	go func() {
		clock.Await(ctx, peersOnly+minReadPause, peersFailed)
		answers <- s.changesFromStore(ctx, after)
	}()
	var failed error
	for range cap(answers) {
		a := <-answers
		if err := s.applyFetched(after, a); err == nil {
			return a.batch, nil
		} else if failed = errors.Join(failed, err); ctx.Err() != nil || errors.Is(err, follow.ErrNewEra) {
			break
		}
	}
	return follow.Batch{}, fmt.Errorf("fetching missed changes: %w", failed)
}

// applyFetched applies the outcome of a request for missed changes, and returns its error if it failed.
func (s *Source) applyFetched(after history.Position, a fetchResult) error {
	switch {
	case a.fromStore:
		s.readAt = a.requestedAt
		return s.storeAnswered(after, a.batch, a.err)
	case a.err != nil:
		s.recordNewEra(a.err, true)
		return a.err
	}
	s.relay.applyRelayed(s.name, after, a.batch, a.requestedAt-*a.batch.Age)
	s.recordReturned(a.batch)
	return nil
}

// changesFromStore requests the changes after a position from the store, which must not hold the query.
func (s *Source) changesFromStore(ctx context.Context, after history.Position) fetchResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	requestedAt := s.relay.Clock.Now()
	batch, err := s.direct.Changes(ctx, after, 0)
	return fetchResult{batch: batch, err: err, fromStore: true, requestedAt: requestedAt}
}

// changesFromPeers requests the changes after a position from other entries, in rounds until one has them, until there
// is no peer to query, or until the time within is over, from when on the store is read too.
func (s *Source) changesFromPeers(ctx context.Context, after history.Position, within clock.Millis) fetchResult {
	end := s.relay.Clock.Now() + within
	for round := 0; ; round++ {
		requestedAt := s.relay.Clock.Now()
		batch, err := s.queryPeers(ctx, after, round)
		if err == nil || ctx.Err() != nil || s.relay.Clock.Now() >= end || errors.Is(err, errNoPeer) || errors.Is(err, follow.ErrNewEra) {
			return fetchResult{batch: batch, err: err, requestedAt: requestedAt}
		}
		clock.Pause(ctx, s.random.Jitter(roundPause))
	}
}
