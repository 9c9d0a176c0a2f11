package feedrelay

import (
	"context"
	"fmt"
	"net/netip"
	"net/rpc"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/network"
)

// peerConn is a connection to a peer for one or two calls.
type peerConn struct {
	client *rpc.Client
}

// dial connects to a peer. The caller closes the connection, which ends a call that still runs.
func (r *Relay) dial(ctx context.Context, peer netip.AddrPort) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
	defer cancel()
	conn, err := r.Network.Dial(ctx, peer.String())
	if err != nil {
		return nil, fmt.Errorf("connecting to peer: %w", err)
	}
	return &peerConn{rpc.NewClient(network.LimitWrites(conn, peerTimeout))}, nil
}

func (c *peerConn) close() { _ = c.client.Close() }

// call calls a method of the peer. It returns errPeerTimeout if there is no answer within the time or before ctx ends.
func (c *peerConn) call(ctx context.Context, method string, query FeedQuery, within clock.Millis) (*FeedState, error) {
	ctx, cancel := context.WithTimeout(ctx, within.Duration())
	defer cancel()
	state := &FeedState{}
	call := c.client.Go(method, &query, state, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return nil, errPeerTimeout
	}
	if call.Error != nil {
		return nil, fmt.Errorf("calling peer: %w", call.Error)
	}
	return state, nil
}

// batch unpacks the answer of a peer. The batch has its Age set.
func (s *FeedState) batch() (follow.Batch, error) {
	rows, err := unpack(s.Rows)
	if err != nil {
		return follow.Batch{}, err
	}
	age := s.Age
	return follow.Batch{Rows: rows, Position: s.Position, StoreTime: s.StoreTime, Relayed: true, Age: &age}, nil
}

// requestChanges requests the changes after a position from a peer. It returns errNotNewer if the peer has none, and
// follow.ErrNewEra if it has the table of a later era.
func (s *Source) requestChanges(ctx context.Context, peer netip.AddrPort, after history.Position) (follow.Batch, error) {
	c, err := s.relay.dial(ctx, peer)
	if err != nil {
		return follow.Batch{}, err
	}
	defer c.close()
	state, err := c.call(ctx, changesMethod, FeedQuery{Table: s.name, After: after}, peerTimeout)
	if err != nil {
		return follow.Batch{}, err
	}
	switch {
	case state.Position.Era > after.Era:
		return follow.Batch{}, &follow.NewEraError{Era: state.Position.Era}
	case !state.Known, !after.Before(state.Position):
		return follow.Batch{}, errNotNewer
	}
	return state.batch()
}

// requestSnapshot requests a snapshot from a peer: first whether the peer has one, which it
// answers at once, then the rows, which may take long: their transfer does not end with ctx, which may only limit the
// search for a peer. It returns errNotNewer if the peer has none, or one from before atLeast.
func (s *Source) requestSnapshot(ctx context.Context, peer netip.AddrPort, atLeast history.Position) (follow.Batch, error) {
	c, err := s.relay.dial(ctx, peer)
	if err != nil {
		return follow.Batch{}, err
	}
	defer c.close()
	query := FeedQuery{Table: s.name}
	has, err := c.call(ctx, hasMethod, query, nextPeerDelay)
	if err != nil {
		return follow.Batch{}, err
	}
	if !has.Known || has.Position.Before(atLeast) {
		return follow.Batch{}, errNotNewer
	}
	state, err := c.call(context.WithoutCancel(ctx), snapshotMethod, query, snapshotTimeout)
	if err != nil {
		return follow.Batch{}, err
	}
	if !state.Known {
		return follow.Batch{}, errNotNewer
	}
	return state.batch()
}
