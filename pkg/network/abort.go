package network

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn returns the context for the requests of a connection, as ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request whose context is from WithConn, and nil of any other.
func ConnOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// ResetOnAbort returns a handler that does what next does, for a server with WithConn. If next panics, as with
// http.ErrAbortHandler, the connection of a caller of HTTP/1.0 is reset: to such a caller its end marks the end of an
// answer without a length. Other callers miss the last chunk.
func ResetOnAbort(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ended := false
		defer func() {
			if !ended && !r.ProtoAtLeast(1, 1) {
				ResetOnClose(ConnOf(r.Context()))
			}
		}()
		next.ServeHTTP(w, r)
		ended = true
	})
}

// ResetOnClose has a connection reset when it is closed. It does nothing for one that is not of the kernel.
func ResetOnClose(c net.Conn) {
	if kernel, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = kernel.SetLinger(0) // an error means that it is closed already
	}
}
