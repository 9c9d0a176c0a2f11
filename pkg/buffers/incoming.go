package buffers

import "cmp"

// Incoming is what one exchange holds of an answer while it can't be passed on: its head, or an event without its end.
// The lock of its account guards it.
type Incoming struct {
	// BreakOff ends the exchange, which held so many bytes; it is called without a lock.
	BreakOff func(held int)

	held    int // bytes
	dropped int // bytes that it held when it was dropped; 0 unless it was
}

// HoldIncoming counts n more bytes of an exchange. If all exchanges together exceed their bound, it drops those that hold
// most: bytes without an end are more than those of a sound answer. It returns the dropped exchanges, which have to be
// broken off and may include this one. It reports false if this one is dropped, now or before.
func (a *Account) HoldIncoming(in *Incoming, n int) (largest []*Incoming, held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.dropped > 0 {
		return nil, false
	}
	in.held += n
	a.incoming += n
	a.exchanges[in] = struct{}{}
	return a.dropLargest(), in.dropped == 0
}

// dropLargest drops the exchanges that hold most, until the rest is within the bound. The lock is held.
func (a *Account) dropLargest() []*Incoming {
	var dropped []*Incoming
	for a.incoming > a.limits.maxIncoming() && len(a.exchanges) > 0 {
		var largest *Incoming
		for in := range a.exchanges {
			if largest == nil || in.held > largest.held {
				largest = in
			}
		}
		largest.dropped = largest.held
		a.releaseIncoming(largest, largest.held)
		dropped = append(dropped, largest)
	}
	return dropped
}

// maxIncoming returns the bound of answers that can't be passed on yet.
func (l *Limits) maxIncoming() int { return cmp.Or(l.Incoming, defaultIncoming) }

// ReleaseIncoming takes back n bytes that HoldIncoming has counted, unless the exchange was dropped.
func (a *Account) ReleaseIncoming(in *Incoming, n int) {
	if n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.dropped == 0 {
		a.releaseIncoming(in, n)
	}
}

// DropIncoming takes back all that HoldIncoming has counted for an exchange.
func (a *Account) DropIncoming(in *Incoming) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseIncoming(in, in.held)
}

// releaseIncoming is ReleaseIncoming with the lock held.
func (a *Account) releaseIncoming(in *Incoming, n int) {
	in.held -= n
	a.incoming -= n
	if in.held == 0 {
		delete(a.exchanges, in)
	}
}

// BreakOffIncoming breaks off the exchanges that an account has dropped.
func BreakOffIncoming(dropped []*Incoming) {
	for _, in := range dropped {
		in.BreakOff(in.dropped)
	}
}
