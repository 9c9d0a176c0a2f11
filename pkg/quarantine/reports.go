package quarantine

import (
	"net/netip"
	"sync"

	"quaydock/pkg/clock"
)

const (
	// reportSends is how many times a new report is sent to the other entries, since datagrams may be lost, and
	// reportInterval the pause between. Reports that the store holds are also read from there.
	reportSends    = 3
	reportInterval = 150 * clock.Millisecond
	// maxMessageBytes keeps a message within a datagram. maxMessages limits the messages sent to each entry at once;
	// the rest follows after reportInterval. If hundreds of targets are lost together, thousands of requests have a
	// target end each.
	maxMessageBytes = 1200
	maxMessages     = 16
	// endOverhead and recordOverhead are the bytes that a target end and a record take in addition to their names.
	endOverhead    = 16
	recordOverhead = 40
)

// targetEnds is the message that reports records of requests, partEnds the one that reports records of parts.
type (
	targetEnds struct {
		_       struct{} `cbor:",toarray"`
		Records []requestReport
	}
	partEnds struct {
		_       struct{} `cbor:",toarray"`
		Records []partReport
	}
)

// reportQueue holds what is to be reported to the other entries.
type reportQueue struct {
	wake chan struct{} // has room for one signal, that something was added

	mu      sync.Mutex
	pending map[Digest]int // sends that are left
}

func newReportQueue() *reportQueue {
	return &reportQueue{wake: make(chan struct{}, 1), pending: make(map[Digest]int)}
}

// add queues a record to be sent soon, and repeated.
func (n *reportQueue) add(d Digest) {
	n.mu.Lock()
	n.pending[d] = reportSends
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default: // the sender has been woken already
	}
}

// take returns the messages to be sent now, and whether more must be sent later. of returns the present record of a
// digest; those that no longer have one are dropped. A digest for which there is no more room keeps its sends for the
// next call.
func (n *reportQueue) take(of func(Digest) (Record, bool)) (messages [][]Record, more bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	size := maxMessageBytes
	for d, times := range n.pending {
		record, known := of(d)
		if !known {
			delete(n.pending, d)
			continue
		}
		length := record.bytes()
		if size+length > maxMessageBytes {
			if len(messages) == maxMessages {
				return messages, true
			}
			messages, size = append(messages, nil), 0
		}
		last := &messages[len(messages)-1]
		*last = append(*last, record)
		size += length
		n.pending[d] = times - 1
		if times <= 1 {
			delete(n.pending, d)
		}
	}
	return messages, len(n.pending) > 0
}

// bytes returns the maximum size of a record in a message.
func (r *Record) bytes() int {
	n := recordOverhead + len(r.Account) + len(r.Route) + len(r.Service)
	for _, e := range r.Ends {
		n += endOverhead + len(e.Incarnation.Target)
	}
	return n
}

// sendReports sends what is new. It reports whether more must be sent later.
func (g *Guard) sendReports() bool {
	messages, more := g.reports.take(g.register.Get)
	if len(messages) == 0 {
		return more
	}
	for _, records := range messages {
		for _, m := range splitByKind(records) {
			for _, to := range g.peers.Others() {
				g.link.Send(to, m.kind, m.message)
			}
		}
	}
	return more
}

// receiveReports adds what another entry reports. It is not passed on, since the other entry sends it to all.
func (g *Guard) receiveReports(_ netip.AddrPort, m *targetEnds) {
	now := g.Clock.Now()
	for i := range m.Records {
		record := m.Records[i].record()
		g.logChange(g.register.Join(now, &record))
	}
}

// receivePartReports adds what another entry reports of parts. An entry that has just started, or was cut off, and lacks
// something is told by the owner of the part.
func (g *Guard) receivePartReports(from netip.AddrPort, m *partEnds) {
	now := g.Clock.Now()
	var lacking []Record
	for i := range m.Records {
		record := m.Records[i].record()
		change := g.register.Join(now, &record)
		g.logChange(change)
		if !record.covers(&change.Record) && g.ownsRow(record.Digest) {
			lacking = append(lacking, change.Record)
		}
	}
	for _, reply := range splitByKind(lacking) {
		g.link.Send(from, reply.kind, reply.message)
	}
}
