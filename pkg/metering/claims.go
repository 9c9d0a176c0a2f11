package metering

import (
	"context"
	"net/netip"

	"quaydock/pkg/packets"
)

// sendClaim sends a claim to the owner of an account and waits for its reply, sending it again until the timeout.
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

func (m *Meter) endClaim(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, number)
}

func (m *Meter) recordTimeout(ctx context.Context, owner netip.AddrPort) {
	if ctx.Err() != nil {
		return // the caller left before the timeout
	}
	m.members.Suspect(owner)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsiveUntil[owner] = m.Clock.Now() + unresponsiveFor
}

// handleReply passes a reply on to the claim that waits for it, and drops it if none does any more. The channel has
// room for the one reply that is passed on, so that the lock is not held for long.
func (m *Meter) handleReply(_ netip.AddrPort, message *claimReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if answer := m.pending[message.Number]; answer != nil {
		delete(m.pending, message.Number)
		answer <- *message
	}
}
