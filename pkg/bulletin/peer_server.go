package bulletin

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

// peerServer answers the questions of peers.
type peerServer struct{ board *Relay }

// Changes tells what has changed as far as this entry holds it.
func (s *peerServer) Changes(q *FeedQuery, news *FeedState) error {
	return s.answer(q, news, func(t *table) (follow.Batch, bool) { return t.replica.since(q.After) })
}

// Has tells whether this entry holds all rows, and of which version.
func (s *peerServer) Has(q *FeedQuery, news *FeedState) error {
	return s.answer(q, news, func(t *table) (follow.Batch, bool) {
		return follow.Batch{Version: t.replica.to, StoreTime: t.replica.storeTime}, t.replica.complete
	})
}

// Whole tells all rows.
func (s *peerServer) Whole(q *FeedQuery, news *FeedState) error {
	return s.answer(q, news, func(t *table) (follow.Batch, bool) { return t.replica.whole() })
}

func (s *peerServer) answer(q *FeedQuery, news *FeedState, read func(*table) (follow.Batch, bool)) error {
	now := s.board.Clock.Now()
	s.board.mu.Lock()
	t := s.board.table(q.Table)
	batch, known := read(t)
	*news = FeedState{Known: known, Version: batch.Version, StoreTime: batch.StoreTime, Age: now - t.currentAt}
	s.board.mu.Unlock()
	packed, err := pack(batch.Rows)
	news.Rows = packed
	return err
}

// Serve answers peers that ask for news which no datagram holds, until the
// listener is closed.
func (b *Relay) Serve(listener net.Listener) {
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
			clock.Pause(context.Background(), acceptPause)
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
