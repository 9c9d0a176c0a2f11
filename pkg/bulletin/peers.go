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
	// peerService is the name under which the question to a peer is registered.
	peerService = "Bulletin"
	peerMethod  = peerService + ".Changes"
	// peerTime bounds one question to a peer, the connection included: peers are
	// a few ms away, and the next one may do better.
	peerTime = 300 * clock.Millisecond
	// servePeer bounds a peer's connection at the one that is asked.
	servePeer = 2 * clock.Second
	// mostPeers is how many peers are asked before the entry listens again.
	mostPeers = 3
	// mostAskers is how many peers are answered at once.
	mostAskers = 16
)

// Question asks a peer for a table's changes after a version.
type Question struct {
	Table string
	After int64
}

// News is the answer to a Question.
type News struct {
	// Known is false if the peer does not hold all changes after the version.
	Known bool
	// Rows are the changes up to Version, which was the newest at StoreTime by
	// the store's clock.
	Rows      []follow.Row
	Version   int64
	StoreTime clock.Millis
}

// peerServer answers the questions of peers.
type peerServer struct{ board *Board }

// Changes tells what this entry holds.
func (s *peerServer) Changes(q *Question, news *News) error {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	batch, known := s.board.table(q.Table).archive.since(q.After)
	*news = News{Known: known, Rows: batch.Rows, Version: batch.Version, StoreTime: batch.StoreTime}
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

// askPeers asks those that may know for the changes after a version: first the
// one whose message told of them. It returns the first answer that says more than
// is known.
func (s *Source) askPeers(ctx context.Context, after int64) (follow.Batch, error) {
	failed := errNoPeer
	for _, peer := range s.board.informed(s.name) {
		batch, err := s.askPeer(ctx, peer, after)
		if err == nil {
			return batch, nil
		}
		failed = fmt.Errorf("peer %s: %w", peer, err)
		if ctx.Err() != nil {
			break
		}
	}
	return follow.Batch{}, failed
}

var (
	errNoPeer  = errors.New("no peer to ask for news")
	errNoNews  = errors.New("it knows no more")
	errTooSlow = errors.New("no answer in time")
)

// informed lists the peers to be asked for a table's news, the reader first.
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
	others := b.members.Others()
	random := b.Random.Fork()
	random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others {
		if other != from && len(peers) < mostPeers {
			peers = append(peers, other)
		}
	}
	return peers
}

func (s *Source) askPeer(ctx context.Context, peer netip.AddrPort, after int64) (follow.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTime.Duration())
	defer cancel()
	conn, err := s.board.Network.Dial(ctx, peer.String())
	if err != nil {
		return follow.Batch{}, fmt.Errorf("connecting: %w", err)
	}
	client := rpc.NewClient(network.LimitWrites(conn, peerTime))
	defer func() { _ = client.Close() }()
	news := &News{}
	call := client.Go(peerMethod, &Question{Table: s.name, After: after}, news, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return follow.Batch{}, errTooSlow
	}
	switch {
	case call.Error != nil:
		return follow.Batch{}, fmt.Errorf("asking: %w", call.Error)
	case !news.Known || news.Version <= after:
		return follow.Batch{}, errNoNews
	}
	return follow.Batch{Rows: news.Rows, Version: news.Version, StoreTime: news.StoreTime, Relayed: true}, nil
}
