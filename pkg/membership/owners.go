package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// stale as aliveUntil means that the set of alive entries must be recomputed.
const stale clock.Millis = -1

// maxAliveCacheAge is the longest time for which the set of alive entries is used before it is recomputed. It is
// recomputed earlier when one of them falls silent or a message changes it. An entry without others learns of new ones
// by their messages.
const maxAliveCacheAge = clock.Second

// refresh recomputes the set of alive entries if it is no longer valid, and forgets the owners chosen among the former
// set. The lock is held.
func (m *Members) refresh(now clock.Millis) {
	if now <= m.aliveUntil {
		return
	}
	m.alive = append(m.alive[:0], m.self)
	m.aliveUntil = now + maxAliveCacheAge
	for name, other := range m.list {
		if name != m.self && m.countsAsAlive(now, other) {
			m.alive = append(m.alive, name)
			m.aliveUntil = min(m.aliveUntil, m.aliveUntilOf(other))
		}
	}
	slices.Sort(m.alive)
	clear(m.owners)
	clear(m.heavyOwners)
	digest := xxhash.New()
	for _, name := range m.alive {
		_, _ = digest.WriteString(string(name) + "\n") // never fails
	}
	m.aliveDigest = digest.Sum64()
}

// countsAsAlive reports whether an entry has sent a recent heartbeat, or is presumed alive because this one has just
// started. The lock is held.
func (m *Members) countsAsAlive(now clock.Millis, other *member) bool {
	return m.heartbeatRecent(now, other) || m.presumedAlive(now, other)
}

// heartbeatRecent reports whether an entry's last heartbeat arrived within silenceLimit and it has not been suspected
// since. The lock is held.
func (m *Members) heartbeatRecent(now clock.Millis, other *member) bool {
	return other.lastAliveAt > 0 && now <= m.aliveUntilOf(other)
}

// aliveUntilOf returns until when an entry counts as alive if no heartbeat arrives: one without any heartbeat so far as
// long as it may be presumed alive. The lock is held.
func (m *Members) aliveUntilOf(other *member) clock.Millis {
	if other.lastHeartbeatAt == 0 {
		return m.startedAt + presumeAliveFor
	}
	return other.lastAliveAt + m.silenceLimit()
}

// SilenceLimit returns the time since an entry's last heartbeat after which, at the latest, it no longer counts as
// alive.
func (m *Members) SilenceLimit() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silenceLimit()
}

// silenceLimit is SilenceLimit for a caller that holds the lock.
func (m *Members) silenceLimit() clock.Millis {
	return aliveHeartbeats*m.scaledInterval() + heartbeatInterval/2
}

// presumeAliveFor is for how long after its start an entry presumes listed entries alive that it has no heartbeat
// from yet. Entries that start together, as after a loss of power, thereby choose the same owners and the same feed
// reader at once, instead of each owning everything until the first heartbeats have arrived. VMs start within 300 ms
// of one another.
const presumeAliveFor = clock.Second

// presumedAlive reports whether an entry without a heartbeat so far counts as alive. This holds only for entries of
// the first list: one listed later sends heartbeats once it has read its row, and owns nothing before that.
func (m *Members) presumedAlive(now clock.Millis, other *member) bool {
	return other.inFirstList && other.lastHeartbeatAt == 0 && now < m.startedAt+presumeAliveFor
}

// Owner returns the owner of a shard, and whether it is this entry. All entries with the same membership view return
// the same one.
func (m *Members) Owner(shard string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	owner, known := m.owners[shard]
	if !known {
		owner = m.topRanked(shard, m.alive)
		m.owners[shard] = owner
	}
	return m.addressOf(owner)
}

// Ranked returns the addresses of the alive other entries with the highest scores for a shard, up to a number of them,
// the highest first.
func (m *Members) Ranked(shard string, most int) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	var names []ids.Process
	var scores []float64
	for _, name := range m.alive {
		if name == m.self {
			continue
		}
		score := m.score(name, shard)
		at, _ := slices.BinarySearchFunc(scores, score, func(have, want float64) int { return cmp.Compare(want, have) })
		if at < most {
			names = slices.Insert(names, at, name)[:min(len(names)+1, most)]
			scores = slices.Insert(scores, at, score)[:min(len(scores)+1, most)]
		}
	}
	list := make([]netip.AddrPort, 0, len(names))
	for _, name := range names {
		list = append(list, m.list[name].address)
	}
	return list
}

// addressOf returns the address of an alive entry, and whether it is this one. Any other name must be on the list. The
// lock is held.
func (m *Members) addressOf(name ids.Process) (netip.AddrPort, bool) {
	if name == m.self {
		return m.address, true
	}
	return m.list[name].address, false
}

// DomainOwner returns the owner of a shard among the entries of this entry's failure domain, and whether it is this
// one. It fetches from other domains what all entries need, and the rest of its domain fetches it from there. While
// this entry waits for its listing, the owner is another one, of another domain if there is no other in its own.
func (m *Members) DomainOwner(shard string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	peers := m.domainPeers()
	if m.awaitsListing() {
		peers = m.withoutSelf(peers)
	}
	if len(peers) == 0 {
		peers = m.withoutSelf(m.alive)
	}
	return m.addressOf(m.topRanked(shard, peers))
}

// awaitsListing reports whether other entries are alive and this one is not listed yet. The others have, or are
// getting, what all entries need, and this one fetches it from them. The lock is held.
func (m *Members) awaitsListing() bool { return m.list[m.self] == nil && len(m.alive) > 1 }

// withoutSelf returns a copy of a list of names, without this entry's.
func (m *Members) withoutSelf(among []ids.Process) []ids.Process {
	return slices.DeleteFunc(slices.Clone(among), func(name ids.Process) bool { return name == m.self })
}

// domainPeers returns the alive entries of this entry's failure domain, including itself. The lock is held.
func (m *Members) domainPeers() []ids.Process {
	var peers []ids.Process
	for _, name := range m.alive {
		if name == m.self || m.list[name].domain == m.domain {
			peers = append(peers, name)
		}
	}
	return peers
}

// DomainPeers returns the addresses of the other alive entries of this entry's failure domain.
func (m *Members) DomainPeers() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	var peers []netip.AddrPort
	for _, name := range m.domainPeers() {
		if name != m.self {
			peers = append(peers, m.list[name].address)
		}
	}
	return peers
}

// noStoreFor is for how long an entry is not chosen to read the store after one of its own queries failed, unless a
// later one is answered before.
const noStoreFor = 10 * clock.Second

// RecordStoreReply records whether this entry's last query to the store was answered.
func (m *Members) RecordStoreReply(answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if before := now >= m.noStoreUntil; before != answered {
		m.requestHeartbeat() // another entry may have to read for all, and none may know that yet
	}
	m.noStoreUntil = 0
	if !answered {
		m.noStoreUntil = now + noStoreFor
	}
}

// FeedReader is Owner for a shard that needs the store: entries that are believed not to reach the store are skipped
// unless all are. It returns the feed reader, and whether it is this entry.
func (m *Members) FeedReader(shard string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible, _ := m.feedReaders(m.Clock.Now())
	best := m.topRanked(shard, eligible)
	return m.addressOf(best)
}

// FeedReaderRank returns how many entries precede this one as the feed reader of a shard: rank counts those that are
// believed to reach the store, rankAmongAlive counts all alive ones. While this entry waits for its listing, or for
// rank while it is believed not to reach the store, all others precede it.
func (m *Members) FeedReaderRank(shard string) (rank, rankAmongAlive int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible, alive := m.feedReaders(m.Clock.Now())
	own := m.score(m.self, shard)
	before := func(name ids.Process) bool {
		if m.awaitsListing() {
			return true
		}
		score := m.score(name, shard)
		return score > own || score == own && name > m.self
	}
	for _, name := range alive {
		if name != m.self && before(name) {
			rankAmongAlive++
		}
	}
	mayRead := slices.Contains(eligible, m.self)
	for _, name := range eligible {
		if name != m.self && (!mayRead || before(name)) {
			rank++
		}
	}
	return rank, rankAmongAlive
}

// feedReaders returns the alive entries that are believed to reach the store, or all alive ones if none is, and the
// alive ones. Neither list may be changed. The lock is held.
func (m *Members) feedReaders(now clock.Millis) (eligible, alive []ids.Process) {
	m.refresh(now)
	for _, name := range m.alive {
		if now >= m.noStoreUntilOf(name) {
			eligible = append(eligible, name)
		}
	}
	if m.awaitsListing() {
		eligible = m.withoutSelf(eligible)
	}
	if len(eligible) == 0 {
		eligible = m.alive
	}
	return eligible, m.alive
}

// noStoreUntilOf returns until when an entry, possibly this one, is assumed not to reach the store. The lock is held.
func (m *Members) noStoreUntilOf(name ids.Process) clock.Millis {
	if name == m.self {
		return m.noStoreUntil
	}
	return m.list[name].noStoreUntil
}

// Agreement returns the fraction of the listed entries that certainly take this entry for the owner of whatever it
// takes itself for the owner of: those with a recent heartbeat and the same membership view. An owner gives out no
// more than this fraction of an allowance, so that two owners on the two sides of a network partition never give out
// more than the whole. It is 0 while this entry has no share.
func (m *Members) Agreement() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasShare() {
		return 0
	}
	now := m.Clock.Now()
	m.refresh(now)
	count := 1
	if m.isolated(now) {
		return float64(count) / float64(m.entryCount())
	}
	for name, other := range m.list {
		if name != m.self && m.heartbeatRecent(now, other) && other.aliveDigest == m.aliveDigest {
			count++
		}
	}
	return float64(count) / float64(m.entryCount())
}
