// Package packets sends small and frequent messages that may be lost between processes, one datagram
// for each. The sender repeats or replaces a lost message within milliseconds, while in a stream a lost
// segment would delay everything behind it for a fifth of a second.
package packets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"quaydock/pkg/common"
)

// Kind is the type of a message; it is the first byte of a datagram.
type Kind byte

// maxDatagram is the maximum length of a datagram in bytes: it fits into one Ethernet frame.
const maxDatagram = 1400

// Socket sends and receives datagrams, with the methods of *net.UDPConn. Close ends a read that waits, with
// net.ErrClosed.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Handler handles the body of a message. The body is overwritten once the handler returns.
type Handler func(from netip.AddrPort, body []byte)

// Link sends and receives the datagrams of a process.
type Link struct {
	common.Common
	socket   Socket
	handlers map[Kind]Handler // not changed after Run has begun
}

// Open listens for datagrams at an address (IP:port).
func Open(c common.Common, address string) (*Link, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parsing datagram address: %w", err)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listening for datagrams: %w", err)
	}
	return NewLink(c, socket), nil
}

// NewLink returns a link over a socket.
func NewLink(c common.Common, socket Socket) *Link {
	return &Link{Common: c, socket: socket, handlers: make(map[Kind]Handler)}
}

// Handle sets the handler of a kind. It must be called before Run. The handler is called from the
// goroutine of Run and must not block.
func (l *Link) Handle(kind Kind, handler Handler) {
	l.handlers[kind] = handler
}

// Run receives datagrams until ctx ends, and then closes the socket.
func (l *Link) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = l.socket.Close() })()
	buffer := make([]byte, maxDatagram+1)
	for ctx.Err() == nil {
		n, from, err := l.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // ICMP error: an earlier datagram had no receiver
		case n < 1 || n > maxDatagram:
			l.Metrics.Links.Add("datagrams_malformed", 1)
			continue
		}
		if handler := l.handlers[Kind(buffer[0])]; handler != nil {
			handler(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[1:n])
		}
	}
}

// Send sends a message, which may be lost. Errors are counted and logged at debug level, also that a message is too
// long for a datagram.
func (l *Link) Send(to netip.AddrPort, kind Kind, message any) {
	body, err := cbor.Marshal(message)
	if err == nil && len(body) >= maxDatagram {
		err = errors.New("message does not fit into one datagram")
	}
	if err == nil {
		_, err = l.socket.WriteToUDPAddrPort(append([]byte{byte(kind)}, body...), to)
	}
	if err != nil {
		l.Metrics.Links.Add("datagrams_not_sent", 1)
		l.Log.WithError(err).WithField("to", to.String()).Debug("datagram not sent")
	}
}

// Receive returns a handler that decodes messages of type M and passes them to handle. Malformed ones are
// counted and dropped.
func Receive[M any](l *Link, handle func(from netip.AddrPort, message *M)) Handler {
	return func(from netip.AddrPort, body []byte) {
		var message M
		if err := cbor.Unmarshal(body, &message); err != nil {
			l.Metrics.Links.Add("datagrams_malformed", 1)
			return
		}
		handle(from, &message)
	}
}
