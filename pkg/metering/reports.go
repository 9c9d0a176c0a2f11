package metering

import (
	"net/netip"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// report is what an account has had run at an entry in the window before a
// moment.
type report struct {
	had float64
	at  clock.Millis
}

// reports are what entries last told of accounts.
type reports struct {
	mu sync.Mutex
	of map[ids.Account]map[netip.AddrPort]report
}

func (r *reports) set(account ids.Account, from netip.AddrPort, told report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.of[account] == nil {
		r.of[account] = make(map[netip.AddrPort]report)
	}
	r.of[account][from] = told
}

// sum is what an account has had run in the window up to now, as far as it was
// told, and never less: an entry's report counts whole until it tells another,
// or until the window has passed.
func (r *reports) sum(now clock.Millis, account ids.Account, window clock.Millis) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0.0
	for from, told := range r.of[account] {
		if now-told.at > window {
			delete(r.of[account], from)
			continue
		}
		sum += told.had
	}
	return sum
}

func (r *reports) forget(known func(ids.Account) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.of {
		if !known(name) {
			delete(r.of, name)
		}
	}
}
