package metering

import (
	"context"
	"net/netip"

	"quaydock/pkg/packets"
)

// ask sends a claim to a home and waits for its answer.
func (m *Meter) ask(ctx context.Context, home netip.AddrPort, c claim) (reply, bool) {
	answer, number, worth := m.begin(home)
	if !worth {
		return reply{}, false
	}
	c.Number = number
	defer m.end(number)
	patience := askFor
	if m.members.Starting() {
		patience = askAtStart
	}
	limited, cancel := context.WithTimeout(ctx, patience.Duration())
	defer cancel()
	for {
		m.link.Send(home, packets.KindQuotaTake, c)
		again, stop := context.WithTimeout(limited, askAgain.Duration())
		select {
		case got := <-answer:
			stop()
			return got, true
		case <-again.Done():
			stop()
		}
		if limited.Err() != nil {
			m.unanswered(ctx, home)
			return reply{}, false
		}
	}
}

func (m *Meter) begin(home netip.AddrPort) (chan reply, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Clock.Now() < m.silent[home] {
		return nil, 0, false
	}
	m.number++
	answer := make(chan reply, 1)
	m.asked[m.number] = answer
	return answer, m.number, true
}

func (m *Meter) end(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.asked, number)
}

func (m *Meter) unanswered(ctx context.Context, home netip.AddrPort) {
	if ctx.Err() != nil {
		return // the caller left first
	}
	m.members.Suspect(home)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent[home] = m.Clock.Now() + silentFor
}

func (m *Meter) replied(_ netip.AddrPort, message *reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if answer := m.asked[message.Number]; answer != nil {
		delete(m.asked, message.Number)
		answer <- *message
	}
}
