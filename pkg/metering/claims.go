package metering

import (
	"context"
	"net/netip"

	"quaydock/pkg/packets"
)

// sendClaim sends a claim to the owner of an account and waits for its reply, sending it again until the timeout. It
// returns false without a reply, and at once while the owner counts as unresponsive.
func (m *Meter) sendClaim(ctx context.Context, owner netip.AddrPort, c claim) (claimReply, bool) {
	answer, number, allowed := m.beginClaim(owner)
	if !allowed {
		return claimReply{}, false
	}
	c.Number = number
	defer m.endClaim(number)
	timeout := claimTimeout
	if m.members.Starting() {
		timeout = claimTimeoutAtStart
	}
	waiting, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	for {
		m.link.Send(owner, packets.KindQuotaTake, c)
		resend, cancelResend := context.WithTimeout(waiting, claimResendInterval.Duration())
		select {
		case got := <-answer:
			cancelResend()
			return got, true
		case <-resend.Done():
			cancelResend()
		}
		if waiting.Err() != nil {
			m.recordTimeout(ctx, owner)
			return claimReply{}, false
		}
	}
}

// beginClaim returns the channel on which the reply to a new claim arrives, and the number of the claim. It returns
// false if no claims are sent to the owner now, as it did not reply to an earlier one.
func (m *Meter) beginClaim(owner netip.AddrPort) (chan claimReply, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Clock.Now() < m.unresponsiveUntil[owner] {
		return nil, 0, false
	}
	m.lastNumber++
	answer := make(chan claimReply, 1)
	m.pending[m.lastNumber] = answer
	return answer, m.lastNumber, true
}

// endClaim drops the channel of a claim; a reply that arrives later is ignored.
func (m *Meter) endClaim(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, number)
}

// recordTimeout sends an owner that did not reply no claims for unresponsiveFor, and has its membership checked.
func (m *Meter) recordTimeout(ctx context.Context, owner netip.AddrPort) {
	if ctx.Err() != nil {
		return // the caller left before the timeout
	}
	m.members.Suspect(owner)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsiveUntil[owner] = m.Clock.Now() + unresponsiveFor
}

// handleReply passes a reply on to the claim that waits for it, and drops it if none does any more. The send never
// blocks under the lock: the channel has room for one reply, and no second one is passed on.
func (m *Meter) handleReply(_ netip.AddrPort, message *claimReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if answer := m.pending[message.Number]; answer != nil {
		delete(m.pending, message.Number)
		answer <- *message
	}
}
