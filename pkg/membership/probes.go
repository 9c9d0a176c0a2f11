package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

// The heartbeat interval grows with the number of entries, and with it the time for which an entry that has died
// still counts as alive. Meanwhile some entries have dropped it and others have not, so no two have the same
// membership view, and owners with little agreement give out little. Entries therefore also probe one another at
// random. An entry that gets no answer notifies all, and each of them probes for itself, so that one entry that
// reaches nobody cannot make the others drop anyone.

const (
	// probeTickInterval is how often open probes are checked, and ticksPerProbe how many ticks lie between two new
	// ones. On average each entry is probed every 150 ms, regardless of the number of entries.
	probeTickInterval = 50 * clock.Millisecond
	ticksPerProbe     = 3
	// When one entry has died, others may have died with it: for alarmDuration, probesPerAlarmTick probes are started
	// at each tick.
	alarmDuration      = 2 * clock.Second
	probesPerAlarmTick = 2
	// probeTimeout is how long an answer is awaited, and maxProbeAttempts how many probes are sent before the entry
	// is suspected.
	probeTimeout     = 100 * clock.Millisecond
	maxProbeAttempts = 3
	// recheckInterval is how often a suspected entry is probed again, and maxRechecks how many times. An entry that
	// was paused, or whose datagrams were lost, is taken back when it answers.
	recheckInterval = 400 * clock.Millisecond
	maxRechecks     = 10
	// isolationTimeout is how long after the last heartbeat of any entry this one takes itself for isolated. Normally
	// about fifty arrive each second.
	isolationTimeout = clock.Second
	// maxTickDelay is the lateness of a tick beyond which this process was paused for so long that the others may
	// suspect it.
	maxTickDelay = 300 * clock.Millisecond
	// An entry that is suspected and taken back over and over, such as one that is received but receives nothing, is
	// suspected at most maxSuspicions times per run within suspicionWindow: each time all entries change their view
	// of who is alive.
	maxSuspicions   = 2
	suspicionWindow = clock.Minute
	// maxSuspectsPerDatagram is the number of entries named in one suspicion: so many names always fit into a datagram.
	maxSuspectsPerDatagram = 12
)

// probeRequest asks the receiver for a heartbeat. It does not show whether its sender receives anything, so it is not
// a heartbeat itself.
type probeRequest struct {
	_    struct{} `cbor:",toarray"`
	Name ids.Process
}

// suspicion names entries that do not answer the sender's probes, at most maxSuspectsPerDatagram.
type suspicion struct {
	_     struct{} `cbor:",toarray"`
	Names []ids.Process
}

// probe is the state of an open probe of one entry.
type probe struct {
	startedAt, sentAt clock.Millis // when it was opened, and when its last request was sent
	attempts          int          // requests sent
	notifyOthers      bool         // notify the others if it does not answer
	suspected         bool         // maxProbeAttempts were not answered: the entry counts as gone
	suspectedBefore   bool         // Suspect made the entry count as gone, before the probe could
}

// probes are this entry's open probes. The lock of Members guards them.
type probes struct {
	open  map[ids.Process]*probe // by the entry probed, one at a time each
	ticks int                    // calls of tickProbes while enabled
	// random selects the entry to probe; nil before first use.
	random *rand.Rand
	// alarmUntil is until when additional probes are started.
	alarmUntil clock.Millis
	// enabled is set while this entry is listed, or alone, and there are so many entries that the interval between
	// heartbeats is longer than heartbeatInterval: too long to detect the death of an entry in time.
	enabled bool
}

// runProbes probes randomly chosen entries until ctx ends.
func (m *Members) runProbes(ctx context.Context) {
	for ctx.Err() == nil {
		due := m.Clock.Now() + probeTickInterval
		clock.Pause(ctx, probeTickInterval)
		m.tickProbes(m.Clock.Now() - due)
	}
}

// tickProbes checks the open probes and starts new ones when due. late is by how much the tick was late.
func (m *Members) tickProbes(late clock.Millis) {
	m.mu.Lock()
	now := m.Clock.Now()
	m.probes.enabled = m.scaledInterval() > heartbeatInterval && !m.awaitsListing()
	if !m.probes.enabled {
		clear(m.probes.open)
		m.mu.Unlock()
		return
	}
	if late > maxTickDelay {
		clear(m.probes.open) // answers may have arrived that are not read yet
		m.requestHeartbeat()
	}
	var silent []ids.Process
	for name, p := range m.probes.open {
		if m.advanceProbe(now, name, p) {
			silent = append(silent, name)
		}
	}
	m.probes.ticks++
	switch {
	case now < m.probes.alarmUntil:
		for range probesPerAlarmTick {
			m.probeRandom(now)
		}
	case m.probes.ticks%ticksPerProbe == 0:
		m.probeRandom(now)
	}
	var others []netip.AddrPort
	if len(silent) > 0 {
		others = m.others()
	}
	m.mu.Unlock()
	m.sendSuspicions(silent, others)
}

// advanceProbe checks an open probe and sends the next request if one is due. It reports whether the others are to be
// notified that the entry does not answer. It closes the probe when a heartbeat has arrived since it was opened, when
// the entry is no longer listed, and after the last recheck. After maxProbeAttempts without an answer the entry counts
// as gone here, unless allowSuspicion forbids it. The lock is held.
func (m *Members) advanceProbe(now clock.Millis, name ids.Process, p *probe) bool {
	other := m.list[name]
	switch {
	case other == nil:
		delete(m.probes.open, name)
		return false
	case other.lastHeartbeatAt >= p.startedAt && other.lastAliveAt > 0:
		delete(m.probes.open, name)
		return false
	case now < p.sentAt+p.timeout():
		return false
	case p.attempts < maxProbeAttempts || p.suspected && p.attempts < maxProbeAttempts+maxRechecks:
		m.sendProbe(now, other, p)
		return false
	case p.suspected:
		delete(m.probes.open, name)
		return false
	}
	p.suspected = true
	if p.suspectedBefore {
		return !m.isolated(now)
	}
	if !m.heartbeatRecent(now, other) || !other.allowSuspicion(now) {
		return false
	}
	other.lastAliveAt = 0
	m.aliveUntil = stale
	m.requestHeartbeat()
	m.probes.alarmUntil = now + alarmDuration
	return p.notifyOthers && !m.isolated(now)
}

// allowSuspicion reports whether the entry may be suspected now, which maxSuspicions limits, and if so records the
// time.
func (other *member) allowSuspicion(now clock.Millis) bool {
	if first := other.suspectedAt[0]; first > 0 && now-first < suspicionWindow {
		return false
	}
	copy(other.suspectedAt[:], other.suspectedAt[1:])
	other.suspectedAt[maxSuspicions-1] = now
	return true
}

// isolated reports whether this entry receives heartbeats from nobody. It would otherwise come to take itself for the
// owner of everything, and suspect each other entry in turn while those not probed yet still count. With so few entries
// that nothing is probed it is always false. The lock is held.
func (m *Members) isolated(now clock.Millis) bool {
	return m.probes.enabled && now-max(m.lastHeartbeatAt, m.startedAt) > isolationTimeout
}

// timeout returns how long after its last request a probe is continued or given up without an answer.
func (p *probe) timeout() clock.Millis {
	if p.suspected {
		return recheckInterval
	}
	return probeTimeout
}

// sendProbe asks an entry for a heartbeat. The lock is held.
func (m *Members) sendProbe(now clock.Millis, other *member, p *probe) {
	p.attempts++
	p.sentAt = now
	m.link.Send(other.address, packets.KindProbe, probeRequest{Name: m.self})
}

// handleProbe sends the requested heartbeat. It sends none to an entry that is not listed at that address, and none
// while this one waits for its own listing.
func (m *Members) handleProbe(from netip.AddrPort, q *probeRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.list[q.Name]
	if other == nil || other.address != from || m.awaitsListing() {
		return
	}
	now := m.Clock.Now()
	m.refresh(now)
	m.link.Send(from, packets.KindHeartbeat, m.heartbeatTo(now, other))
}

// probeRandom opens a probe of a randomly chosen other entry. The lock is held.
func (m *Members) probeRandom(now clock.Millis) {
	names := m.otherNames()
	if len(names) == 0 {
		return
	}
	if m.probes.random == nil {
		m.probes.random = m.Random.Fork()
	}
	m.probe(now, names[m.probes.random.IntN(len(names))], true)
}

// otherNames returns the names of all other listed entries, sorted so that random choices among them are
// reproducible. The lock is held.
func (m *Members) otherNames() []ids.Process {
	if m.names == nil {
		m.names = m.withoutSelf(slices.Sorted(maps.Keys(m.list)))
	}
	return m.names
}

// probe opens a probe of an entry and sends the first request, unless one is open already. With notifyOthers, the
// others are notified if it does not answer. The lock is held.
func (m *Members) probe(now clock.Millis, name ids.Process, notifyOthers bool) {
	other := m.list[name]
	if other == nil || name == m.self || m.probes.open[name] != nil {
		return
	}
	p := &probe{startedAt: now, notifyOthers: notifyOthers}
	m.probes.open[name] = p
	m.sendProbe(now, other, p)
}

// sendSuspicions notifies the others of the entries that do not answer, a page of them in each datagram. The lock need
// not be held.
func (m *Members) sendSuspicions(silent []ids.Process, others []netip.AddrPort) {
	for len(silent) > 0 {
		page := silent[:min(len(silent), maxSuspectsPerDatagram)]
		silent = silent[len(page):]
		for _, to := range others {
			m.link.Send(to, packets.KindSuspicion, suspicion{Names: page})
		}
	}
}

// handleSuspicion probes the entries that another one reports as not answering, if they still count as alive by their
// heartbeats here. It does not notify others of the result: the one that reported has notified all.
func (m *Members) handleSuspicion(_ netip.AddrPort, s *suspicion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	for _, name := range s.Names {
		if other := m.list[name]; other != nil && m.heartbeatRecent(now, other) {
			m.probe(now, name, false)
		}
	}
}
