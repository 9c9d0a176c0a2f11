package network

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"quaydock/pkg/clock"
)

// TransportOptions say how an HTTP transport makes and keeps connections.
type TransportOptions struct {
	// DialTimeout bounds the making of a connection; 0 leaves it to the call.
	DialTimeout clock.Millis
	// DialError, if set, is wrapped into the error of a failed dial: then
	// nothing has been sent.
	DialError error
	// IdlePerHost is how many idle connections to one address are kept, and
	// IdleAfter for how long; 0 means the library's number and for ever.
	IdlePerHost int
	IdleAfter   clock.Millis
	// Wrap, if set, may replace a new connection.
	Wrap func(net.Conn) net.Conn
}

// NewTransport returns an HTTP transport over reach.
func NewTransport(reach Network, o TransportOptions) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return o.dial(ctx, reach, address)
		},
		MaxIdleConnsPerHost: o.IdlePerHost,
		IdleConnTimeout:     o.IdleAfter.Duration(),
		DisableCompression:  true,
	}
}

func (o *TransportOptions) dial(ctx context.Context, reach Network, address string) (net.Conn, error) {
	if o.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.DialTimeout.Duration())
		defer cancel()
	}
	conn, err := reach.Dial(ctx, address)
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
