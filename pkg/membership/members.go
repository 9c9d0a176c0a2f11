// Package membership knows the entries of a deployment: which are listed in the
// platform's store, which were heard of lately, and which of them is in
// charge of a matter, such as the books of a client account.
package membership

import (
	"context"
	"net/netip"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
	"quaydock/pkg/telemetry"
)

// Rows writes rows of the table of members.
type RowWriter interface {
	Put(ctx context.Context, key string, value []byte) error
	// PutAll writes rows by their keys, all or none.
	PutAll(ctx context.Context, rows map[string][]byte) error
	// Remove takes rows away by their keys, all or none.
	Remove(ctx context.Context, keys ...string) error
}

// member is one listed entry.
type member struct {
	name    ids.Process
	address netip.AddrPort
	heardAt clock.Millis
	// greetedAt is when its last greeting came. Other than heardAt, it stays while
	// the entry is in doubt.
	greetedAt clock.Millis
	greeting  stamp        // of that greeting
	heardUs   clock.Millis // when it last heard this entry, at the least
	listed    clock.Millis // when it was first seen listed
	revision  int64        // of its row
	before    bool         // it was listed before this entry had read a list
	// leftAt is when it was last left for not answering, the oldest first.
	leftAt [mostLeft]clock.Millis
	// view is the fingerprint of the entries that it took for alive.
	view   uint64
	weight float64
	domain ids.FailureDomain
	// leaving says that it is being stopped.
	leaving bool
	// lagging says that it is behind its own clock.
	lagging bool
	// noStoreUntil is up to when it is taken not to reach the store.
	noStoreUntil clock.Millis
}

// Listing is what an entry's row says.
type Listing struct {
	Address string `json:"address"`
	// Weight is how much its VM can do, for the choice of homes; only the
	// proportion between entries counts.
	Weight float64 `json:"weight"`
	// Domain is its failure domain: bytes to others cost.
	Domain ids.FailureDomain `json:"domain,omitempty"`
}

// Members is the list of entries. It handles what a follower reads.
type Members struct {
	common.Common
	self    ids.Process
	address netip.AddrPort
	weight  float64
	domain  ids.FailureDomain
	rows    RowWriter
	link    *packets.Link

	mu      sync.Mutex
	list    map[ids.Process]*member
	faults  *follow.Faults // rows of the list that cannot be used
	sampler *telemetry.Sampler
	listed  bool // this entry's own row is there
	joining joining
	// taken is told once a registrar has taken this entry's row.
	taken         chan struct{}
	registrations registrations
	probes        probes
	names         []ids.Process // of all other entries on the list, by name; nil until they are needed

	// leaving says that this entry is being stopped.
	leaving bool
	alive   []ids.Process
	view    uint64 // fingerprint of alive
	// aliveUntil is up to when alive holds, unless something is heard; below
	// zero if it has to be worked out anew.
	aliveUntil   clock.Millis
	homes        map[string]ids.Process // of matters, among those alive
	heavyHomes   map[string]ids.Process // of heavy matters
	lag          lag
	wake         chan struct{} // has the next greeting sent soon: who is listed or alive has changed
	noStoreUntil clock.Millis  // up to when this entry is taken not to reach the store

	startedAt clock.Millis
	greetedAt clock.Millis // when the last greeting of anybody came
	assurance assurance
	inquiries map[ids.Process]*inquiry
	ready     chan struct{} // closed when the list was first read
	readOnce  sync.Once
	peopled   chan struct{} // closed when an entry was first seen on it
	seenOnce  sync.Once
	// strangers are the addresses of entries that greet this one before it has read the
	// list: they know it from an earlier run.
	strangers map[netip.AddrPort]bool
	// trust is for how long after a proof the entries may go on serving on the word of
	// one another alone; 0 if they all stop on their own well before ForgetAfter.
	trust clock.Millis
}

var _ follow.Handler = (*Members)(nil)

// Self is what an entry says of itself.
type Self struct {
	Name    ids.Process
	Address netip.AddrPort
	// Weight is how much its VM can do.
	Weight float64
	Domain ids.FailureDomain
}

// New returns the list of entries before any row of it was read.
func New(c common.Common, self Self, rows RowWriter, link *packets.Link) *Members {
	m := &Members{
		Common: c, self: self.Name, address: self.Address, weight: self.Weight, domain: self.Domain, rows: rows, link: link,
		list: make(map[ids.Process]*member), faults: follow.NewFaults(c, "entries"), sampler: telemetry.NewSampler(c.Clock, c.Log, linesASecond),
		homes: make(map[string]ids.Process), heavyHomes: make(map[string]ids.Process),
		wake: make(chan struct{}, 1), aliveUntil: stale,
		startedAt: c.Clock.Now(), assurance: assurance{run: c.Random.Fork().Uint64()}, inquiries: make(map[ids.Process]*inquiry),
		probes: probes{open: make(map[ids.Process]*probe)},
		taken:  make(chan struct{}, 1), registrations: registrations{waiting: make(map[ids.Process]Listing), wake: make(chan struct{}, 1)},
		ready: make(chan struct{}), peopled: make(chan struct{}), strangers: make(map[netip.AddrPort]bool),
	}
	m.refresh(c.Clock.Now())
	link.Handle(packets.KindHeartbeat, packets.Receive(link, m.greeted))
	link.Handle(packets.KindProbe, packets.Receive(link, m.probed))
	link.Handle(packets.KindSuspicion, packets.Receive(link, m.suspected))
	link.Handle(packets.KindRegistration, packets.Receive(link, m.applied))
	link.Handle(packets.KindRegistrationTaken, packets.Receive(link, m.rowTaken))
	link.Handle(packets.KindSilenceQuestion, packets.Receive(link, m.askedForSilence))
	link.Handle(packets.KindSilenceAnswer, packets.Receive(link, m.toldOfSilence))
	return m
}

// SetTrust sets for how long after a proof from the store an entry may go on serving
// on the word of the others alone; 0 if none does. It is the same at all entries.
func (m *Members) SetGrace(trust clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trust = trust
}

// Entries is how many entries may be serving. known is false until this entry has read a list
// on which it stands itself, and while its row is missing.
func (m *Members) Entries() (count int, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries(), m.list[m.self] != nil
}

// Share is this entry's part of what all may spend together without asking one another; 0 while
// it has none.
func (m *Members) Share() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasPart() {
		return 0
	}
	return 1 / float64(m.entries())
}

// hasPart reports whether this entry has a part of what all may spend: it has read a list on which
// it stands itself, and most others count it. Before that it does not know among how many to divide,
// or the others have the whole among them. Four that took themselves for the only one, as when all start beside a store that
// is away, gave out 1.7 times the bound of an account in a window, played in virtual time.
// The lock is held.
func (m *Members) hasPart() bool { return m.list[m.self] != nil && m.accepted() }

// entries counts the list and this entry, also where it does not stand on it.
func (m *Members) entries() int {
	n := len(m.list)
	if m.list[m.self] == nil {
		n++
	}
	return n
}

// Whole replaces the list.
func (m *Members) Snapshot(rows []follow.Row, _ follow.Freshness) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.list
	m.aliveUntil = stale
	m.changed()
	m.list = make(map[ids.Process]*member, len(rows))
	m.names = nil
	starting := len(before) == 0
	first := !m.Known()
	for _, row := range rows {
		m.put(row, before[ids.Process(row.Key)], !starting)
	}
	if first {
		for _, listed := range m.list {
			listed.before = true
		}
	}
	if starting { // one line for all: at a start of all each entry would write one for each
		m.Log.WithField("entries", len(m.list)).Info("first list of entries")
	}
	m.faults.Retain(rows)
	m.noteOwnRow(first)
	m.readOnce.Do(func() { close(m.ready) })
	clear(m.strangers)
}

// Ready is closed when the list was first read.
func (m *Members) Ready() <-chan struct{} { return m.ready }

// Peopled is closed when an entry was first seen on the list, be it this one. Those that start when it is still empty
// know nobody yet whom they could ask for what they need.
func (m *Members) FirstListed() <-chan struct{} { return m.peopled }

// Known reports whether a list was ever read, also one on which this entry does not stand.
func (m *Members) Known() bool {
	select {
	case <-m.ready:
		return true
	default:
		return false
	}
}

// listedRight reports whether this entry's row is there and says what it should.
func (m *Members) listedRight() bool {
	own := m.list[m.self]
	return own != nil && own.address == m.address && own.weight == m.weight && own.domain == m.domain
}

// Changed applies changes.
func (m *Members) Changed(rows []follow.Row, _ follow.Freshness) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.aliveUntil = stale
	if len(rows) > 0 {
		m.names = nil
		m.changed()
	}
	for _, row := range rows {
		name := ids.Process(row.Key)
		if row.Gone {
			delete(m.list, name)
			m.faults.Clear(row.Key)
			m.logRow(row, "entry no longer listed")
			continue
		}
		m.put(row, m.list[name], true)
	}
	m.noteOwnRow(false)
}

// put takes a row; log says whether to write a line about it.
func (m *Members) put(row follow.Row, before *member, log bool) {
	listing, address, err := parseListing(row.Value)
	if err != nil {
		m.keep(row, before, err)
		return
	}
	m.faults.Clear(row.Key)
	if before != nil && before.address == address && before.weight == listing.Weight && before.domain == listing.Domain {
		m.list[before.name] = before
		return
	}
	if log {
		m.logRow(row, "entry listed")
	}
	m.list[ids.Process(row.Key)] = &member{name: ids.Process(row.Key), address: address, weight: listing.Weight, domain: listing.Domain, listed: m.Clock.Now(), revision: row.Version}
}

// linesASecond bounds the log lines of each kind: where all entries start together, each would write one for each
// other.
const linesASecond = 10

func (m *Members) logRow(row follow.Row, line string) {
	if m.sampler.Allow(line) {
		m.Log.WithField("entry", row.Key).Info(line)
	}
}

// keep goes on with what was known of an entry whose row cannot be used: it may be alive, and
// without it the others would share out its part of what all may spend. This entry's own row, if
// it is the one, counts as missing, so that it is written again.
func (m *Members) keep(row follow.Row, before *member, err error) {
	m.faults.Add(row, err)
	switch name := ids.Process(row.Key); {
	case name == m.self:
		delete(m.list, name)
	case before != nil:
		m.list[name] = before
	}
}

// Lost does nothing: the list stays.
func (m *Members) ReadFailed(error) {}
