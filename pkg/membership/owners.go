package membership

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// stale as aliveUntil says that who is alive has to be worked out.
const stale clock.Millis = -1

// aloneFor is for how long an entry without others need not look again: it
// hears of them.
const aloneFor = clock.Second

// refresh works out who is alive, unless that is known; the lock is held.
func (m *Members) refresh(now clock.Millis) {
	if now <= m.aliveUntil {
		return
	}
	m.alive = append(m.alive[:0], m.self)
	m.aliveUntil = now + aloneFor
	for name, other := range m.list {
		if name != m.self && m.lively(now, other) {
			m.alive = append(m.alive, name)
			m.aliveUntil = min(m.aliveUntil, m.livelyUntil(other))
		}
	}
	slices.Sort(m.alive)
	clear(m.homes)
	clear(m.heavyHomes)
	digest := xxhash.New()
	for _, name := range m.alive {
		_, _ = digest.WriteString(string(name) + "\n") // a digest takes everything
	}
	m.view = digest.Sum64()
}

// lively reports whether an entry counts as alive: it was heard lately, or this one has
// just started.
func (m *Members) lively(now clock.Millis, other *member) bool {
	return m.heardLately(now, other) || m.presumed(now, other)
}

func (m *Members) heardLately(now clock.Millis, other *member) bool {
	return other.heardAt > 0 && now <= m.livelyUntil(other)
}

func (m *Members) livelyUntil(other *member) clock.Millis {
	if other.greetedAt == 0 {
		return m.startedAt + presumeFor
	}
	return other.heardAt + m.missedAfter()
}

// MissedAfter is after what silence, at the latest, an entry no longer counts as alive.
func (m *Members) MissedAfter() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.missedAfter()
}

func (m *Members) missedAfter() clock.Millis { return heardFor*m.every() + helloEvery/2 }

// presumeFor is for how long an entry that has just started takes listed entries for
// alive that it has not heard yet. Started together, as after a loss of power, all so
// name the same homes at once and the same reader of the store, instead of each
// being its own home until the greetings have gone round; VMs start within 300 ms of
// one another.
const presumeFor = clock.Second

// presumed reports whether an entry counts as alive though it was not heard yet. One that was listed later greets
// once it has read so, and is in charge of nothing before.
func (m *Members) presumed(now clock.Millis, other *member) bool {
	return other.before && other.greetedAt == 0 && now < m.startedAt+presumeFor
}

// Home returns the entry that is in charge of a matter, and whether it is this
// one. All entries that take the same ones for alive agree on it.
func (m *Members) Home(matter string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	home, known := m.homes[matter]
	if !known {
		home = m.rank(matter, m.alive)
		m.homes[matter] = home
	}
	return m.at(home)
}

// at returns the address of a living entry, and whether it is this one; the lock is held.
func (m *Members) at(name ids.Process) (netip.AddrPort, bool) {
	if name == m.self {
		return m.address, true
	}
	return m.list[name].address, false
}

// DomainHead returns the entry that is in charge of a matter within this entry's failure
// domain, and whether it is this one. What all entries need is fetched from other domains
// by it, and from it by the rest of its domain.
func (m *Members) DomainHead(matter string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	near := m.neighbours()
	if m.joins() {
		near = m.withoutSelf(near)
	}
	if len(near) == 0 {
		near = m.withoutSelf(m.alive)
	}
	return m.at(m.rank(matter, near))
}

// joins reports whether others are listed and this entry is not yet: they have, or get, what all need, and this one
// asks them for it. The lock is held.
func (m *Members) joins() bool { return m.list[m.self] == nil && len(m.alive) > 1 }

func (m *Members) withoutSelf(among []ids.Process) []ids.Process {
	return slices.DeleteFunc(slices.Clone(among), func(name ids.Process) bool { return name == m.self })
}

// neighbours lists the entries that live in this one's failure domain, itself included;
// the lock is held.
func (m *Members) neighbours() []ids.Process {
	var near []ids.Process
	for _, name := range m.alive {
		if name == m.self || m.list[name].domain == m.domain {
			near = append(near, name)
		}
	}
	return near
}

// Neighbours returns the addresses of the others that live in this entry's failure domain.
func (m *Members) Neighbours() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	var near []netip.AddrPort
	for _, name := range m.neighbours() {
		if name != m.self {
			near = append(near, m.list[name].address)
		}
	}
	return near
}

// noStoreFor is for how long an entry is not asked to read the store after a
// question of its own failed.
const noStoreFor = 10 * clock.Second

// NoteStore notes whether this entry's last question to the store was answered.
func (m *Members) NoteStore(answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if before := now >= m.noStoreUntil; before != answered {
		m.changed() // another entry may have to read for all, and none may know that yet
	}
	m.noStoreUntil = 0
	if !answered {
		m.noStoreUntil = now + noStoreFor
	}
}

// Reader is Home for a matter that needs the store: entries that do not reach it
// are passed over, unless none does.
func (m *Members) Reader(matter string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible, _ := m.readers(m.Clock.Now())
	best := m.rank(matter, eligible)
	return m.at(best)
}

// ReaderOrder is how many entries go before this one as the reader of a matter: rank of
// those that reach the store as far as is known, seniority of all that live.
func (m *Members) ReaderOrder(matter string) (rank, seniority int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible, alive := m.readers(m.Clock.Now())
	own := m.score(m.self, matter)
	before := func(name ids.Process) bool {
		if m.joins() {
			return true
		}
		score := m.score(name, matter)
		return score > own || score == own && name > m.self
	}
	for _, name := range alive {
		if name != m.self && before(name) {
			seniority++
		}
	}
	mayRead := slices.Contains(eligible, m.self)
	for _, name := range eligible {
		if name != m.self && (!mayRead || before(name)) {
			rank++
		}
	}
	return rank, seniority
}

// readers lists the entries that may read the store, and those that live; the lock is
// held.
func (m *Members) readers(now clock.Millis) (eligible, alive []ids.Process) {
	m.refresh(now)
	for _, name := range m.alive {
		if now >= m.noStoreUntilOf(name) {
			eligible = append(eligible, name)
		}
	}
	if m.joins() {
		eligible = m.withoutSelf(eligible)
	}
	if len(eligible) == 0 {
		eligible = m.alive
	}
	return eligible, m.alive
}

func (m *Members) noStoreUntilOf(name ids.Process) clock.Millis {
	if name == m.self {
		return m.noStoreUntil
	}
	return m.list[name].noStoreUntil
}

// Backing is the part of all listed entries that surely takes this one for the
// home wherever it takes itself for it: those heard lately with the same idea
// of who is alive. A home gives out no more than this part of an allowance, so
// that two homes on two sides of a cut never give out more than the whole. It is 0 where this
// entry has no part.
func (m *Members) Backing() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasPart() {
		return 0
	}
	now := m.Clock.Now()
	m.refresh(now)
	count := 1
	if m.cutOff(now) {
		return float64(count) / float64(m.entries())
	}
	for name, other := range m.list {
		if name != m.self && m.heardLately(now, other) && other.view == m.view {
			count++
		}
	}
	return float64(count) / float64(m.entries())
}
