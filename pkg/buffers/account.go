// Package buffers keeps account of the bytes that an entry holds for callers and targets, and decides which caller's
// answer is broken off when they exceed their bound. It answers the load of many callers that pause while their answers
// go on, and of many long request bodies at once. Only bytes in the process are counted, not those in the kernel's
// socket buffers.
package buffers

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Limits are the bounds of an account, in bytes.
type Limits struct {
	// Total is the bound of everything that is held.
	Total int `json:"total_bytes"`
	// Exchange is how much one answer may be read ahead of its caller.
	Exchange int `json:"exchange_bytes"`
	// Bodies is the bound of all request bodies together.
	Bodies int `json:"body_bytes"`
	// Incoming is the bound of answers that can't be passed on yet, 0 for a default. They are no part of Total.
	Incoming int `json:"incoming_bytes"`
}

const (
	mebibyte = 1 << 20

	// totalDivisor gives the part of the VM's memory that may be held. The heap may take three fifths of that memory; a
	// third of the heap is for what is held, and the rest for connections, tables and the planners.
	totalDivisor = 5
	// defaultTotal applies if the VM's memory is not known.
	defaultTotal = 64 * mebibyte
	// maxExchange is the most that one answer is read ahead. It holds what a model streams in many minutes.
	maxExchange = mebibyte
	// minReaders is how many callers that read nothing at all fit into the account.
	minReaders = 16
	// bodiesDivisor gives the part of the account that request bodies may take, so that neither they nor answers can
	// take all of it.
	bodiesDivisor = 2
	// incomingDivisor gives the part of the VM's memory that answers may take which can't be passed on yet. Parsing one
	// takes several times its bytes for a moment.
	incomingDivisor = 20
	// defaultIncoming applies if the VM's memory is not known.
	defaultIncoming = 16 * mebibyte
)

// LimitsFor returns the limits for a VM with so many MiB of memory; 0 if that is not known.
func LimitsFor(megabytes int) Limits {
	total, incoming := defaultTotal, defaultIncoming
	if megabytes > 0 {
		total = megabytes * mebibyte / totalDivisor
		incoming = megabytes * mebibyte / incomingDivisor
	}
	return Limits{Total: total, Exchange: min(maxExchange, total/minReaders), Bodies: total / bodiesDivisor, Incoming: incoming}
}

// Account counts the bytes held. It is safe for concurrent use.
type Account struct {
	limits Limits

	mu      sync.Mutex // guards the fields below, and those of all readers
	unsent  int        // bytes of answers of which their callers have got nothing yet
	untaken int        // bytes that callers have not taken
	bodies  int        // bytes of request bodies
	// incoming is the bytes of answers that can't be passed on yet. They are no part of the total.
	incoming  int
	exchanges map[*Incoming]struct{} // that hold such bytes
	waiting   map[*Reader]struct{}
}

// Usage is what an account holds.
type Usage struct {
	Answers int `json:"answer_bytes"`
	Bodies  int `json:"body_bytes"`
	Readers int `json:"readers"` // with bytes held
	// Incoming is the bytes of answers that can't be passed on yet: heads, and events without their ends.
	Incoming int `json:"incoming_bytes"`
}

// NewAccount returns an account that holds nothing.
func NewAccount(limits Limits) *Account {
	return &Account{limits: limits, exchanges: make(map[*Incoming]struct{}), waiting: make(map[*Reader]struct{})}
}

// Limits returns the bounds of the account.
func (a *Account) Limits() Limits { return a.limits }

// Usage returns what is held now.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage()
}

// usage is Usage with the lock held.
func (a *Account) usage() Usage {
	return Usage{Answers: a.unsent + a.untaken, Bodies: a.bodies, Readers: len(a.waiting), Incoming: a.incoming}
}

// tiersWithReserve is the number of tiers below the highest whose bodies leave a part of the bound to higher ones, and
// tierReserveDivisor that part for each tier.
const (
	tiersWithReserve   = 3
	tierReserveDivisor = 8
)

// MaxBody returns how many bytes the bodies of a tier may take in all. A body of that length or more never fits.
func (a *Account) MaxBody(tier ids.TierRank) int {
	return a.limits.Bodies - a.limits.Bodies/tierReserveDivisor*min(int(tier), tiersWithReserve)
}

// HoldBody counts n bytes of a request's body. It reports false, and counts nothing, if the bodies would exceed their
// bound, or everything its own even without the callers that are slow to read. Lower tiers leave a part of the bodies'
// bound to higher ones, and so are refused before them. Tier 0 is the highest. It also returns the callers
// whose answers have to be broken off.
func (a *Account) HoldBody(now clock.Millis, tier ids.TierRank, n int) (slowest []*Reader, held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// n may be any length that a caller states, so nothing is added to it.
	if n > a.MaxBody(tier)-a.bodies || n > a.limits.Total-a.unsent-a.bodies {
		return nil, false
	}
	a.bodies += n
	return a.dropSlowest(now), true
}

// ReleaseBody takes back what HoldBody counted.
func (a *Account) ReleaseBody(n int) {
	if n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodies -= n
}

// HoldAnswer counts n bytes of an answer that is read before any of it goes to its caller. It reports false, and counts
// nothing, if they would not fit even without the callers that are slow to read, as breaking these off would not help. It
// also returns the callers whose answers have to be broken off.
func (a *Account) HoldAnswer(now clock.Millis, n int) (slowest []*Reader, held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > a.limits.Total-a.unsent-a.bodies {
		return nil, false
	}
	a.unsent += n
	return a.dropSlowest(now), true
}

// ReleaseAnswer takes back what HoldAnswer counted.
func (a *Account) ReleaseAnswer(n int) {
	if n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unsent -= n
}

// Hold counts n bytes that wait for a caller. It returns the callers whose answers have to be broken off, which may
// include this one; they count as holding nothing from now on.
func (a *Account) Hold(now clock.Millis, r *Reader, n int) (slowest []*Reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.dropped {
		return nil
	}
	if r.held == 0 {
		r.takenAt, r.behindSince = now, now
		a.waiting[r] = struct{}{}
	}
	r.held += n
	a.untaken += n
	return a.dropSlowest(now)
}

// Take counts n bytes that a caller has taken.
func (a *Account) Take(now clock.Millis, r *Reader, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.dropped {
		return
	}
	r.takenAt = now
	r.held -= n
	a.untaken -= n
	if r.held == 0 {
		delete(a.waiting, r)
	}
}

// Drop releases everything that a caller has not taken. The reader can't be used after that.
func (a *Account) Drop(r *Reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(r)
}

// drop is Drop with the lock held.
func (a *Account) drop(r *Reader) {
	if r.dropped {
		return
	}
	r.dropped = true
	a.untaken -= r.held
	delete(a.waiting, r)
}

// total returns how many bytes are held. The lock is held.
func (a *Account) total() int { return a.unsent + a.untaken + a.bodies }

// dropSlowest drops the slowest readers until the account is within its bound, or none is left. The lock is held.
func (a *Account) dropSlowest(now clock.Millis) []*Reader {
	var dropped []*Reader
	for a.total() > a.limits.Total && len(a.waiting) > 0 {
		var slowest *Reader
		for r := range a.waiting {
			if slowest == nil || r.slowness(now) > slowest.slowness(now) {
				slowest = r
			}
		}
		slowest.end = End{ReaderState: slowest.state(now), Total: a.total()}
		a.drop(slowest)
		dropped = append(dropped, slowest)
	}
	return dropped
}
