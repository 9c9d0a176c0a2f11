// Package gate decides, at one agent, which ticket gets the next free slot of the
// target, and keeps the outcome of every grant. It does no I/O, starts no
// goroutine and reads no clock: the time is an argument, the decision a result.
package gate

import (
	"container/heap"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/fairshare"
	"quaydock/pkg/ids"
)

// Session identifies one connection from an entry, for as long as it lasts.
type Session int64

// queuedTicket is a ticket in the queue.
type queuedTicket struct {
	ticket   control.Ticket
	session  Session
	deadline clock.Millis // point in time, by the agent's clock
	arrival  uint64       // its number in the order of arrival
	index    int          // in the heap of its account
	account  *accountQueue
}

// Queue orders tickets by tier, then by fair share between accounts, then by
// deadline.
type Queue struct {
	tiers     []*tierQueue // by rank
	byRequest map[ids.Request]*queuedTicket
	work      ids.Tokens   // of all queued tickets
	tierWork  []ids.Tokens // by rank, of the tickets of that tier alone
	arrivals  uint64       // how many tickets have been pushed
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byRequest: make(map[ids.Request]*queuedTicket)}
}

// tierQueue holds the queues of the accounts of one tier, the least served first.
type tierQueue struct {
	accounts indexedHeap[*accountQueue]    // those with tickets
	byName   map[ids.Account]*accountQueue // the same
	shares   *fairshare.Tier               // charged with the work of the tickets
}

// accountQueue holds the tickets of one account in one tier.
type accountQueue struct {
	share   *fairshare.Account
	tickets indexedHeap[*queuedTicket]
	index   int // in the heap of its tier
}

// tier returns the queue of a tier, after adding those that are missing up to its rank.
func (q *Queue) tier(rank ids.TierRank) *tierQueue {
	for len(q.tiers) <= int(rank) {
		q.tiers = append(q.tiers, &tierQueue{byName: make(map[ids.Account]*accountQueue), shares: fairshare.NewTier(0)})
		q.tierWork = append(q.tierWork, 0)
	}
	return q.tiers[rank]
}

// Len returns how many tickets are queued.
func (q *Queue) Len() int {
	return len(q.byRequest)
}

// Work returns the estimated work of the queued tickets.
func (q *Queue) Work() ids.Tokens {
	return q.work
}

// Has reports whether a ticket of request is queued.
func (q *Queue) Has(request ids.Request) bool {
	return q.byRequest[request] != nil
}

// WorkAtOrAbove returns the queued work of the tiers down to rank.
func (q *Queue) WorkAtOrAbove(rank ids.TierRank) ids.Tokens {
	var sum ids.Tokens
	for i, w := range q.tierWork {
		if !rank.Higher(ids.TierRank(i)) {
			sum += w
		}
	}
	return sum
}

// workByTier returns, for each tier, the queued work of that tier and those above.
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
		l = &accountQueue{share: t.shares.Account(0, ticket.Account, ticket.Weight), index: -1}
		t.byName[ticket.Account] = l
		t.shares.Join(l.share)
		heap.Push(&t.accounts, l)
	}
	q.arrivals++
	w := &queuedTicket{ticket: ticket, session: session, deadline: deadline, arrival: q.arrivals, account: l}
	heap.Push(&l.tickets, w)
	q.byRequest[ticket.Request] = w
	q.work += ticket.Work()
	q.tierWork[ticket.Tier] += ticket.Work()
}

// pop removes and returns the next ticket, or returns nil if the queue is empty. The account is charged for the
// ticket's work and one token, so that tickets without work count too.
func (q *Queue) pop() *queuedTicket {
	for _, t := range q.tiers {
		if len(t.accounts) == 0 {
			continue
		}
		l := t.accounts[0]
		w := l.tickets[0]
		t.shares.Charge(l.share, float64(w.ticket.Work()+1), w.ticket.Weight)
		heap.Fix(&t.accounts, 0)
		q.remove(w)
		return w
	}
	return nil
}

// remove removes a ticket from anywhere in the queue.
func (q *Queue) remove(w *queuedTicket) {
	t := q.tiers[w.ticket.Tier]
	l := w.account
	heap.Remove(&l.tickets, w.index)
	if len(l.tickets) == 0 {
		heap.Remove(&t.accounts, l.index)
		delete(t.byName, l.share.Name)
		t.shares.Leave(l.share)
	}
	delete(q.byRequest, w.ticket.Request)
	q.work -= w.ticket.Work()
	q.tierWork[w.ticket.Tier] -= w.ticket.Work()
}

// lowest returns the ticket to evict first: of the lowest tier, the one with
// the latest deadline of the most-served account. It returns nil if the queue is empty.
func (q *Queue) lowest() *queuedTicket {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		t := q.tiers[i]
		if len(t.accounts) == 0 {
			continue
		}
		mostServed := t.accounts[0]
		for _, l := range t.accounts {
			if mostServed.share.Served() < l.share.Served() {
				mostServed = l
			}
		}
		last := mostServed.tickets[0]
		for _, w := range mostServed.tickets {
			if last.deadline < w.deadline {
				last = w
			}
		}
		return last
	}
	return nil
}

// lowestTier returns the lowest queued tier, and whether any ticket is queued.
func (q *Queue) lowestTier() (ids.TierRank, bool) {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if len(q.tiers[i].accounts) > 0 {
			return ids.TierRank(i), true
		}
	}
	return 0, false
}

// highest returns the highest queued tier, and whether any ticket is queued.
func (q *Queue) highest() (ids.TierRank, bool) {
	for i, t := range q.tiers {
		if len(t.accounts) > 0 {
			return ids.TierRank(i), true
		}
	}
	return 0, false
}

// all returns the queued tickets in a new slice, in no particular order.
func (q *Queue) all() []*queuedTicket {
	list := make([]*queuedTicket, 0, len(q.byRequest))
	for _, w := range q.byRequest {
		list = append(list, w)
	}
	return list
}
