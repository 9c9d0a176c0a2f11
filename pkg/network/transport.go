package network

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"quaydock/pkg/clock"
)

// TransportOptions describe how an HTTP transport makes and keeps connections.
type TransportOptions struct {
	// DialTimeout limits the time to make a connection; 0 means no limit but the call's.
	DialTimeout clock.Millis
	// DialError, if set, is wrapped in the error of a failed dial, by which the caller knows that
	// nothing was sent.
	DialError error
	// IdlePerHost is the maximum number of idle connections to one address, and
	// IdleAfter the time after which they are closed; 0 means net/http's default number and no limit of time.
	IdlePerHost int
	IdleAfter   clock.Millis
	// SingleUse has each connection closed behind its first call, so that nothing that comes late on it is taken for the
	// answer to another one.
	SingleUse bool
	// Wrap, if set, may replace a new connection.
	Wrap func(net.Conn) net.Conn
}

// maxHeadBytes limits the head of an answer, with the interim ones before it.
const maxHeadBytes = 128 << 10

// NewTransport returns an HTTP transport that dials by way of network.
func NewTransport(network Network, o TransportOptions) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return o.dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: o.IdlePerHost,
		IdleConnTimeout:     o.IdleAfter.Duration(),
		DisableCompression:  true,
		DisableKeepAlives:   o.SingleUse,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// dial makes a connection within DialTimeout. A failure wraps DialError if that is set.
func (o *TransportOptions) dial(ctx context.Context, network Network, address string) (net.Conn, error) {
	if o.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.DialTimeout.Duration())
		defer cancel()
	}
	conn, err := network.Dial(ctx, address)
	switch {
	case err != nil && o.DialError != nil:
		return nil, fmt.Errorf("%w: %w", o.DialError, err)
	case err != nil:
		return nil, fmt.Errorf("dialling: %w", err)
	case o.Wrap != nil:
		return o.Wrap(conn), nil
	default:
		return conn, nil
	}
}
