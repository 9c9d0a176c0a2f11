package metering

import (
	"net/netip"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// report is what an account had used at an entry in the window before a moment.
type report struct {
	used float64      // units
	at   clock.Millis // by this entry's clock
}

// reporter is one incarnation of an entry; its address at is zero for this entry itself. The first report of a new
// incarnation does not replace that of the former one: an account's owner that was killed several times in a window,
// and began each time as if nothing had been served there, gave out more than the limit.
type reporter struct {
	at          netip.AddrPort
	incarnation uint64
}

// reports holds the latest reports of each entry on the usage of accounts.
type reports struct {
	mu        sync.Mutex
	byAccount map[ids.Account]map[reporter]report
}

// set replaces the report of one incarnation of an entry on an account.
func (r *reports) set(account ids.Account, from reporter, latest report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLocked(account, from, latest)
}

// setLocked is set for callers that hold the lock.
func (r *reports) setLocked(account ids.Account, from reporter, latest report) {
	if r.byAccount[account] == nil {
		r.byAccount[account] = make(map[reporter]report)
	}
	r.byAccount[account][from] = latest
}

// maxIncarnations limits how many incarnations of its receiver one claim reports; which ones is then arbitrary.
const maxIncarnations = 16

// incarnationsAt returns what each incarnation of an entry has reported, without the reports older than a window.
func (r *reports) incarnationsAt(now clock.Millis, account ids.Account, at netip.AddrPort, window clock.Millis) []incarnationReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var incarnations []incarnationReport
	for from, latest := range r.byAccount[account] {
		if from.at == at && now-latest.at <= window && len(incarnations) < maxIncarnations {
			incarnations = append(incarnations, incarnationReport{Incarnation: from.incarnation, Used: latest.used, Age: now - latest.at})
		}
	}
	return incarnations
}

// merge takes in what this entry's former incarnations reported to others, which report it back: a process does
// not know what the one before it has served. own is the present incarnation, whose usage is known here. An older
// report of an incarnation does not replace a newer one.
func (r *reports) merge(now clock.Millis, account ids.Account, own uint64, incarnations []incarnationReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range incarnations {
		former := reporter{incarnation: l.Incarnation}
		latest := report{used: l.Used, at: now - l.Age}
		if before, known := r.byAccount[account][former]; l.Incarnation != own && (!known || before.at < latest.at) {
			r.setLocked(account, former, latest)
		}
	}
}

// sum returns what an account has used in the window up to now by the reports, and never less: an entry's report
// counts in full until the entry reports again, or until the window has passed; then it is dropped.
func (r *reports) sum(now clock.Millis, account ids.Account, window clock.Millis) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0.0
	for from, latest := range r.byAccount[account] {
		if now-latest.at > window {
			delete(r.byAccount[account], from)
			continue
		}
		sum += latest.used
	}
	return sum
}

// forget drops the reports on accounts that are no longer known.
func (r *reports) forget(known func(ids.Account) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.byAccount {
		if !known(name) {
			delete(r.byAccount, name)
		}
	}
}
