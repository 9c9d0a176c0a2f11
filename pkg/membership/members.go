// Package membership tracks the entries of a deployment: which ones are listed in the platform's row store, which are
// alive, and which one owns a shard, such as the bucket of a client account.
package membership

import (
	"context"
	"net/netip"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
	"quaydock/pkg/telemetry"
)

// RowWriter writes rows of the table of entries.
type RowWriter interface {
	// Put writes one row.
	Put(ctx context.Context, key string, value []byte) error
	// PutAll writes all rows, given by key, in one transaction.
	PutAll(ctx context.Context, rows map[string][]byte) error
	// Remove deletes the rows with these keys in one transaction.
	Remove(ctx context.Context, keys ...string) error
}

// member is one listed entry. The lock of Members guards it. Its times, without lastTimestamp, are by this process's
// clock.
type member struct {
	name        ids.Process
	address     netip.AddrPort // of its row; heartbeats, probes and silence replies in its name count only from there
	lastAliveAt clock.Millis   // when its last heartbeat arrived; 0 while it is suspected
	// lastHeartbeatAt is when its last heartbeat arrived; unlike lastAliveAt it is kept while the entry is suspected.
	lastHeartbeatAt clock.Millis
	lastTimestamp   timestamp        // of its last heartbeat
	receivedOursAt  clock.Millis     // when this entry sent the last heartbeat that it acknowledged, 0 if none
	listedAt        clock.Millis     // when this entry first saw it listed as it is now
	revision        history.Position // of the row with which it was listed as it is now
	inFirstList     bool             // it was in the first list that this entry read
	// suspectedAt holds the last times at which it was suspected for not answering probes, oldest first; 0 where there
	// was none in its present run.
	suspectedAt [maxSuspicions]clock.Millis
	// aliveDigest is the hash of its membership view: the set of entries that it takes for alive.
	aliveDigest uint64
	// weight and domain are those of its Listing.
	weight float64
	domain ids.FailureDomain
	// leaving is set once it has announced that it will end.
	leaving bool
	// lagging is set while its timers fire late.
	lagging bool
	// noStoreUntil is until when it is assumed not to reach the store.
	noStoreUntil clock.Millis
}

// Listing is the content of an entry's row.
type Listing struct {
	Address string `json:"address"`
	// Weight is the fraction of a core, or the number of cores, that the entry may use. Owners are chosen by the ratios of
	// weights; only those of heavy shards must also have minHeavyWeight.
	Weight float64 `json:"weight"`
	// Domain is its failure domain. Traffic to other domains is charged.
	Domain ids.FailureDomain `json:"domain,omitempty"`
}

// Members is the list of entries. It implements follow.Handler for the table of entries. Its mutex guards the fields
// below it.
type Members struct {
	common.Common
	self    ids.Process
	address netip.AddrPort
	weight  float64
	domain  ids.FailureDomain
	rows    RowWriter
	link    *packets.Link

	mu           sync.Mutex
	list         map[ids.Process]*member // listed entries, this one included once its row has been read
	faults       *follow.Faults          // invalid rows of the list
	sampler      *telemetry.Sampler      // limits the log lines of logRow
	ownRowListed bool                    // this entry's own row is present and correct
	joining      joining
	returned     returned
	// registrationAcked is signalled when a registrar has accepted this entry's registration.
	registrationAcked chan struct{}
	registrations     registrations
	probes            probes
	names             []ids.Process // of all other listed entries, sorted; nil until needed

	// leaving is set once this entry has announced that it will end.
	leaving     bool
	alive       []ids.Process // the membership view: names of the alive entries and of this one, sorted
	aliveDigest uint64        // hash of alive
	// aliveUntil is until when alive stays valid if no message changes it; negative if it must be recomputed.
	aliveUntil   clock.Millis
	owners       map[string]ids.Process // by shard, chosen among alive
	heavyOwners  map[string]ids.Process // by heavy shard
	lag          lag
	wake         chan struct{} // sends the next heartbeats early: the set of listed or alive entries has changed
	noStoreUntil clock.Millis  // until when this entry is assumed not to reach the store

	startedAt       clock.Millis // when New was called
	lastHeartbeatAt clock.Millis // when the last heartbeat of any entry arrived
	lease           membershipLease
	silenceQueries  map[ids.Process]*pendingSilenceQuery // by the entry that they ask about
	ready           chan struct{}                        // closed when the first list was read
	readOnce        sync.Once
	firstListed     chan struct{} // closed when an entry was first seen on the list
	firstListedOnce sync.Once
	// unlistedPeers are the addresses of entries that send heartbeats to this one before it has read the list: they
	// know it from an earlier run.
	unlistedPeers map[netip.AddrPort]bool
	// onStart is called with the address of an entry at the first heartbeat of its process, without the lock; may be nil.
	onStart func(netip.AddrPort)
	// grace is how long after the last confirmed freshness entries may go on serving on the strength of one another's
	// heartbeats alone; 0 if all stop by themselves well before ForgetAfter.
	grace clock.Millis
}

var _ follow.Handler = (*Members)(nil)

// Self describes this entry.
type Self struct {
	Name    ids.Process
	Address netip.AddrPort
	// Weight is that of its Listing.
	Weight float64
	Domain ids.FailureDomain
}

// New returns an empty list of entries.
func New(c common.Common, self Self, rows RowWriter, link *packets.Link) *Members {
	m := &Members{
		Common: c, self: self.Name, address: self.Address, weight: self.Weight, domain: self.Domain, rows: rows, link: link,
		list: make(map[ids.Process]*member), faults: follow.NewFaults(c, "entries"), sampler: telemetry.NewSampler(c.Clock, c.Log, maxLogLinesPerSecond),
		owners: make(map[string]ids.Process), heavyOwners: make(map[string]ids.Process),
		wake: make(chan struct{}, 1), aliveUntil: stale,
		startedAt: c.Clock.Now(), lease: membershipLease{run: c.Random.Fork().Uint64()}, silenceQueries: make(map[ids.Process]*pendingSilenceQuery),
		probes:            probes{open: make(map[ids.Process]*probe)},
		registrationAcked: make(chan struct{}, 1), registrations: registrations{pending: make(map[ids.Process]Listing), wake: make(chan struct{}, 1)},
		ready: make(chan struct{}), firstListed: make(chan struct{}), unlistedPeers: make(map[netip.AddrPort]bool),
	}
	m.refresh(c.Clock.Now())
	link.Handle(packets.KindHeartbeat, packets.Receive(link, m.handleHeartbeat))
	link.Handle(packets.KindProbe, packets.Receive(link, m.handleProbe))
	link.Handle(packets.KindSuspicion, packets.Receive(link, m.handleSuspicion))
	link.Handle(packets.KindRegistration, packets.Receive(link, m.handleRegistration))
	link.Handle(packets.KindRegistrationTaken, packets.Receive(link, m.handleRegistrationAck))
	link.Handle(packets.KindSilenceQuery, packets.Receive(link, m.handleSilenceQuery))
	link.Handle(packets.KindSilenceAnswer, packets.Receive(link, m.handleSilenceReply))
	return m
}

// OnStart sets the function that is notified of the first heartbeat of each process of another entry. It must not block.
func (m *Members) OnStart(notify func(netip.AddrPort)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onStart = notify
}

// SetGrace sets how long after the last freshness confirmed by the store an entry may go on serving on the strength
// of the others' heartbeats alone; 0 disables that. All entries must use the same value.
func (m *Members) SetGrace(grace clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grace = grace
}

// Entries returns how many entries may be serving. known is false until this entry has read a list that includes
// itself, and while its row is missing.
func (m *Members) Entries() (count int, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entryCount(), m.list[m.self] != nil
}

// Share returns this entry's share of what all entries may spend together without asking one another; 0 while it has
// none.
func (m *Members) Share() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasShare() {
		return 0
	}
	return 1 / float64(m.entryCount())
}

// hasShare reports whether this entry has a share of what all may spend: it has read a list that includes itself, and
// most other entries have it on theirs. Otherwise it does not know among how many to divide, or the others have
// already divided the whole among themselves. Without this, four entries that start while the store is
// unreachable each take themselves for the only one, and together give out 1.7 times an account's limit in a window.
// The lock is held.
func (m *Members) hasShare() bool { return m.list[m.self] != nil && m.countedByMajority() }

// entryCount returns the number of listed entries, plus one if this entry is not listed. The lock is held.
func (m *Members) entryCount() int {
	n := len(m.list)
	if m.list[m.self] == nil {
		n++
	}
	return n
}

// Snapshot replaces the list by all rows of the table. Entries whose rows did not change keep their state, and other
// entries whose rows are invalid now keep their last valid data.
func (m *Members) Snapshot(rows []follow.Row, freshness follow.Freshness) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.list
	m.aliveUntil = stale
	m.requestHeartbeat()
	m.list = make(map[ids.Process]*member, len(rows))
	m.names = nil
	starting := len(before) == 0
	first := !m.ListRead()
	for _, row := range rows {
		m.applyRow(row, before[ids.Process(row.Key)], !starting)
	}
	m.keepMissing(before, freshness.Position)
	if first {
		for _, listed := range m.list {
			listed.inFirstList = true
		}
	}
	if starting { // one line in all: when all entries start together, each would log one for every other
		m.Log.WithField("entries", len(m.list)).Info("first list of entries")
	}
	m.faults.Retain(rows)
	m.recordOwnRow(first)
	m.readOnce.Do(func() { close(m.ready) })
	clear(m.unlistedPeers)
}

// Ready returns a channel that is closed when the first list was read.
func (m *Members) Ready() <-chan struct{} { return m.ready }

// FirstListed returns a channel that is closed when an entry, possibly this one, was first seen on the list. Entries
// that start while the list is empty know no peer from which to fetch what they need.
func (m *Members) FirstListed() <-chan struct{} { return m.firstListed }

// ListRead reports whether any list was read, including one without this entry.
func (m *Members) ListRead() bool {
	select {
	case <-m.ready:
		return true
	default:
		return false
	}
}

// ownRowCurrent reports whether this entry's row is present and matches its address, weight and domain. The lock is
// held.
func (m *Members) ownRowCurrent() bool {
	own := m.list[m.self]
	return own != nil && own.address == m.address && own.weight == m.weight && own.domain == m.domain
}

// Changed applies changed and deleted rows; all others stay as they are.
func (m *Members) Changed(rows []follow.Row, _ follow.Freshness) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.aliveUntil = stale
	if len(rows) > 0 {
		m.names = nil
		m.requestHeartbeat()
	}
	for _, row := range rows {
		name := ids.Process(row.Key)
		if row.Gone {
			delete(m.list, name)
			delete(m.returned.missing, name)
			m.faults.Clear(row.Key)
			m.logRow(row, "entry no longer listed")
			continue
		}
		m.applyRow(row, m.list[name], true)
	}
	m.dropMissing()
	m.recordOwnRow(false)
}

// applyRow applies one row. before is the entry as listed so far, or nil: it keeps its state unless its data changed.
// log selects whether a new or changed entry is logged. The lock is held.
func (m *Members) applyRow(row follow.Row, before *member, log bool) {
	listing, address, err := parseListing(row.Value)
	if err != nil {
		m.keepPrevious(row, before, err)
		return
	}
	m.faults.Clear(row.Key)
	delete(m.returned.missing, ids.Process(row.Key))
	if before != nil && before.address == address && before.weight == listing.Weight && before.domain == listing.Domain {
		m.list[before.name] = before
		return
	}
	if log {
		m.logRow(row, "entry listed")
	}
	m.list[ids.Process(row.Key)] = &member{name: ids.Process(row.Key), address: address, weight: listing.Weight, domain: listing.Domain, listedAt: m.Clock.Now(), revision: row.Position}
}

// maxLogLinesPerSecond limits the log lines of each kind, listed or no longer listed: when all entries start together,
// each would log one line for every other.
const maxLogLinesPerSecond = 10

// logRow logs a line about the entry of a row, at most maxLogLinesPerSecond of the same text. The lock is held.
func (m *Members) logRow(row follow.Row, line string) {
	if m.sampler.Allow(line) {
		m.Log.WithField("entry", row.Key).Info(line)
	}
}

// keepPrevious keeps the last valid data of an entry whose row is now invalid: the entry may be alive, and without it
// the others would divide up its share. If it is this entry's own row, it counts as missing, so that it is written
// again. The lock is held.
func (m *Members) keepPrevious(row follow.Row, before *member, err error) {
	m.faults.Add(row, err)
	switch name := ids.Process(row.Key); {
	case name == m.self:
		delete(m.list, name)
	case before != nil:
		m.list[name] = before
	}
}

// ReadFailed does nothing: the list is kept while the store is unreachable.
func (m *Members) ReadFailed(error) {}
