package membership

import (
	"net/netip"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

// An entry that gets no reply from the store may go on spending its share as long as nobody divides that share among
// the others. It knows this by a lease that the others renew: each heartbeat carries a timestamp, and each entry
// acknowledges to the others the last timestamp that it received from them. While more than half of the listed
// entries have received a heartbeat of this one within leaseDuration, it cannot be taken off the list: for that, half
// of them must report that they have had no heartbeat from it for ForgetAfter (mayRemove), and at least one of these
// would be among those that received one.
//
// A lease that has run out is not renewed by the next acknowledgement, since the entry may be taken off on the
// strength of earlier reports. The next lease starts after leaseStartDelay, when every removal decided on such
// reports has been carried out and can be read from the store.
const (
	leaseDuration   = ForgetAfter - 500*clock.Millisecond
	leaseStartDelay = silenceQueryTimeout + 3*writeTimeout
)

// timestamp is when a heartbeat was sent, by the sender's clock. Run distinguishes a process from an earlier one of
// the same name, whose clock is not comparable.
type timestamp struct {
	_    struct{} `cbor:",toarray"`
	Run  uint64
	Sent clock.Millis
}

// membershipLease is an entry's lease on its place in the list; see leaseDuration.
type membershipLease struct {
	run   uint64       // identifies this run of the process in timestamps; drawn at random
	since clock.Millis // when the current lease began or, within leaseStartDelay, will begin
	until clock.Millis // when it runs out, unless it is extended
}

// recordAcknowledgement records which of this entry's heartbeats another has received; acknowledgements to an earlier
// run of this process, and old ones, are ignored. The lock is held. If grace is 0 no entry relies on its lease, and it
// is not recomputed at each heartbeat.
func (m *Members) recordAcknowledgement(now clock.Millis, other *member, received timestamp) {
	if received.Run != m.lease.run || received.Sent <= other.receivedOursAt {
		return
	}
	other.receivedOursAt = received.Sent
	if m.grace > 0 {
		m.renewLease(now)
	}
}

// renewLease extends the lease as far as the received acknowledgements allow. One that has run out is replaced by a new
// one, which begins after leaseStartDelay. The lock is held.
func (m *Members) renewLease(now clock.Millis) {
	until := m.receivedByMajorityAt(now) + leaseDuration
	if now > m.lease.until {
		m.lease.since = now + leaseStartDelay
	}
	m.lease.until = max(m.lease.until, until)
}

// receivedByMajorityAt returns the latest time such that more than half of the listed entries, including this one,
// received a heartbeat that this entry sent at that time or later; 0 if there is none. The lock is held.
func (m *Members) receivedByMajorityAt(now clock.Millis) clock.Millis {
	received := []clock.Millis{now}
	for name, other := range m.list {
		if name != m.self {
			received = append(received, other.receivedOursAt)
		}
	}
	slices.Sort(received)
	slices.Reverse(received)
	return received[m.entryCount()/2]
}

// HoldsLease reports whether a lease has run without interruption since the given time and still does: this entry has
// been on the list since then, and cannot be taken off while the lease runs. The only entry of a list needs no lease.
func (m *Members) HoldsLease(since clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasShare() {
		return false // it may have been taken off already, or not be listed yet
	}
	if m.entryCount() == 1 {
		return true // no other entry could take it off
	}
	now := m.Clock.Now()
	m.renewLease(now)
	return m.lease.since <= since && now <= m.lease.until
}

// silenceQuery asks for the time since an entry's last heartbeat.
type silenceQuery struct {
	_     struct{} `cbor:",toarray"`
	Entry ids.Process
}

// silenceReply is the time since the sender received the last heartbeat of an entry. A process that started after
// that heartbeat cannot know of it, and replies with at most its own age.
type silenceReply struct {
	_      struct{} `cbor:",toarray"`
	Sender ids.Process
	Entry  ids.Process
	For    clock.Millis
}

// pendingSilenceQuery collects the others' replies about an entry without a recent heartbeat. The lock of Members
// guards it.
type pendingSilenceQuery struct {
	began   clock.Millis                 // when it was sent
	answers map[ids.Process]clock.Millis // time since the last heartbeat that each has received
}

// sendSilenceQueries asks the others about an entry without a recent heartbeat, and discards earlier replies about it.
// The lock is held.
func (m *Members) sendSilenceQueries(now clock.Millis, name ids.Process) {
	m.silenceQueries[name] = &pendingSilenceQuery{began: now, answers: make(map[ids.Process]clock.Millis)}
	for other, listed := range m.list {
		if other != m.self && other != name {
			m.link.Send(listed.address, packets.KindSilenceQuery, silenceQuery{Entry: name})
		}
	}
}

// silenceQueryTimeout is for how long after a silence query was sent its replies count. They are evaluated at the next
// check of the list, listCheckInterval later, or more if writes to the store delay it.
const silenceQueryTimeout = 2 * listCheckInterval

// countSilence returns how many listed entries have replied to the silence query about an entry, and how many of them
// have had no heartbeat from it for ForgetAfter. This entry counts as one of both, and is the only one if no query is
// open or silenceQueryTimeout is over. The lock is held.
func (m *Members) countSilence(now clock.Millis, name ids.Process) (answered, agreed int) {
	query := m.silenceQueries[name]
	if query == nil || now-query.began > silenceQueryTimeout {
		return 1, 1
	}
	answered, agreed = 1, 1
	for other, silence := range query.answers {
		if m.list[other] == nil {
			continue
		}
		answered++
		if silence > ForgetAfter {
			agreed++
		}
	}
	return answered, agreed
}

// handleSilenceQuery replies with the time since the last heartbeat of an entry, or since the start of this process if
// there was none.
func (m *Members) handleSilenceQuery(from netip.AddrPort, q *silenceQuery) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.startedAt
	if other := m.list[q.Entry]; other != nil {
		last = max(last, other.lastHeartbeatAt)
	}
	m.link.Send(from, packets.KindSilenceAnswer, silenceReply{Sender: m.self, Entry: q.Entry, For: m.Clock.Now() - last})
}

// handleSilenceReply adds the reply of a listed entry to the open query, if any.
func (m *Members) handleSilenceReply(from netip.AddrPort, a *silenceReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sender, query := m.list[a.Sender], m.silenceQueries[a.Entry]
	if sender == nil || sender.address != from || query == nil {
		return
	}
	query.answers[a.Sender] = a.For
}
