// Package packets is how processes of the system tell one another what is
// small, frequent and may be lost: one datagram a message. A lost one is
// repeated or outdated by whoever sent it within milliseconds, where a stream
// would hold back everything behind it for a fifth of a second.
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

// Kind tells the messages apart; it is the first byte of a datagram.
type Kind byte

// maxDatagram keeps messages within one frame of an ordinary link.
const maxDatagram = 1400

// Socket sends and receives datagrams. A *net.UDPConn is one.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Handler takes the body of a message.
type Handler func(from netip.AddrPort, body []byte)

// Link is a process's place for datagrams.
type Link struct {
	common.Common
	socket   Socket
	handlers map[Kind]Handler
}

// Open listens for datagrams at an address (IP:port).
func Open(c common.Common, address string) (*Link, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address for datagrams: %w", err)
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

// Handle sets the handler of a kind; it is called before Run, and the handler
// then by Run's goroutine, so that it must not wait.
func (l *Link) Handle(kind Kind, handler Handler) {
	l.handlers[kind] = handler
}

// Run receives until ctx ends.
func (l *Link) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = l.socket.Close() })()
	buffer := make([]byte, maxDatagram+1)
	for ctx.Err() == nil {
		n, from, err := l.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // an earlier datagram found no one
		case n < 1 || n > maxDatagram:
			l.Metrics.Links.Add("datagrams_malformed", 1)
			continue
		}
		if handler := l.handlers[Kind(buffer[0])]; handler != nil {
			handler(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[1:n])
		}
	}
}

// Send sends a message; it may be lost.
func (l *Link) Send(to netip.AddrPort, kind Kind, message any) {
	body, err := cbor.Marshal(message)
	if err == nil && len(body) >= maxDatagram {
		err = errors.New("message too long")
	}
	if err == nil {
		_, err = l.socket.WriteToUDPAddrPort(append([]byte{byte(kind)}, body...), to)
	}
	if err != nil {
		l.Metrics.Links.Add("datagrams_not_sent", 1)
		l.Log.WithError(err).WithField("to", to.String()).Debug("datagram not sent")
	}
}

// Receive returns a handler that decodes messages of one type.
func Receive[M any](l *Link, take func(from netip.AddrPort, message *M)) Handler {
	return func(from netip.AddrPort, body []byte) {
		var message M
		if err := cbor.Unmarshal(body, &message); err != nil {
			l.Metrics.Links.Add("datagrams_malformed", 1)
			return
		}
		take(from, &message)
	}
}
