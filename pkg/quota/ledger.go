package quota

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// ledgerSteps is how finely a ledger tells times: what is older than the window
// by less than one step still counts.
const ledgerSteps = 32

// Ledger remembers what accounts have had in the last window.
type Ledger struct {
	mu       sync.Mutex
	accounts map[ids.Account]*ledgerLine
}

// ledgerLine is a ring of steps of one account.
type ledgerLine struct {
	steps [ledgerSteps + 1]float64
	at    clock.Millis // the number of the newest step
}

// NewLedger returns a ledger without entries.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[ids.Account]*ledgerLine)}
}

// Add notes units that an account has had.
func (l *Ledger) Add(now clock.Millis, account ids.Account, window clock.Millis, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.line(now, account, window)
	line.steps[line.at%clock.Millis(len(line.steps))] += units
}

// Refund notes that an account has not had units after all that were noted at a
// moment. They are taken from what was noted then, so that the sum of a window that
// begins later is not less than what was had in it.
func (l *Ledger) Refund(now, noted clock.Millis, account ids.Account, window clock.Millis, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.line(now, account, window)
	step := noted / stepOf(window)
	n := clock.Millis(len(line.steps))
	if step > line.at || step <= line.at-n {
		return // it does not count any more
	}
	line.steps[step%n] -= units
}

// line returns an account's line, brought up to now; the lock is held.
func (l *Ledger) line(now clock.Millis, account ids.Account, window clock.Millis) *ledgerLine {
	line := l.accounts[account]
	if line == nil {
		line = &ledgerLine{}
		l.accounts[account] = line
	}
	line.move(now / stepOf(window))
	return line
}

// Sum is what an account has had in the window up to now, and never less.
func (l *Ledger) Sum(now clock.Millis, account ids.Account, window clock.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.accounts[account]
	if line == nil {
		return 0
	}
	line.move(now / stepOf(window))
	sum := 0.0
	for _, units := range line.steps {
		sum += units
	}
	return max(0, sum)
}

// Forget drops the accounts that are gone.
func (l *Ledger) Forget(known func(ids.Account) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.accounts {
		if !known(name) {
			delete(l.accounts, name)
		}
	}
}

func stepOf(window clock.Millis) clock.Millis {
	return max(1, window/ledgerSteps)
}

// move clears the steps up to a new one.
func (l *ledgerLine) move(to clock.Millis) {
	n := clock.Millis(len(l.steps))
	if to-l.at >= n {
		clear(l.steps[:])
		l.at = to
		return
	}
	for l.at < to {
		l.at++
		l.steps[l.at%n] = 0
	}
}
