package quota

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// ledgerSteps is the number of steps into which a ledger divides the window: units older than the window
// by less than one step still count.
const ledgerSteps = 32

// Ledger records what accounts have used in the last window, in units. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[ids.Account]*accountUsage
}

// accountUsage is what one account has used in each of the last steps. A step is numbered by its start divided by the
// length of a step.
type accountUsage struct {
	steps      [ledgerSteps + 1]float64 // a ring: the units of step n are at n modulo its length
	newestStep clock.Millis             // the number of the newest step, not a time
}

// NewLedger returns a ledger without usage.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[ids.Account]*accountUsage)}
}

// Add records units that an account has used. All calls must pass the same window, as it sets the length of a step.
func (l *Ledger) Add(now clock.Millis, account ids.Account, window clock.Millis, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.advance(now, account, window)
	usage.steps[usage.newestStep%clock.Millis(len(usage.steps))] += units
}

// Refund records that an account has not used units that were recorded at an earlier time. They are subtracted from
// the step of that time, so that the sum of a window that begins later is not less than what was used in it.
func (l *Ledger) Refund(now, recorded clock.Millis, account ids.Account, window clock.Millis, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.advance(now, account, window)
	step := recorded / stepOf(window)
	n := clock.Millis(len(usage.steps))
	if step > usage.newestStep || step <= usage.newestStep-n {
		return // it no longer counts
	}
	usage.steps[step%n] -= units
}

// advance returns an account's usage, brought up to now; the lock is held.
func (l *Ledger) advance(now clock.Millis, account ids.Account, window clock.Millis) *accountUsage {
	usage := l.accounts[account]
	if usage == nil {
		usage = &accountUsage{}
		l.accounts[account] = usage
	}
	usage.advanceTo(now / stepOf(window))
	return usage
}

// UsedInWindow is what an account has used in the window up to now, and never less.
func (l *Ledger) UsedInWindow(now clock.Millis, account ids.Account, window clock.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.accounts[account]
	if usage == nil {
		return 0
	}
	usage.advanceTo(now / stepOf(window))
	sum := 0.0
	for _, units := range usage.steps {
		sum += units
	}
	return max(0, sum)
}

// Forget drops the accounts that are no longer known.
func (l *Ledger) Forget(known func(ids.Account) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.accounts {
		if !known(name) {
			delete(l.accounts, name)
		}
	}
}

// stepOf returns the length of a step, at least 1 ms.
func stepOf(window clock.Millis) clock.Millis {
	return max(1, window/ledgerSteps)
}

// advanceTo makes the step of a number the newest, and clears those that are new in the ring. It does nothing if the
// step is not newer. The ledger's lock is held.
func (l *accountUsage) advanceTo(to clock.Millis) {
	n := clock.Millis(len(l.steps))
	if to-l.newestStep >= n {
		clear(l.steps[:])
		l.newestStep = to
		return
	}
	for l.newestStep < to {
		l.newestStep++
		l.steps[l.newestStep%n] = 0
	}
}
