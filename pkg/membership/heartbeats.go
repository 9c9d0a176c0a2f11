package membership

import (
	"context"
	"maps"
	"net/netip"
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

const (
	// heartbeatInterval is the time between two heartbeats to all. It is multiplied by the number of entries per
	// heartbeatBasePeers, so that the send rate of one entry stays bounded.
	heartbeatInterval  = 150 * clock.Millisecond
	heartbeatBasePeers = 8
	// minHeartbeatGap is the least time between two rounds of heartbeats to all; it grows with heartbeatInterval. An
	// entry that has just started, or whose set of alive entries has changed, sends early instead of waiting for
	// heartbeatInterval: until entries agree on who is alive, each plans by itself and gives out only a fraction.
	minHeartbeatGap = 20 * clock.Millisecond
	// aliveHeartbeats is for how many heartbeat intervals, and half of heartbeatInterval more, an entry counts as alive
	// after its last heartbeat: two heartbeats may be lost.
	aliveHeartbeats = 3
)

// heartbeat is the periodic datagram of an entry to each other entry.
type heartbeat struct {
	_            struct{}    `cbor:",toarray"`
	Name         ids.Process // of the sender
	AliveDigest  uint64      // hash of the set of entries that the sender takes for alive
	NoStore      bool        // the sender does not reach the store
	Timestamp    timestamp   // of this heartbeat
	Acknowledged timestamp   // of the last heartbeat that the sender received from the receiver
	Leaving      bool        // the sender takes no new work and will end
	Lagging      bool        // the sender's timers fire late
}

// Run keeps this entry listed and sends heartbeats until ctx ends.
func (m *Members) Run(ctx context.Context) {
	go m.keepListed(ctx)
	go m.writeBatches(ctx)
	go m.runProbes(ctx)
	for ctx.Err() == nil {
		m.sendHeartbeats()
		interval := m.interval()
		minPause := min(interval, minHeartbeatGap*interval/heartbeatInterval)
		clock.Pause(ctx, minPause)
		clock.Await(ctx, interval-minPause, m.wake)
	}
}

// requestHeartbeat has the next heartbeats sent early, minHeartbeatGap after the last ones at the earliest. It never
// blocks.
func (m *Members) requestHeartbeat() {
	if m.Ablation.Off(ablation.EarlyHeartbeats) {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default: // already requested
	}
}

// interval returns the time between two regular heartbeats, for a caller that does not hold the lock.
func (m *Members) interval() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.scaledInterval()
}

// scaledInterval returns the time between two regular heartbeats, for the present number of entries. The lock is held.
func (m *Members) scaledInterval() clock.Millis {
	return heartbeatInterval * clock.Millis(max(1, len(m.list)/heartbeatBasePeers))
}

// sendHeartbeats sends a heartbeat to all other entries. An entry that has not yet read its own row, or that is
// isolated, owns nothing and sends none, so that the others do not take it for an owner.
func (m *Members) sendHeartbeats() {
	m.mu.Lock()
	now := m.Clock.Now()
	m.refresh(now)
	if m.awaitsListing() || m.isolated(now) {
		m.mu.Unlock()
		return
	}
	heartbeats := make(map[netip.AddrPort]heartbeat, len(m.list))
	for name, other := range m.list {
		if name != m.self {
			heartbeats[other.address] = m.heartbeatTo(now, other)
		}
	}
	m.mu.Unlock()
	for address, message := range heartbeats {
		m.link.Send(address, packets.KindHeartbeat, message)
	}
}

// heartbeatTo builds the heartbeat for one entry. The lock is held.
func (m *Members) heartbeatTo(now clock.Millis, other *member) heartbeat {
	return heartbeat{
		Name: m.self, AliveDigest: m.aliveDigest, NoStore: now < m.noStoreUntil,
		Timestamp: timestamp{Run: m.lease.run, Sent: now}, Acknowledged: other.lastTimestamp, Leaving: m.leaving, Lagging: m.lag.lagging,
	}
}

// Others returns the addresses of all other listed entries.
func (m *Members) Others() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others()
}

// others is Others for a caller that holds the lock.
func (m *Members) others() []netip.AddrPort {
	var list []netip.AddrPort
	for name, other := range m.list {
		if name != m.self {
			list = append(list, other.address)
		}
	}
	return list
}

// handleHeartbeat records a heartbeat of a listed entry. A sender that had not been heard for a while gets one back at
// once. A heartbeat from another address than the listed one does not count.
func (m *Members) handleHeartbeat(from netip.AddrPort, message *heartbeat) {
	if notify := m.recordHeartbeat(from, message); notify != nil {
		notify(from)
	}
}

// recordHeartbeat is handleHeartbeat without notifying the observer of starts, which it returns if the heartbeat is the
// first one of a process, and there is an observer.
func (m *Members) recordHeartbeat(from netip.AddrPort, message *heartbeat) (notify func(netip.AddrPort)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.list[message.Name]
	if other == nil || other.address != from {
		m.recordUnlistedPeer(from) // its row has not been read yet
		return nil
	}
	now := m.Clock.Now()
	m.refresh(now)
	before := m.aliveDigest
	answer := !m.heartbeatRecent(now, other) // it may not have received a heartbeat from this one either
	if answer {
		m.aliveUntil = stale
	}
	other.lastAliveAt = now
	other.lastHeartbeatAt = now
	if m.isolated(now) {
		m.requestHeartbeat() // while isolated it sent no heartbeats
	}
	m.lastHeartbeatAt = now
	if other.lastTimestamp.Run != message.Timestamp.Run {
		notify = m.onStart
		other.suspectedAt = [maxSuspicions]clock.Millis{}
	}
	other.lastTimestamp = message.Timestamp
	m.recordAcknowledgement(now, other, message.Acknowledged)
	other.aliveDigest = message.AliveDigest
	other.leaving = message.Leaving
	if other.lagging != message.Lagging {
		other.lagging = message.Lagging
		m.aliveUntil = stale
	}
	other.noStoreUntil = 0
	if message.NoStore {
		other.noStoreUntil = now + noStoreFor
	}
	m.refresh(now)
	if m.aliveDigest != before {
		// A new entry is announced at once, the loss of one only by the regular heartbeats: an entry that suspects an
		// owner which still counts on it must not count in the agreement of the next owner before that.
		m.requestHeartbeat()
	}
	if answer && !m.awaitsListing() {
		m.link.Send(from, packets.KindHeartbeat, m.heartbeatTo(now, other))
	}
	return notify
}

// maxUnlistedPeers limits how many addresses are remembered of entries that sent a heartbeat before the list was read;
// further ones are ignored.
const maxUnlistedPeers = 8

// recordUnlistedPeer remembers the address of an entry that sent a heartbeat, as long as the list is empty. The lock is
// held.
func (m *Members) recordUnlistedPeer(peer netip.AddrPort) {
	if len(m.list) == 0 && len(m.unlistedPeers) < maxUnlistedPeers {
		m.unlistedPeers[peer] = true
	}
}

// UnlistedPeers returns the addresses of entries that sent this one a heartbeat before it had read the list.
func (m *Members) UnlistedPeers() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.unlistedPeers))
}

// Suspect records that an entry did not answer. With many entries, where heartbeats are rare, it counts as gone until
// its next heartbeat and is probed at once; if it does not answer the probes, all entries are notified. With few
// entries the call does nothing, as missing heartbeats show it as soon. Nor does it right after the start of this
// entry: the other may still be starting, and an entry that took it for gone would be alone with its view of who is
// alive.
func (m *Members) Suspect(address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if m.scaledInterval() <= heartbeatInterval || now < m.startedAt+presumeAliveFor {
		return
	}
	for _, other := range m.list {
		if other.address != address {
			continue
		}
		other.lastAliveAt = 0
		m.aliveUntil = stale
		m.probe(now, other.name, true)
		if p := m.probes.open[other.name]; p != nil {
			p.suspectedBefore = true
		}
	}
}

// Leave announces to the others, with the next heartbeats, that this entry takes no new work and will end.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.requestHeartbeat()
}

// MinorityRemains reports whether less than half of the listed entries, this one included, are alive and not leaving.
// This entry counts as leaving.
func (m *Members) MinorityRemains() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	staying, _ := m.staying(m.Clock.Now())
	return 2*staying < m.entryCount()
}

// OthersReady reports whether a caller that this entry sends away will most likely reach one that stays: at least half of
// the listed entries, and of those in this entry's failure domain, are alive and not leaving. This entry counts as leaving.
// Callers are sent to the entries of their own domain first, so it is not enough that most entries elsewhere stay.
func (m *Members) OthersReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	staying, stayingInDomain := m.staying(m.Clock.Now())
	inDomain := 1 // this entry
	for name, other := range m.list {
		if name != m.self && other.domain == m.domain {
			inDomain++
		}
	}
	return 2*staying >= m.entryCount() && 2*stayingInDomain >= inDomain
}

// staying returns how many other entries are alive and not leaving, and how many of them are in this entry's failure
// domain. The lock is held.
func (m *Members) staying(now clock.Millis) (all, inDomain int) {
	for name, other := range m.list {
		if name == m.self || !m.heartbeatRecent(now, other) || other.leaving {
			continue
		}
		all++
		if other.domain == m.domain {
			inDomain++
		}
	}
	return all, inDomain
}

// Starting reports whether this entry started so recently that entries started together with it may not be up yet.
func (m *Members) Starting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now() < m.startedAt+presumeAliveFor
}
