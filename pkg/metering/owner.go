package metering

import (
	"math"
	"net/netip"

	"quaydock/pkg/clock"
	"quaydock/pkg/packets"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
)

// initialFill is the fraction to which an account's bucket is full when this entry becomes its owner.
func (m *Meter) initialFill(account *routing.Account) float64 {
	margin, _ := m.margin(account)
	return min(maxInitialFill, initialFillMarginFraction*margin/max(1, account.Burst))
}

// takeAsOwner counts units against an account's bucket at its owner, and returns as Take does; from is the zero address
// for a claim of this entry itself. An owner gives out only the fraction of the allowance for which it has agreement.
// Usage that entries reported for the last window counts too, whoever was the owner then; so an account whose allowance
// was lowered waits until its last window is within the new one. The wait for that includes half of the units, as in
// quota.Allowance.Take.
func (m *Meter) takeAsOwner(from netip.AddrPort, account *routing.Account, c claim) (bool, clock.Millis) {
	now := m.Clock.Now()
	margin, window := m.margin(account)
	repeatedBurst := min(account.Burst, burstMarginFraction*margin)
	adjusted := *account
	adjusted.PerSecond += repeatedBurst / window
	// A bucket without capacity never holds anything to take, and an account's burst may be 0.
	adjusted.Burst = max(account.Burst, ownerMarginFraction*margin)
	m.reports.set(account.Name, reporter{from, c.Incarnation}, report{used: c.Used, at: now})
	m.reports.merge(now, account.Name, m.incarnation, c.Incarnations)
	agreement := m.members.Agreement()
	if agreement <= 0 {
		return false, unlistedRetryAfter
	}
	used := m.reports.sum(now, account.Name, m.window()) + m.unreportedUsage(now, account, agreement)
	excess := used - account.PerSecond*window - account.Burst - ownerMarginFraction*margin
	if excess >= 0 {
		return false, clock.Millis(math.Ceil((excess + c.Units/2) / adjusted.PerSecond * float64(clock.Second)))
	}
	taken, wait := m.ownerAllowance.Take(now, &adjusted, quota.Spending{Share: agreement, Units: c.Units, Reserve: c.Reserve, Debt: maxDebt(agreement, margin)})
	if taken {
		m.reports.set(account.Name, reporter{from, c.Incarnation}, report{used: c.Used + c.Units, at: now})
	}
	return taken, wait
}

// unreportedUsage is how many units an account may have used recently through other owners, which do not report here:
// their fraction of the rate since the entries last agreed on the owner, and of the burst. Without it, owners on both
// sides of a network partition each gave out what was left of the whole allowance. It counts for one window beyond the
// partition, since an owner that is killed behind it loses the record of what it gave out.
func (m *Meter) unreportedUsage(now clock.Millis, account *routing.Account, agreement float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.partition.lastSeen > m.bounds.Window {
		m.partition = partition{}
	}
	if agreement >= 1 {
		m.lastFullAgreement = now
	} else {
		m.partition.lastSeen = now
		m.partition.fraction = max(m.partition.fraction, 1-agreement)
		m.partition.duration = max(m.partition.duration, min(now-m.lastFullAgreement, m.bounds.Window))
	}
	seconds := float64(m.partition.duration) / float64(clock.Second)
	return m.partition.fraction * (account.PerSecond*seconds + account.Burst)
}

// recordOwnerReply records that an owner has replied to this entry. For unreportedUsage this counts as full agreement:
// another entry is the owner, so whatever this one gives out as an owner it gives out later.
func (m *Meter) recordOwnerReply() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastFullAgreement = m.Clock.Now()
}

// maxDebt is by how many units one request may overdraw an entry's fraction of an account's allowance. Only one owner
// can have the agreement of most entries, so a request of any size exceeds the limit there once at most. Owners with
// smaller fractions, as on the sides of network partitions, may be many, and one request is large compared with such a
// fraction: without a limit on the debt, thirty of them give out 1.75 times the limit of a small account in a window.
func maxDebt(fraction, margin float64) float64 {
	if fraction > majority {
		return math.Inf(1)
	}
	return debtMarginFraction * margin * fraction
}

// maxStoredReplies is how many replies an owner keeps, so that a claim that is sent again is not counted again.
// A claim is sent again for claimTimeoutAtStart at most. Replies are kept by number alone: each entry's claim numbers
// begin at a random one, so that those of two hardly meet.
const maxStoredReplies = 4096

// handleClaim replies to a claim, to one that was sent again with the same reply. It does not reply while this entry
// knows no accounts or has no agreement.
func (m *Meter) handleClaim(from netip.AddrPort, message *claim) {
	catalog := m.view.Catalog()
	if catalog == nil || m.members.Agreement() <= 0 {
		return // the sender times out and spends its own share
	}
	answer, known := m.sentReplies[message.Number]
	if !known {
		answer = m.answerClaim(from, catalog.AccountByName(message.Account), message)
		m.storeReply(answer)
	}
	m.link.Send(from, packets.KindQuotaReply, answer)
}

// answerClaim counts a claim at the owner. Entries send claims only for accounts with a limit, so an owner that has
// no limit for an account does not know it. Admitting these claims lets an account that has just been added use 4.7
// times its limit in a window.
func (m *Meter) answerClaim(from netip.AddrPort, account *routing.Account, c *claim) claimReply {
	used := m.usage.UsedInWindow(m.Clock.Now(), c.Account, m.window())
	if account == nil || account.PerSecond <= 0 {
		return claimReply{Number: c.Number, Used: used, Incarnation: m.incarnation, Unknown: true}
	}
	taken, wait := m.takeAsOwner(from, account, *c)
	return claimReply{Number: c.Number, Taken: taken, Wait: wait, Used: used, Incarnation: m.incarnation}
}

// storeReply keeps a reply for claims that are sent again. It needs no lock, as only the link's goroutine uses
// sentReplies and replyOrder.
func (m *Meter) storeReply(answer claimReply) {
	m.sentReplies[answer.Number] = answer
	m.replyOrder = append(m.replyOrder, answer.Number)
	if len(m.replyOrder) > maxStoredReplies {
		delete(m.sentReplies, m.replyOrder[0])
		m.replyOrder = m.replyOrder[1:]
	}
}

// handleReturn puts units back into an account's bucket; the sender has corrected its record of usage itself.
func (m *Meter) handleReturn(_ netip.AddrPort, message *unitReturn) {
	m.ownerAllowance.Return(message.Account, message.Units)
}
