package control

import (
	"context"
	"fmt"
	"net"
	"net/rpc"

	"github.com/juju/errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/network"
)

// ServiceName is the name under which an agent's RPC service is registered.
const ServiceName = "Agent"

// Methods of an agent.
const (
	methodPlace   = ServiceName + ".Place"
	methodNotices = ServiceName + ".Notices"
	methodOutcome = ServiceName + ".Outcome"
	methodCancel  = ServiceName + ".Cancel"
)

// WriteTimeout is the time limit for one write of a message, on both sides.
const WriteTimeout = 2 * clock.Second

// Client sends messages to one agent over one connection. It cannot be used after a connection error.
type Client struct {
	rpc *rpc.Client
}

// NewClient returns a client on conn, which it owns.
func NewClient(conn net.Conn) *Client {
	return &Client{rpc: rpc.NewClient(network.LimitWrites(conn, WriteTimeout))}
}

// Close closes the connection; calls under way return errors.
func (c *Client) Close() {
	// An error only means that it was closed before.
	_ = c.rpc.Close()
}

// Place sends tickets to the agent and withdraws others.
func (c *Client) Place(ctx context.Context, args *PlaceArgs) (*PlaceReply, error) {
	reply := &PlaceReply{}
	return reply, c.call(ctx, methodPlace, args, reply)
}

// Notices waits for later verdicts.
func (c *Client) Notices(ctx context.Context, args *NoticeArgs) (*NoticeReply, error) {
	reply := &NoticeReply{}
	return reply, c.call(ctx, methodNotices, args, reply)
}

// Outcome queries the outcome of a grant, which closes the grant if it was unused.
func (c *Client) Outcome(ctx context.Context, args *OutcomeArgs) (*OutcomeReply, error) {
	reply := &OutcomeReply{}
	return reply, c.call(ctx, methodOutcome, args, reply)
}

// Cancel stops the work of a grant whose caller has disconnected.
func (c *Client) Cancel(ctx context.Context, args *OutcomeArgs) error {
	return c.call(ctx, methodCancel, args, &EmptyReply{})
}

// EmptyReply is the reply of a message that needs none.
type EmptyReply struct{}

// call makes one call. If ctx ends first, it returns an error of kind errors.Timeout; net/rpc may still write to reply
// afterwards.
func (c *Client) call(ctx context.Context, method string, args, reply any) error {
	call := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return fmt.Errorf("calling %s: %w", method, call.Error)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("calling %s: %w: %w", method, errors.Timeout, ctx.Err())
	}
}
