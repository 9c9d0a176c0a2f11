package ingress

import (
	"context"
	"errors"
	"net"
	"syscall"

	"quaydock/pkg/network"
)

// errCallerDisconnected is why a request is not sent whose caller's connection has ended.
var errCallerDisconnected = errors.New("caller's connection is closed")

// callerDisconnected reports whether the caller of a request has ended its connection. net/http's background
// reader detects that too, but only once it is scheduled: of 60 callers that had left before their connections
// were accepted from the backlog, the requests of 5 to 9 were sent to a target meanwhile, and up to 19 after a
// shortage of descriptors.
func callerDisconnected(ctx context.Context) bool {
	return peek(network.ConnOf(ctx)) == peekEnd
}

// hasData reports whether a connection has unread data.
func hasData(c net.Conn) bool {
	return peek(c) == peekData
}

// peeked is the result of peeking at a connection.
type peeked int

const (
	peekNothing peeked = iota // also if there is no socket, as in tests
	peekData
	peekEnd // its caller has closed or reset it, or this entry has closed it
)

// peek inspects a connection without blocking or consuming data.
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
	// Control does not wait for a pending reader, as RawConn.Read would.
	if err := raw.Control(func(descriptor uintptr) { seen = peekSocket(int(descriptor)) }); err != nil {
		return peekEnd // closed locally: no answer can be written to it
	}
	return seen
}

// peekSocket peeks at one byte of a socket without blocking. Errors other than a reset count as nothing.
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
