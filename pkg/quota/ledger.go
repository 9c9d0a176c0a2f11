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
	accounts map[ids.Account]*steps // units
}

// NewLedger returns a ledger without usage.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[ids.Account]*steps)}
}

// Add records units that an account has used. If the window is another one than in the last call, what was used stays,
// as far as the last window reached back.
func (l *Ledger) Add(now clock.Millis, account ids.Account, window clock.Millis, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now, account, window).addNow(units)
}

// Refund records that an account has not used units that were recorded at an earlier time. They are subtracted from
// the step of that time, so that the sum of a window that begins later is not less than what was used in it.
func (l *Ledger) Refund(now, recorded clock.Millis, account ids.Account, window clock.Millis, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if amount := l.advance(now, account, window).at(recorded); amount != nil {
		*amount -= units
	}
}

// advance returns an account's usage, brought up to now; the lock is held.
func (l *Ledger) advance(now clock.Millis, account ids.Account, window clock.Millis) *steps {
	usage := l.accounts[account]
	if usage == nil {
		usage = &steps{amounts: make([]float64, ledgerSteps+1), placing: atEnd}
		l.accounts[account] = usage
	}
	usage.advance(now, max(1, (window+ledgerSteps-1)/ledgerSteps)) // rounded up: shorter steps would not reach back a window
	return usage
}

// UsedInWindow is what an account has used in the window up to now, and never less.
func (l *Ledger) UsedInWindow(now clock.Millis, account ids.Account, window clock.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accounts[account] == nil {
		return 0
	}
	return max(0, l.advance(now, account, window).sum())
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
