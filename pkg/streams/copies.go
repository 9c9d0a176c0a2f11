package streams

import (
	"context"
	"net/netip"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/packets"
)

const (
	// batchDelay is how long after a message further origins wait for others, to be sent together.
	batchDelay = 5 * clock.Millisecond
	// resendAfter is when copies that were not confirmed are sent again, and maxCopySends how often they are sent.
	resendAfter  = 25 * clock.Millisecond
	maxCopySends = 6
)

// copies are the origins that other entries are to keep.
type copies struct {
	wake chan struct{} // signalled when there is something to be sent

	mu      sync.Mutex
	number  uint64 // of the newest message; it starts at random at each start of the process
	pending map[netip.AddrPort][]keyedOrigin
	unacked map[uint64]*sentCopies // by number
}

// keyedOrigin is the origin of one stream.
type keyedOrigin struct {
	key    Key
	origin Origin
}

// sentCopies is a message that was not confirmed yet.
type sentCopies struct {
	to      netip.AddrPort
	message *copyMessage
	sentAt  clock.Millis
	sends   int
}

func newCopies(number uint64) *copies {
	return &copies{wake: make(chan struct{}, 1), number: number, pending: make(map[netip.AddrPort][]keyedOrigin), unacked: make(map[uint64]*sentCopies)}
}

// add queues the origin of a stream to be sent to some entries.
func (c *copies) add(holders []netip.AddrPort, key Key, origin Origin) {
	c.mu.Lock()
	for _, to := range holders {
		c.pending[to] = append(c.pending[to], keyedOrigin{key, origin})
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // signalled already
	}
}

// take returns the messages that are due, and whether others wait to be confirmed. Messages that were sent maxCopySends
// times are dropped, and their number is returned.
func (c *copies) take(now clock.Millis) (due []*sentCopies, waiting bool, dropped int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, list := range c.pending {
		for len(list) > 0 {
			c.number++
			message, rest := nextMessage(c.number, list)
			c.unacked[c.number] = &sentCopies{to: to, message: message}
			list = rest
		}
	}
	clear(c.pending)
	for number, sent := range c.unacked {
		switch {
		case sent.sends > 0 && now-sent.sentAt < resendAfter:
		case sent.sends == maxCopySends:
			delete(c.unacked, number)
			dropped++
		default:
			sent.sends++
			sent.sentAt = now
			due = append(due, sent)
		}
	}
	return due, len(c.unacked) > 0, dropped
}

// nextMessage returns a message with as many of the origins as fit, at least one, and the others.
func nextMessage(number uint64, list []keyedOrigin) (m *copyMessage, rest []keyedOrigin) {
	m = &copyMessage{Number: number}
	places := make(map[Origin]int)
	size := 0
	for i, it := range list {
		place, known := places[it.origin]
		size += itemBytes
		if !known {
			size += it.origin.bytes()
		}
		if size > maxMessageBytes && i > 0 {
			return m, list[i:]
		}
		if !known {
			place = len(m.Origins)
			places[it.origin] = place
			m.Origins = append(m.Origins, it.origin)
		}
		m.Items = append(m.Items, copyItem{Key: it.key, Origin: place})
	}
	return m, nil
}

// confirmed records that an entry has taken a message.
func (c *copies) confirmed(from netip.AddrPort, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent := c.unacked[number]; sent != nil && sent.to == from {
		delete(c.unacked, number)
	}
}

// sendCopies sends what is due until ctx ends.
func (o *Origins) sendCopies(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-o.copies.wake:
		case <-ctx.Done():
			return
		}
		for o.sendDue() && ctx.Err() == nil {
			clock.Pause(ctx, batchDelay)
		}
	}
}

// sendDue sends the messages that are due, and reports whether others wait to be confirmed.
func (o *Origins) sendDue() (waiting bool) {
	due, waiting, dropped := o.copies.take(o.Clock.Now())
	for _, sent := range due {
		o.link.Send(sent.to, packets.KindOriginCopy, sent.message)
	}
	if dropped > 0 {
		o.Metrics.Links.Add("origin_copies_not_confirmed", int64(dropped))
	}
	return waiting
}

// receiveCopy keeps origins for another entry.
func (o *Origins) receiveCopy(from netip.AddrPort, m *copyMessage) {
	now := o.Clock.Now()
	for _, it := range m.Items {
		if it.Origin >= 0 && it.Origin < len(m.Origins) {
			o.held.add(now, it.Key, m.Origins[it.Origin])
		}
	}
	o.link.Send(from, packets.KindOriginCopyTaken, copyTaken{Number: m.Number})
}

// receiveTaken records that another entry keeps origins.
func (o *Origins) receiveTaken(from netip.AddrPort, m *copyTaken) { o.copies.confirmed(from, m.Number) }
