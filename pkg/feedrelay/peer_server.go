package feedrelay

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

// peerServer answers the feed queries of peers. Its method names go over the wire.
type peerServer struct{ relay *Relay }

// Changes returns the changes after a position, if this entry holds all of them.
func (s *peerServer) Changes(q *FeedQuery, state *FeedState) error {
	return s.answer(q, state, func(t *table) (follow.Batch, bool) { return t.replica.since(q.After) })
}

// Has returns whether this entry holds all rows, and at which position.
func (s *peerServer) Has(q *FeedQuery, state *FeedState) error {
	return s.answer(q, state, func(t *table) (follow.Batch, bool) {
		return follow.Batch{Position: t.replica.position(), StoreTime: t.replica.storeTime}, t.replica.complete
	})
}

// Whole returns a snapshot, if this entry holds all rows.
func (s *peerServer) Whole(q *FeedQuery, state *FeedState) error {
	return s.answer(q, state, func(t *table) (follow.Batch, bool) { return t.replica.snapshot() })
}

// answer fills in the answer to a query with what read returns of the table, which it calls with the lock held.
func (s *peerServer) answer(q *FeedQuery, state *FeedState, read func(*table) (follow.Batch, bool)) error {
	now := s.relay.Clock.Now()
	s.relay.mu.Lock()
	t := s.relay.table(q.Table)
	batch, known := read(t)
	*state = FeedState{Known: known, Position: batch.Position, StoreTime: batch.StoreTime, Age: now - t.currentAt}
	s.relay.mu.Unlock()
	packed, err := pack(batch.Rows)
	state.Rows = packed
	return err
}

// Serve answers peers that request changes too large for a datagram, or snapshots, until the
// listener is closed.
func (r *Relay) Serve(listener net.Listener) {
	server := rpc.NewServer()
	if err := server.RegisterName(peerService, &peerServer{r}); err != nil {
		r.Log.WithError(err).Error("feed state not served to peers: registering the rpc service failed")
		return
	}
	slots := make(chan struct{}, maxServedPeers)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			r.Log.WithError(err).Warn("peer's connection not accepted")
			clock.Pause(context.Background(), acceptPause)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close() // the peer tries another entry
			continue
		}
		go func() {
			defer func() { <-slots }()
			_ = conn.SetDeadline(time.Now().Add(servePeerTimeout.Duration()))
			server.ServeConn(conn)
		}()
	}
}
