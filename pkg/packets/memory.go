package packets

import (
	"net"
	"net/netip"
	"sync"
)

// Memory is an in-process datagram network for tests. It works in the virtual time of testing/synctest.
type Memory struct {
	mu      sync.Mutex
	sockets map[netip.AddrPort]*memorySocket
	// loses reports whether a datagram is lost; nil if none is. Senders call it without the lock, also concurrently.
	loses func(from, to netip.AddrPort, kind Kind) bool
}

// NewMemory returns a network without sockets that loses nothing.
func NewMemory() *Memory {
	return &Memory{sockets: make(map[netip.AddrPort]*memorySocket)}
}

// Lose sets which datagrams are lost; nil loses none.
func (m *Memory) Lose(loses func(from, to netip.AddrPort, kind Kind) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loses = loses
}

// Socket opens a socket at an address and replaces any earlier one there.
func (m *Memory) Socket(at netip.AddrPort) Socket {
	m.mu.Lock()
	defer m.mu.Unlock()
	const bufferSize = 4096 // datagrams that were not read yet
	s := &memorySocket{net: m, at: at, arriving: make(chan memoryDatagram, bufferSize), closed: make(chan struct{})}
	m.sockets[at] = s
	return s
}

// memoryDatagram is a datagram as received; body includes the kind.
type memoryDatagram struct {
	from netip.AddrPort
	body []byte
}

// memorySocket is a socket of a Memory network.
type memorySocket struct {
	net      *Memory
	at       netip.AddrPort
	arriving chan memoryDatagram
	closed   chan struct{}
	once     sync.Once // closes closed
}

// ReadFromUDPAddrPort waits for a datagram, or until the socket is closed. What does not fit into b is cut off.
func (s *memorySocket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-s.arriving:
		return copy(b, d.body), d.from, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort never blocks and never fails: a datagram that is lost, or has no receiver, counts as sent.
func (s *memorySocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.net.mu.Lock()
	peer, loses := s.net.sockets[to], s.net.loses
	s.net.mu.Unlock()
	if peer == nil || loses != nil && loses(s.at, to, Kind(b[0])) {
		return len(b), nil
	}
	select {
	case peer.arriving <- memoryDatagram{from: s.at, body: append([]byte(nil), b...)}:
	default: // lost, as with a full receive buffer
	}
	return len(b), nil
}

func (s *memorySocket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}
