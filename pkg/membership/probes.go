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

// The pause between greetings grows with the number of entries, and with it the time in which an entry that has died
// still counts as alive. Meanwhile some have left it and others have not, so that no two have the
// same idea of who lives, and homes that few back give out little. So entries also ask one another at random. Who
// gets no answer tells all, and each finds out for itself: one entry that reaches nobody makes nobody gone.

const (
	// probeTick is how often open probes are looked at, and probeEvery how many ticks lie between two new ones. An
	// entry is asked by some other one each 150 ms on average, whatever the number.
	probeTick  = 50 * clock.Millisecond
	probeEvery = 3
	// Where one has died others may have: for alarmFor, probesInAlarm are begun each tick.
	alarmFor      = 2 * clock.Second
	probesInAlarm = 2
	// probeAnswer is for how long an answer is waited for, and mostProbes how often is asked before the entry counts
	// as gone.
	probeAnswer = 100 * clock.Millisecond
	mostProbes  = 3
	// recheckEvery is how often an entry that has been left is asked again, and mostRechecks how often in all. One
	// that stood still for a moment, or whose datagrams were lost, is back by its answer.
	recheckEvery = 400 * clock.Millisecond
	mostRechecks = 10
	// hearsSomebody is for how long a greeting of anybody shows that this entry is not cut off. Some fifty come each
	// second.
	hearsSomebody = clock.Second
	// lateTick is by how much a tick is late after which the others may have left this entry.
	lateTick = 300 * clock.Millisecond
	// An entry that is left and comes back, again and again, as one that is heard and does not hear, is left no more than
	// mostLeft times of one run within leftSpan: each time all change their idea of who lives.
	mostLeft = 2
	leftSpan = clock.Minute
	// suspectsAPage is how many names surely fit into one datagram.
	suspectsAPage = 12
)

// question asks the receiver to greet the sender. It says nothing of whether the sender hears anybody, so that it is no
// greeting itself.
type question struct {
	_    struct{} `cbor:",toarray"`
	Name ids.Process
}

// suspicion names entries that do not answer the sender.
type suspicion struct {
	_     struct{} `cbor:",toarray"`
	Names []ids.Process
}

// probe is a question to an entry whether it lives.
type probe struct {
	began, asked clock.Millis
	asks         int
	tell         bool // the others are to know if it does not answer
	left         bool // it counts as gone
	doubted      bool // it has counted as gone from the beginning
}

// probes are the open ones of an entry.
type probes struct {
	open  map[ids.Process]*probe
	ticks int
	// random draws whom to ask, nil before the first draw.
	random *rand.Rand
	// alarmUntil is up to when more are asked.
	alarmUntil clock.Millis
	// needed says that greetings are so rare that they tell too late who has died.
	needed bool
}

// runProbes asks the others at random until ctx ends.
func (m *Members) runProbes(ctx context.Context) {
	for ctx.Err() == nil {
		due := m.Clock.Now() + probeTick
		clock.Pause(ctx, probeTick)
		m.tickProbes(m.Clock.Now() - due)
	}
}

// tickProbes looks at the open probes and begins a new one now and then. Late is by how much the tick was.
func (m *Members) tickProbes(late clock.Millis) {
	m.mu.Lock()
	now := m.Clock.Now()
	m.probes.needed = m.every() > helloEvery && !m.joins()
	if !m.probes.needed {
		clear(m.probes.open)
		m.mu.Unlock()
		return
	}
	if late > lateTick {
		clear(m.probes.open) // the answers may not have been read yet
		m.changed()
	}
	var silent []ids.Process
	for name, p := range m.probes.open {
		if m.follow(now, name, p) {
			silent = append(silent, name)
		}
	}
	m.probes.ticks++
	switch {
	case now < m.probes.alarmUntil:
		for range probesInAlarm {
			m.probeAny(now)
		}
	case m.probes.ticks%probeEvery == 0:
		m.probeAny(now)
	}
	var others []netip.AddrPort
	if len(silent) > 0 {
		others = m.others()
	}
	m.mu.Unlock()
	m.tellSilent(silent, others)
}

// follow looks at an open probe; it reports whether the others are to be told that the entry does not answer. The
// lock is held.
func (m *Members) follow(now clock.Millis, name ids.Process, p *probe) bool {
	other := m.list[name]
	switch {
	case other == nil:
		delete(m.probes.open, name)
		return false
	case other.greetedAt >= p.began && other.heardAt > 0:
		delete(m.probes.open, name)
		return false
	case now < p.asked+p.patience():
		return false
	case p.asks < mostProbes || p.left && p.asks < mostProbes+mostRechecks:
		m.askIfAlive(now, other, p)
		return false
	case p.left:
		delete(m.probes.open, name)
		return false
	}
	p.left = true
	if p.doubted {
		return !m.cutOff(now)
	}
	if !m.heardLately(now, other) || !other.mayLeave(now) {
		return false
	}
	other.heardAt = 0
	m.aliveUntil = stale
	m.changed()
	m.probes.alarmUntil = now + alarmFor
	return p.tell && !m.cutOff(now)
}

// mayLeave reports whether an entry may be left now, and notes that it is.
func (other *member) mayLeave(now clock.Millis) bool {
	if first := other.leftAt[0]; first > 0 && now-first < leftSpan {
		return false
	}
	copy(other.leftAt[:], other.leftAt[1:])
	other.leftAt[mostLeft-1] = now
	return true
}

// cutOff reports whether this entry hears nobody; the lock is held. It would take itself for the home of everything by and
// by, and each other in turn for gone, as long as those that it has not asked still count.
func (m *Members) cutOff(now clock.Millis) bool {
	return m.probes.needed && now-max(m.greetedAt, m.startedAt) > hearsSomebody
}

// patience is for how long the answer to the last question is waited for.
func (p *probe) patience() clock.Millis {
	if p.left {
		return recheckEvery
	}
	return probeAnswer
}

// askIfAlive asks an entry to greet this one; the lock is held.
func (m *Members) askIfAlive(now clock.Millis, other *member, p *probe) {
	p.asks++
	p.asked = now
	m.link.Send(other.address, packets.KindProbe, question{Name: m.self})
}

// probed greets an entry that asks for it.
func (m *Members) probed(from netip.AddrPort, q *question) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.list[q.Name]
	if other == nil || other.address != from || m.joins() {
		return
	}
	now := m.Clock.Now()
	m.refresh(now)
	m.link.Send(from, packets.KindHeartbeat, m.greetingTo(now, other))
}

// probeAny begins a probe of some other entry; the lock is held.
func (m *Members) probeAny(now clock.Millis) {
	names := m.otherNames()
	if len(names) == 0 {
		return
	}
	if m.probes.random == nil {
		m.probes.random = m.Random.Fork()
	}
	m.probe(now, names[m.probes.random.IntN(len(names))], true)
}

// otherNames lists all other entries by their names, so that what is drawn among them repeats; the lock is held.
func (m *Members) otherNames() []ids.Process {
	if m.names == nil {
		m.names = m.withoutSelf(slices.Sorted(maps.Keys(m.list)))
	}
	return m.names
}

// probe begins a probe of an entry unless there is one; the lock is held.
func (m *Members) probe(now clock.Millis, name ids.Process, tell bool) {
	other := m.list[name]
	if other == nil || name == m.self || m.probes.open[name] != nil {
		return
	}
	p := &probe{began: now, tell: tell}
	m.probes.open[name] = p
	m.askIfAlive(now, other, p)
}

// tellSilent tells the others which entries do not answer.
func (m *Members) tellSilent(silent []ids.Process, others []netip.AddrPort) {
	for len(silent) > 0 {
		page := silent[:min(len(silent), suspectsAPage)]
		silent = silent[len(page):]
		for _, to := range others {
			m.link.Send(to, packets.KindSuspicion, suspicion{Names: page})
		}
	}
}

// suspected takes the word of another that some entries do not answer it.
func (m *Members) suspected(_ netip.AddrPort, s *suspicion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	for _, name := range s.Names {
		if other := m.list[name]; other != nil && m.heardLately(now, other) {
			m.probe(now, name, false)
		}
	}
}
