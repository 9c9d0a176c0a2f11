package bulletin

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

const (
	// peerService is the name under which the questions to a peer are registered.
	peerService   = "Bulletin"
	changesMethod = peerService + ".Changes"
	hasMethod     = peerService + ".Has"
	wholeMethod   = peerService + ".Whole"
	// peerTime bounds one question to a peer, the connection included: peers are
	// a few ms away, and the next one may do better.
	peerTime = 300 * clock.Millisecond
	// nextPeer is after what time the next peer is asked besides: one without power
	// says nothing.
	nextPeer = 40 * clock.Millisecond
	// wholeTime bounds the passing on of a whole table, of some MB at the most.
	wholeTime = 2 * clock.Second
	// servePeer bounds a peer's connection at the one that is asked.
	servePeer = wholeTime + peerTime
	// mostPeers is how many peers are asked in a round.
	mostPeers = 3
	// mostAskers is how many peers are answered at once: who is sent away asks another
	// one, which may know by then.
	mostAskers = 16
	// acceptPause is after an accept that failed, as when descriptors are used up.
	acceptPause = 300 * clock.Millisecond
	// roundPause is between two rounds.
	roundPause = 30 * clock.Millisecond
)

// Question asks a peer for a table, or for its changes after a version.
type FeedQuery struct {
	Table string
	After int64
}

// News is the answer to a Question.
type FeedState struct {
	// Known is false if the peer does not hold what was asked for.
	Known bool
	// Rows are the changes up to Version, or all rows at that version, which was the
	// newest at StoreTime by the store's clock; they are packed.
	Rows      []byte
	Version   int64
	StoreTime clock.Millis
	// Age is how long ago that was, but for the time that messages between entries took.
	Age clock.Millis
}

// peerAnswer is what a question to one peer came to.
type peerAnswer struct {
	batch follow.Batch
	err   error
}

// askPeers asks those that may know for the changes after a version, each next one if the
// one before does not answer soon. It returns the first that knows more.
func (s *Source) askPeers(ctx context.Context, after int64, round int) (follow.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := s.informed(round)
	answers := make(chan peerAnswer, len(peers))
	failed := errNoPeer
	next := time.NewTicker(nextPeer.Duration())
	defer next.Stop()
	ask := func(peer netip.AddrPort) {
		batch, err := s.askChanges(ctx, peer, after)
		if err != nil {
			err = fmt.Errorf("peer %s: %w", peer, err)
		}
		answers <- peerAnswer{batch, err}
	}
	for asked, ended := 0, 0; ended < len(peers); {
		if asked == ended {
			go ask(peers[asked])
			asked++
		}
		select {
		case a := <-answers:
			ended++
			if a.err == nil {
				s.board.Metrics.Links.Add("news_from_peers", 1)
				return a.batch, nil
			}
			failed = a.err
		case <-next.C:
			if asked < len(peers) {
				go ask(peers[asked])
				asked++
			}
		case <-ctx.Done():
			return follow.Batch{}, errTooSlow
		}
	}
	return follow.Batch{}, failed
}

var (
	errNoPeer  = errors.New("no peer to ask for news")
	errNoNews  = errors.New("it knows no more")
	errTooSlow = errors.New("no answer in time")
)

// informed lists the peers to be asked for a table's news: of its own failure domain first,
// since each domain needs them once. The head of the domain asks the one that told of them
// last; the others ask that one only from the second round on.
func (s *Source) informed(round int) []netip.AddrPort {
	b := s.board
	if b.Ablation.Off(ablation.PeerNews) {
		return nil
	}
	b.mu.Lock()
	from := b.table(s.name).heardFrom
	b.mu.Unlock()
	head, self := b.members.DomainOwner(matter)
	var peers []netip.AddrPort
	add := func(list ...netip.AddrPort) {
		for _, peer := range list {
			if peer.IsValid() && !slices.Contains(peers, peer) && len(peers) < mostPeers {
				peers = append(peers, peer)
			}
		}
	}
	switch {
	case self:
		add(from)
	case round > 0:
		add(head, from)
	default:
		add(head)
	}
	add(draw(s.random, b.members.DomainPeers(), 1)...)
	if self || round > 0 {
		add(b.some(s.random, mostPeers)...)
	}
	return peers
}
