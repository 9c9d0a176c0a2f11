package metering

import (
	"math"
	"net/netip"

	"quaydock/pkg/clock"
	"quaydock/pkg/packets"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
)

// fresh is how full an account's bucket is at a home that begins anew.
func (m *Meter) fresh(account *routing.Account) float64 {
	margin, _ := m.margin(account)
	return min(freshMost, freshPart*margin/max(1, account.Burst))
}

// book counts at the home. A home that only some entries take for it gives out
// only their part. Whoever was the home before, what the entries have had in the
// last window counts too; so an account whose allowance was lowered waits until its
// last window is within the new one.
func (m *Meter) book(from netip.AddrPort, account *routing.Account, c claim) (bool, clock.Millis) {
	now := m.Clock.Now()
	margin, window := m.margin(account)
	again := min(account.Burst, burstPart*margin)
	widened := *account
	widened.PerSecond += again / window
	// A bucket without room never holds anything to take, and an account's burst may be 0.
	widened.Burst = max(account.Burst, homePart*margin)
	m.reports.set(account.Name, reporter{from, c.Run}, report{had: c.Had, at: now})
	m.reports.learn(now, account.Name, m.run, c.Lives)
	backing := m.members.Agreement()
	if backing <= 0 {
		return false, unlistedWait
	}
	had := m.reports.sum(now, account.Name, m.window()) + m.unheard(now, account, backing)
	over := had - account.PerSecond*window - account.Burst - homePart*margin
	if over >= 0 {
		return false, clock.Millis(math.Ceil((over + c.Units/2) / widened.PerSecond * float64(clock.Second)))
	}
	taken, wait := m.books.Take(now, &widened, quota.Spending{Share: backing, Units: c.Units, Reserve: c.Keep, Debt: debt(backing, margin)})
	if taken {
		m.reports.set(account.Name, reporter{from, c.Run}, report{had: c.Had + c.Units, at: now})
	}
	return taken, wait
}

// unheard is what an account may have had of late by way of other homes, which tell this one nothing:
// their part of what has flowed since the entries last agreed on the home, and of the burst. Without it homes
// on both sides of a cut let the account have what was left of the whole. It counts for a window beyond
// the cut, as a home that is killed behind it takes what it gave out with it.
func (m *Meter) unheard(now clock.Millis, account *routing.Account, backing float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.apart.seenAt > m.bounds.Window {
		m.apart = apart{}
	}
	if backing >= 1 {
		m.agreedAt = now
	} else {
		m.apart.seenAt = now
		m.apart.part = max(m.apart.part, 1-backing)
		m.apart.length = max(m.apart.length, min(now-m.agreedAt, m.bounds.Window))
	}
	seconds := float64(m.apart.length) / float64(clock.Second)
	return m.apart.part * (account.PerSecond*seconds + account.Burst)
}

// agreed notes that a home has answered this entry.
func (m *Meter) agreed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.agreedAt = m.Clock.Now()
}

// debt is how far one request may go beyond what a part of an account's allowance holds. Only one
// home can have most entries behind it, so a request of any size goes beyond the limit there once
// at the most. Homes with smaller parts, as on the sides of cuts, may be many, and one request is
// large beside such a part: without a limit of the debt, thirty of them gave out 1.75 times the
// bound of a small account in a window, played in virtual time.
func debt(part, margin float64) float64 {
	if part > majority {
		return math.Inf(1)
	}
	return debtPart * margin * part
}

// remembered is how many answers a home keeps, so that a claim that is sent
// again is not counted again. Numbers begin at a random one at each entry.
const remembered = 4096

func (m *Meter) claimed(from netip.AddrPort, message *claim) {
	catalog := m.view.Catalog()
	if catalog == nil || m.members.Agreement() <= 0 {
		return // the asker spends its own share meanwhile
	}
	answer, known := m.given[message.Number]
	if !known {
		answer = m.answer(from, catalog.AccountByName(message.Account), message)
		m.remember(answer)
	}
	m.link.Send(from, packets.KindQuotaReply, answer)
}

// answer books a claim. Only accounts with a limit are asked for, so a home that has none for one
// does not know it: a yes to all would let an account that was just added have 4.7 times its bound in a
// window, played in virtual time.
func (m *Meter) answer(from netip.AddrPort, account *routing.Account, c *claim) reply {
	had := m.had.Sum(m.Clock.Now(), c.Account, m.window())
	if account == nil || account.PerSecond <= 0 {
		return reply{Number: c.Number, Had: had, Run: m.run, Unknown: true}
	}
	taken, wait := m.book(from, account, *c)
	return reply{Number: c.Number, Taken: taken, Wait: wait, Had: had, Run: m.run}
}

// remember is called by the link's goroutine alone, as given and order are
// used by it alone.
func (m *Meter) remember(answer reply) {
	m.given[answer.Number] = answer
	m.order = append(m.order, answer.Number)
	if len(m.order) > remembered {
		delete(m.given, m.order[0])
		m.order = m.order[1:]
	}
}

func (m *Meter) returned(_ netip.AddrPort, message *giveBack) {
	m.books.Return(message.Account, message.Units)
}
