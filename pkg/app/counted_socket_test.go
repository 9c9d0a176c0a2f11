package app

import (
	"net/netip"

	"quaydock/pkg/packets"
)

// countedSocket counts the bytes that are sent through a socket, by datagram kind.
type countedSocket struct {
	packets.Socket
	bed *crashBed
}

// counted returns a socket of an entry whose bytes the bed counts.
func (b *crashBed) counted(s packets.Socket) packets.Socket { return countedSocket{s, b} }

func (s countedSocket) WriteToUDPAddrPort(body []byte, to netip.AddrPort) (int, error) {
	s.bed.mu.Lock()
	s.bed.bytes[packets.Kind(body[0])] += len(body)
	s.bed.mu.Unlock()
	return s.Socket.WriteToUDPAddrPort(body, to)
}

// sentBytes returns how many bytes the entries have sent in datagrams of a kind.
func (b *crashBed) sentBytes(kind packets.Kind) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes[kind]
}
