package bulletin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/network"
)

const (
	// peerService is the name under which the questions to a peer are registered.
	peerService   = "Bulletin"
	changesMethod = peerService + ".Changes"
	wholeMethod   = peerService + ".Whole"
	// peerTime bounds one question to a peer, the connection included: peers are
	// a few ms away, and the next one may do better.
	peerTime = 300 * clock.Millisecond
	// nextPeer is after what time the next peer is asked besides: one without power
	// says nothing.
	nextPeer = 40 * clock.Millisecond
	// servePeer bounds a peer's connection at the one that is asked.
	servePeer = 2 * clock.Second
	// mostPeers is how many peers are asked in a round.
	mostPeers = 3
	// mostAskers is how many peers are answered at once: who is sent away asks another
	// one, which may know by then.
	mostAskers = 16
	// roundPause is between two rounds.
	roundPause = 30 * clock.Millisecond
)

// Question asks a peer for a table, or for its changes after a version.
type Question struct {
	Table string
	After int64
}

// News is the answer to a Question.
type News struct {
	// Known is false if the peer does not hold what was asked for.
	Known bool
	// Rows are the changes up to Version, or all rows at that version, which was the
	// newest at StoreTime by the store's clock.
	Rows      []follow.Row
	Version   int64
	StoreTime clock.Millis
	// Age is how long ago that was, but for the time that messages between entries took.
	Age clock.Millis
}

// peerServer answers the questions of peers.
type peerServer struct{ board *Board }

// Changes tells what has changed as far as this entry holds it.
func (s *peerServer) Changes(q *Question, news *News) error {
	return s.answer(q, news, func(r *replica) (follow.Batch, bool) { return r.since(q.After) })
}

// Whole tells all rows.
func (s *peerServer) Whole(q *Question, news *News) error {
	return s.answer(q, news, (*replica).whole)
}

func (s *peerServer) answer(q *Question, news *News, read func(*replica) (follow.Batch, bool)) error {
	now := s.board.Clock.Now()
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	t := s.board.table(q.Table)
	batch, known := read(&t.replica)
	*news = News{Known: known, Rows: batch.Rows, Version: batch.Version, StoreTime: batch.StoreTime, Age: now - t.currentAt}
	return nil
}

// Serve answers peers that ask for news which no datagram holds, until the
// listener is closed.
func (b *Board) Serve(listener net.Listener) {
	server := rpc.NewServer()
	if err := server.RegisterName(peerService, &peerServer{b}); err != nil {
		b.Log.WithError(err).Error("news are not passed on to peers")
		return
	}
	askers := make(chan struct{}, mostAskers)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			b.Log.WithError(err).Warn("peer's connection not accepted")
			clock.Pause(context.Background(), every)
			continue
		}
		select {
		case askers <- struct{}{}:
		default:
			_ = conn.Close() // the peer asks another one
			continue
		}
		go func() {
			defer func() { <-askers }()
			_ = conn.SetDeadline(time.Now().Add(servePeer.Duration()))
			server.ServeConn(conn)
		}()
	}
}

// peerAnswer is what a question to one peer came to.
type peerAnswer struct {
	batch follow.Batch
	err   error
}

// askPeers asks those that may know, first the one whose message told last, each next
// one if the one before does not answer soon. It returns the first answer that is
// accepted.
func (s *Source) askPeers(ctx context.Context, method string, question Question, accept func(*News) bool) (follow.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := s.board.informed(s.name)
	answers := make(chan peerAnswer, len(peers))
	failed := errNoPeer
	next := time.NewTicker(nextPeer.Duration())
	defer next.Stop()
	for asked, ended := 0, 0; ended < len(peers); {
		if asked == ended && asked < len(peers) {
			s.askBeside(ctx, peers[asked], method, question, accept, answers)
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
				s.askBeside(ctx, peers[asked], method, question, accept, answers)
				asked++
			}
		case <-ctx.Done():
			return follow.Batch{}, errTooSlow
		}
	}
	return follow.Batch{}, failed
}

func (s *Source) askBeside(ctx context.Context, peer netip.AddrPort, method string, question Question, accept func(*News) bool, answers chan<- peerAnswer) {
	go func() {
		batch, err := s.askPeer(ctx, peer, method, question, accept)
		if err != nil {
			err = fmt.Errorf("peer %s: %w", peer, err)
		}
		answers <- peerAnswer{batch, err}
	}()
}

var (
	errNoPeer  = errors.New("no peer to ask for news")
	errNoNews  = errors.New("it knows no more")
	errTooSlow = errors.New("no answer in time")
)

// informed lists the peers to be asked for a table's news, first the one that told of
// them last.
func (b *Board) informed(table string) []netip.AddrPort {
	if b.Ablation.Off(ablation.PeerNews) {
		return nil
	}
	b.mu.Lock()
	from := b.table(table).heardFrom
	b.mu.Unlock()
	var peers []netip.AddrPort
	if from.IsValid() {
		peers = append(peers, from)
	}
	for _, other := range b.some(mostPeers) {
		if other != from && len(peers) < mostPeers {
			peers = append(peers, other)
		}
	}
	return peers
}

func (s *Source) askPeer(ctx context.Context, peer netip.AddrPort, method string, question Question, accept func(*News) bool) (follow.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTime.Duration())
	defer cancel()
	conn, err := s.board.Network.Dial(ctx, peer.String())
	if err != nil {
		return follow.Batch{}, fmt.Errorf("connecting: %w", err)
	}
	client := rpc.NewClient(network.LimitWrites(conn, peerTime))
	defer func() { _ = client.Close() }()
	news := &News{}
	call := client.Go(method, &question, news, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return follow.Batch{}, errTooSlow
	}
	switch {
	case call.Error != nil:
		return follow.Batch{}, fmt.Errorf("asking: %w", call.Error)
	case !news.Known || !accept(news):
		return follow.Batch{}, errNoNews
	}
	age := news.Age
	return follow.Batch{Rows: news.Rows, Version: news.Version, StoreTime: news.StoreTime, Relayed: true, Age: &age}, nil
}
