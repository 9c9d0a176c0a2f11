package feedrelay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
)

const (
	// peerService is the rpc name under which the methods for peers are registered.
	peerService    = "FeedRelay"
	changesMethod  = peerService + ".Changes"
	hasMethod      = peerService + ".Has"
	snapshotMethod = peerService + ".Whole"
	// peerTimeout limits connecting to a peer, and one call for changes: peers are a few ms
	// away, and the next one may be quicker.
	peerTimeout = 300 * clock.Millisecond
	// nextPeerDelay is after what time the next peer is queried too: a VM that has lost power
	// does not answer at all.
	nextPeerDelay = 40 * clock.Millisecond
	// snapshotTimeout limits the transfer of a snapshot, of some MB at most.
	snapshotTimeout = 2 * clock.Second
	// servePeerTimeout limits a peer's connection on the serving side.
	servePeerTimeout = snapshotTimeout + peerTimeout
	// maxPeers is how many peers are queried in a round.
	maxPeers = 3
	// maxServedPeers is how many peers are served at once. A rejected peer queries another one,
	// which may have the state by then.
	maxServedPeers = 16
	// acceptPause is the pause after a failed accept, such as when descriptors are used up.
	acceptPause = 300 * clock.Millisecond
	// roundPause is the pause between two rounds of queries.
	roundPause = 30 * clock.Millisecond
)

// FeedQuery requests a table, or its changes after a position, from a peer. Only the method for changes reads After.
type FeedQuery struct {
	Table string
	After history.Position
}

// FeedState is the answer to a FeedQuery.
type FeedState struct {
	// Known is false if the peer does not hold what was requested.
	Known bool
	// Rows are the packed changes up to Position, or all rows there, which was the newest at
	// StoreTime by the store's clock. Position is set also if Known is false.
	Rows      []byte
	Position  history.Position
	StoreTime clock.Millis
	// Age is how long ago that was, without the transit time of messages between entries.
	Age clock.Millis
}

// peerAnswer is the outcome of a query to one peer.
type peerAnswer struct {
	batch follow.Batch
	err   error
}

// queryPeers requests the changes after a position from candidate peers, each next one if the
// one before fails or does not answer within nextPeerDelay. It returns the first answer that is newer, or else the
// error of the peer that failed last; errNoPeer if there is no candidate.
func (s *Source) queryPeers(ctx context.Context, after history.Position, round int) (follow.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := s.candidatePeers(round)
	answers := make(chan peerAnswer, len(peers))
	failed := errNoPeer
	next := clock.NewTicker(nextPeerDelay)
	defer next.Stop()
	query := func(peer netip.AddrPort) {
		batch, err := s.requestChanges(ctx, peer, after)
		if err != nil {
			err = fmt.Errorf("peer %s: %w", peer, err)
		}
		answers <- peerAnswer{batch, err}
	}
	for queried, ended := 0, 0; ended < len(peers); {
		if queried == ended {
			go query(peers[queried])
			queried++
		}
		select {
		case a := <-answers:
			ended++
			if a.err == nil {
				s.relay.Metrics.Links.Add("news_from_peers", 1)
				return a.batch, nil
			}
			failed = a.err
			if errors.Is(failed, follow.ErrNewEra) {
				return follow.Batch{}, failed
			}
		case <-next.C:
			if queried < len(peers) {
				go query(peers[queried])
				queried++
			}
		case <-ctx.Done():
			return follow.Batch{}, errPeerTimeout
		}
	}
	return follow.Batch{}, failed
}

var (
	errNoPeer      = errors.New("no peer to query for the feed state")
	errNotNewer    = errors.New("its feed state is not newer")
	errPeerTimeout = errors.New("no answer within the time limit")
)

// candidatePeers lists up to maxPeers peers to query for a table's feed state in a round, counted from 0: those of the
// own failure domain first, so that a change is transferred into each domain only once. The domain owner queries the
// sender of the last message; the others query that one only from the second round on.
func (s *Source) candidatePeers(round int) []netip.AddrPort {
	relay := s.relay
	if relay.Ablation.Off(ablation.PeerNews) {
		return nil
	}
	relay.mu.Lock()
	from := relay.table(s.name).receivedFrom
	relay.mu.Unlock()
	owner, self := relay.members.DomainOwner(feedShard)
	var peers []netip.AddrPort
	add := func(list ...netip.AddrPort) {
		for _, peer := range list {
			if peer.IsValid() && !slices.Contains(peers, peer) && len(peers) < maxPeers {
				peers = append(peers, peer)
			}
		}
	}
	switch {
	case self:
		add(from)
	case round > 0:
		add(owner, from)
	default:
		add(owner)
	}
	add(sample(s.random, relay.members.DomainPeers(), 1)...)
	if self || round > 0 {
		add(relay.randomPeers(s.random, maxPeers)...)
	}
	return peers
}
