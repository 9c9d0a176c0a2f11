package bulletin

import (
	"context"
	"fmt"
	"net/netip"
	"net/rpc"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/network"
)

// peerConn is a connection to a peer for one or two questions.
type peerConn struct {
	client *rpc.Client
}

func (b *Relay) dial(ctx context.Context, peer netip.AddrPort) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTime.Duration())
	defer cancel()
	conn, err := b.Network.Dial(ctx, peer.String())
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return &peerConn{rpc.NewClient(network.LimitWrites(conn, peerTime))}, nil
}

func (c *peerConn) close() { _ = c.client.Close() }

func (c *peerConn) ask(ctx context.Context, method string, question FeedQuery, within clock.Millis) (*FeedState, error) {
	ctx, cancel := context.WithTimeout(ctx, within.Duration())
	defer cancel()
	news := &FeedState{}
	call := c.client.Go(method, &question, news, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return nil, errTooSlow
	}
	if call.Error != nil {
		return nil, fmt.Errorf("asking: %w", call.Error)
	}
	if !news.Known {
		return nil, errNoNews
	}
	return news, nil
}

// batch unpacks what a peer told.
func (n *FeedState) batch() (follow.Batch, error) {
	rows, err := unpack(n.Rows)
	if err != nil {
		return follow.Batch{}, err
	}
	age := n.Age
	return follow.Batch{Rows: rows, Version: n.Version, StoreTime: n.StoreTime, Relayed: true, Age: &age}, nil
}

// askChanges asks a peer for the changes after a version.
func (s *Source) askChanges(ctx context.Context, peer netip.AddrPort, after int64) (follow.Batch, error) {
	c, err := s.board.dial(ctx, peer)
	if err != nil {
		return follow.Batch{}, err
	}
	defer c.close()
	news, err := c.ask(ctx, changesMethod, FeedQuery{Table: s.name, After: after}, peerTime)
	if err != nil {
		return follow.Batch{}, err
	}
	if news.Version <= after {
		return follow.Batch{}, errNoNews
	}
	return news.batch()
}

// askWhole asks a peer for the whole table: first whether it has it, which is told at
// once, then for the rows, which may take long.
func (s *Source) askWhole(ctx context.Context, peer netip.AddrPort, atLeast int64) (follow.Batch, error) {
	c, err := s.board.dial(ctx, peer)
	if err != nil {
		return follow.Batch{}, err
	}
	defer c.close()
	question := FeedQuery{Table: s.name}
	has, err := c.ask(ctx, hasMethod, question, nextPeer)
	if err != nil {
		return follow.Batch{}, err
	}
	if has.Version < atLeast {
		return follow.Batch{}, errNoNews
	}
	news, err := c.ask(context.WithoutCancel(ctx), wholeMethod, question, wholeTime)
	if err != nil {
		return follow.Batch{}, err
	}
	return news.batch()
}
