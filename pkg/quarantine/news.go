package quarantine

import (
	"net/netip"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/packets"
)

const (
	// tellTimes is how often what is new is told to the others, as datagrams may be lost, and
	// tellAgain the pause between. What the store keeps they read besides.
	tellTimes = 3
	tellAgain = 150 * clock.Millisecond
	// newsBytes keeps a message within a datagram, and mostMessages bounds what is sent at once:
	// where hundreds of targets are lost together, thousands of requests have an end each.
	newsBytes    = 1200
	mostMessages = 16
	// endBytes and recordBytes are what an end and a record take beside their names.
	endBytes    = 16
	recordBytes = 40
)

// ends tells records.
type ends struct {
	_       struct{} `cbor:",toarray"`
	Records []Record
}

// news is what the others are to be told.
type news struct {
	wake chan struct{}

	mu  sync.Mutex
	due map[Digest]int // how often still
}

func newNews() *news {
	return &news{wake: make(chan struct{}, 1), due: make(map[Digest]int)}
}

// add has a record told, soon and some times more.
func (n *news) add(d Digest) {
	n.mu.Lock()
	n.due[d] = tellTimes
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default: // it has been told already
	}
}

// take returns what is to be told now, as messages, and whether more is due later.
func (n *news) take(of func(Digest) (Record, bool)) (messages []ends, more bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	size := newsBytes
	for d, times := range n.due {
		record, known := of(d)
		if !known {
			delete(n.due, d)
			continue
		}
		length := record.bytes()
		if size+length > newsBytes {
			if len(messages) == mostMessages {
				return messages, true
			}
			messages, size = append(messages, ends{}), 0
		}
		last := &messages[len(messages)-1]
		last.Records = append(last.Records, record)
		size += length
		n.due[d] = times - 1
		if times <= 1 {
			delete(n.due, d)
		}
	}
	return messages, len(n.due) > 0
}

// bytes is how many a record takes in a message at the most.
func (r *Record) bytes() int {
	n := recordBytes + len(r.Account) + len(r.Route)
	for _, e := range r.Ends {
		n += endBytes + len(e.Incarnation.Target)
	}
	return n
}

// tellOthers sends what is new; it reports whether more is due.
func (g *Guard) tellOthers() bool {
	messages, more := g.news.take(g.register.Get)
	if len(messages) == 0 {
		return more
	}
	for _, to := range g.peers.Others() {
		for _, m := range messages {
			g.link.Send(to, packets.KindTargetEnds, m)
		}
	}
	return more
}

// heard takes what another entry tells.
func (g *Guard) heard(_ netip.AddrPort, m *ends) {
	now := g.Clock.Now()
	for i := range m.Records {
		g.tell(g.register.Join(now, &m.Records[i]))
	}
}
