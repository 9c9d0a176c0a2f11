package quota

import (
	"math"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Backlog says when callers of an account that has no allowance left are to come back: one
// after the other at the account's rate, each behind those that were sent away before. Told
// the time to the next free unit each, they all come back at once, find it taken, and come
// again: 6,000 times a second or two in a flood of 1,400 requests a second, told 30 ms.
type Backlog struct {
	mu   sync.Mutex
	ends map[ids.Account]clock.Millis // when all that were sent away could have been served
}

// NewBacklog returns a backlog without callers.
func NewBacklog() *Backlog {
	return &Backlog{ends: make(map[ids.Account]clock.Millis)}
}

// Queue returns when a caller is to come back that asks for units and would find the next
// free one after a wait. Beyond most a time means nothing: callers have left by then, or
// what was sent away before has.
func (b *Backlog) Queue(now clock.Millis, account *routing.Account, units float64, wait, most clock.Millis) clock.Millis {
	if account.PerSecond <= 0 {
		return wait
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	end := max(b.ends[account.Name], now+wait)
	served := clock.Millis(math.Ceil(units / account.PerSecond * float64(clock.Second)))
	b.ends[account.Name] = min(end+served, now+most)
	return min(end-now, most)
}

// Forget drops the accounts that are gone.
func (b *Backlog) Forget(known func(ids.Account) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.ends {
		if !known(name) {
			delete(b.ends, name)
		}
	}
}
