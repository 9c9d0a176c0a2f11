package bulletin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

// storeAfter is after what time the store is asked for what was missed besides the
// peers: each peer answers in a few ms, and all entries miss the same change at the
// same moment.
const storeAfter = 250 * clock.Millisecond

// fetched is what a question for missed changes came to.
type fetched struct {
	batch     follow.Batch
	err       error
	fromStore bool
	asked     clock.Millis
}

// fetch gets the changes that this entry missed: from a peer, or from the store if no
// peer tells soon. So a change that no datagram holds costs no call to the store for
// each entry, and one that the store turns away goes on with the newest configuration, and
// with proof of it; without that it would refuse keyed requests after each large change.
func (s *Source) fetch(ctx context.Context, after int64) (follow.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan fetched, 2)
	peersFailed := make(chan struct{})
	alone := storeAfter + s.spread()
	go func() {
		a := s.changesFromPeers(ctx, after, alone)
		if a.err != nil {
			close(peersFailed)
		}
		answers <- a
	}()
	go func() {
		leaveTime(ctx, alone+leastPause, peersFailed)
		answers <- s.changesFromStore(ctx, after)
	}()
	var failed error
	for range cap(answers) {
		a := <-answers
		if err := s.take(after, a); err == nil {
			return a.batch, nil
		} else if failed = errors.Join(failed, err); ctx.Err() != nil {
			break
		}
	}
	return follow.Batch{}, fmt.Errorf("fetching what was missed: %w", failed)
}

// take notes what a question for missed changes came to.
func (s *Source) take(after int64, a fetched) error {
	switch {
	case a.fromStore:
		s.asked = a.asked
		return s.answered(after, a.batch, a.err)
	case a.err != nil:
		return a.err
	}
	s.board.learned(s.name, after, a.batch, a.asked-*a.batch.Age)
	s.returned(a.batch)
	return nil
}

func (s *Source) changesFromStore(ctx context.Context, after int64) fetched {
	ctx, cancel := context.WithTimeout(ctx, quickAnswer.Duration())
	defer cancel()
	asked := s.board.Clock.Now()
	batch, err := s.direct.Changes(ctx, after, 0)
	return fetched{batch: batch, err: err, fromStore: true, asked: asked}
}

// changesFromPeers asks others for the changes after a version, in rounds while the
// store is not asked either.
func (s *Source) changesFromPeers(ctx context.Context, after int64, within clock.Millis) fetched {
	end := s.board.Clock.Now() + within
	for round := 0; ; round++ {
		asked := s.board.Clock.Now()
		batch, err := s.askPeers(ctx, after, round)
		if err == nil || ctx.Err() != nil || s.board.Clock.Now() >= end || errors.Is(err, errNoPeer) {
			return fetched{batch: batch, err: err, asked: asked}
		}
		clock.Pause(ctx, s.random.Jitter(roundPause))
	}
}

// leaveTime waits for a time, or until another way has failed or ctx ends.
func leaveTime(ctx context.Context, wait clock.Millis, failed <-chan struct{}) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-failed:
	case <-ctx.Done():
	}
}
