// Package gate decides, at one agent, which ticket gets the next room on the
// target, and keeps what became of every grant. It does no I/O, starts no
// goroutine and reads no clock: the time is an argument, the decision a result.
package gate

import (
	"container/heap"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
)

// Session names one connection from an entry, for as long as it lasts.
type Session int64

// waiting is a ticket in the queue.
type waiting struct {
	ticket   control.Ticket
	session  Session
	deadline clock.Millis
	arrival  uint64
	index    int
	lane     *lane
}

// Queue orders tickets by tier, then by fair share between accounts, then by
// deadline.
type Queue struct {
	tiers    []*tierQueue
	byID     map[ids.Request]*waiting
	work     ids.Tokens
	tierWork []ids.Tokens
	arrivals uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byID: make(map[ids.Request]*waiting)}
}

// tierQueue holds the lanes of one tier, the least served first.
type tierQueue struct {
	lanes   indexedHeap[*lane]
	byName  map[ids.Account]*lane
	virtual float64
}

// lane is what one account has waiting in one tier. Its service is the work
// granted so far over its weight, as in start-time fair queueing.
type lane struct {
	account ids.Account
	service float64
	tickets indexedHeap[*waiting]
	index   int
}

func (q *Queue) tier(rank ids.TierRank) *tierQueue {
	for len(q.tiers) <= int(rank) {
		q.tiers = append(q.tiers, &tierQueue{byName: make(map[ids.Account]*lane)})
		q.tierWork = append(q.tierWork, 0)
	}
	return q.tiers[rank]
}

// Len returns how many tickets wait.
func (q *Queue) Len() int {
	return len(q.byID)
}

// Work returns the estimated work that waits.
func (q *Queue) Work() ids.Tokens {
	return q.work
}

// Has reports whether a ticket of request waits.
func (q *Queue) Has(request ids.Request) bool {
	return q.byID[request] != nil
}

// WorkAtOrAbove returns the work that waits in the tiers down to rank.
func (q *Queue) WorkAtOrAbove(rank ids.TierRank) ids.Tokens {
	var sum ids.Tokens
	for i, w := range q.tierWork {
		if !rank.Higher(ids.TierRank(i)) {
			sum += w
		}
	}
	return sum
}

// workByTier returns, for each tier, the work that waits in it and above.
func (q *Queue) workByTier() []ids.Tokens {
	sums := make([]ids.Tokens, len(q.tierWork))
	var sum ids.Tokens
	for i, w := range q.tierWork {
		sum += w
		sums[i] = sum
	}
	return sums
}

// push adds a ticket.
func (q *Queue) push(session Session, ticket control.Ticket, deadline clock.Millis) {
	t := q.tier(ticket.Tier)
	l := t.byName[ticket.Account]
	if l == nil {
		l = &lane{account: ticket.Account, index: -1}
		t.byName[ticket.Account] = l
	}
	if len(l.tickets) == 0 {
		// An account that was idle starts level with the others: it neither
		// keeps a credit for its idle time nor pays for having been served.
		l.service = max(l.service, t.virtual)
		heap.Push(&t.lanes, l)
	}
	q.arrivals++
	w := &waiting{ticket: ticket, session: session, deadline: deadline, arrival: q.arrivals, lane: l}
	heap.Push(&l.tickets, w)
	q.byID[ticket.Request] = w
	q.work += ticket.Work()
	q.tierWork[ticket.Tier] += ticket.Work()
}

// pop takes the ticket that is next, or nil.
func (q *Queue) pop() *waiting {
	for _, t := range q.tiers {
		if len(t.lanes) == 0 {
			continue
		}
		l := t.lanes[0]
		w := l.tickets[0]
		t.virtual = l.service
		l.service += float64(w.ticket.Work()+1) / weightOf(&w.ticket)
		heap.Fix(&t.lanes, 0)
		q.remove(w)
		return w
	}
	return nil
}

func weightOf(t *control.Ticket) float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// remove takes w out, wherever it stands.
func (q *Queue) remove(w *waiting) {
	t := q.tiers[w.ticket.Tier]
	l := w.lane
	heap.Remove(&l.tickets, w.index)
	if len(l.tickets) == 0 {
		heap.Remove(&t.lanes, l.index)
	}
	if len(l.tickets) == 0 && l.service <= t.virtual {
		delete(t.byName, l.account)
	}
	delete(q.byID, w.ticket.Request)
	q.work -= w.ticket.Work()
	q.tierWork[w.ticket.Tier] -= w.ticket.Work()
}

// lowest returns the ticket to give up first: of the lowest tier, the one with
// the latest deadline in the most-served lane. It returns nil when empty.
func (q *Queue) lowest() *waiting {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		t := q.tiers[i]
		if len(t.lanes) == 0 {
			continue
		}
		most := t.lanes[0]
		for _, l := range t.lanes {
			if most.service < l.service {
				most = l
			}
		}
		last := most.tickets[0]
		for _, w := range most.tickets {
			if last.deadline < w.deadline {
				last = w
			}
		}
		return last
	}
	return nil
}

// lowestTier returns the lowest tier that waits, and whether any does.
func (q *Queue) lowestTier() (ids.TierRank, bool) {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if len(q.tiers[i].lanes) > 0 {
			return ids.TierRank(i), true
		}
	}
	return 0, false
}

// highest returns the highest tier that waits, and whether any does.
func (q *Queue) highest() (ids.TierRank, bool) {
	for i, t := range q.tiers {
		if len(t.lanes) > 0 {
			return ids.TierRank(i), true
		}
	}
	return 0, false
}

// all lists the tickets that wait, in no order.
func (q *Queue) all() []*waiting {
	list := make([]*waiting, 0, len(q.byID))
	for _, w := range q.byID {
		list = append(list, w)
	}
	return list
}
