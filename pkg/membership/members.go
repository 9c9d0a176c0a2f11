// Package membership knows the entries of a deployment: which are listed in the
// platform's store, which were heard of lately, and which of them is in
// charge of a matter, such as the books of a client account.
package membership

import (
	"context"
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

// Rows writes rows of the table of members.
type Rows interface {
	Put(ctx context.Context, key string, value []byte) error
	Remove(ctx context.Context, key string) error
}

const (
	// helloEvery is how often entries greet one another; it grows with their
	// number beyond helloPeers, so that the greetings of one stay bounded.
	helloEvery = 150 * clock.Millisecond
	helloPeers = 8
	// helloSoonest is the least time between two greetings of an entry. One that
	// has started, or has heard of another, does not wait for helloEvery: until
	// entries agree on who lives, each plans by itself and gives out a part only.
	helloSoonest = 20 * clock.Millisecond
	// heardFor is for how many greetings' time an entry counts as alive: two
	// may be lost.
	heardFor = 3
	// forgetAfter is after what silence an entry's row is taken out of the
	// store. It is above the time after which an entry without the store stops
	// serving keyed requests.
	forgetAfter = 8 * clock.Second

	writeTimeout = clock.Second
	minBackoff   = 50 * clock.Millisecond
	maxBackoff   = clock.Second
)

// member is one listed entry.
type member struct {
	name    ids.Process
	address netip.AddrPort
	heardAt clock.Millis
	listed  clock.Millis // when it was first seen listed
	// circle is the fingerprint of the entries that it took for alive.
	circle uint64
	weight float64
	// noStoreUntil is up to when it is taken not to reach the store.
	noStoreUntil clock.Millis
}

// Listing is what an entry's row says.
type Listing struct {
	Address string `json:"address"`
	// Weight is how much its VM can do, for the choice of homes; only the
	// proportion between entries counts.
	Weight float64 `json:"weight"`
}

// hello is a greeting.
type hello struct {
	_       struct{} `cbor:",toarray"`
	Name    ids.Process
	Circle  uint64
	NoStore bool // it does not reach the store
}

// Members is the list of entries. It handles what a follower reads.
type Members struct {
	common.Common
	self    ids.Process
	address netip.AddrPort
	weight  float64
	rows    Rows
	link    *packets.Link

	mu     sync.Mutex
	list   map[ids.Process]*member
	listed bool // this entry's own row is there
	alive  []ids.Process
	circle uint64
	// aliveUntil is up to when alive holds, unless something is heard; below
	// zero if it has to be worked out anew.
	aliveUntil   clock.Millis
	homes        map[string]ids.Process // of matters, among those alive
	news         chan struct{}          // told when who is listed or alive has changed
	noStoreUntil clock.Millis           // up to when this entry is taken not to reach the store
}

var _ follow.Handler = (*Members)(nil)

// New returns a list with this entry alone. Its weight is how much its VM can
// do.
func New(c common.Common, self ids.Process, address netip.AddrPort, weight float64, rows Rows, link *packets.Link) *Members {
	m := &Members{Common: c, self: self, address: address, weight: weight, rows: rows, link: link, list: make(map[ids.Process]*member), homes: make(map[string]ids.Process), news: make(chan struct{}, 1), aliveUntil: stale}
	m.refresh(c.Clock.Now())
	link.Handle(packets.KindHello, packets.Receive(link, m.greeted))
	return m
}

// Run keeps this entry listed and greets the others until ctx ends.
func (m *Members) Run(ctx context.Context) {
	go m.keepListed(ctx)
	for ctx.Err() == nil {
		m.greet()
		clock.Pause(ctx, helloSoonest)
		m.await(ctx, m.interval()-helloSoonest)
	}
}

// await waits, but not beyond a change of who is listed or alive.
func (m *Members) await(ctx context.Context, wait clock.Millis) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-m.news:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// changed has the next greeting sent soon.
func (m *Members) changed() {
	if m.Ablation.Off(ablation.QuickGreetings) {
		return
	}
	select {
	case m.news <- struct{}{}:
	default: // it has been told already
	}
}

func (m *Members) interval() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.every()
}

func (m *Members) every() clock.Millis {
	return helloEvery * clock.Millis(max(1, len(m.list)/helloPeers))
}

// greet sends a greeting to all others.
func (m *Members) greet() {
	m.mu.Lock()
	m.refresh(m.Clock.Now())
	message := hello{Name: m.self, Circle: m.circle, NoStore: m.Clock.Now() < m.noStoreUntil}
	to := m.others()
	m.mu.Unlock()
	for _, address := range to {
		m.link.Send(address, packets.KindHello, message)
	}
}

// Others returns the addresses of all other entries.
func (m *Members) Others() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others()
}

func (m *Members) others() []netip.AddrPort {
	var list []netip.AddrPort
	for name, other := range m.list {
		if name != m.self {
			list = append(list, other.address)
		}
	}
	return list
}

func (m *Members) greeted(from netip.AddrPort, message *hello) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.list[message.Name]
	if other == nil || other.address != from {
		return // its row has not been read yet
	}
	now := m.Clock.Now()
	if !m.lively(now, other) {
		m.aliveUntil = stale
		m.changed()
	}
	other.heardAt = now
	other.circle = message.Circle
	other.noStoreUntil = 0
	if message.NoStore {
		other.noStoreUntil = now + noStoreFor
	}
}

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
	digest := xxhash.New()
	for _, name := range m.alive {
		_, _ = digest.WriteString(string(name) + "\n") // a digest takes everything
	}
	m.circle = digest.Sum64()
}

func (m *Members) lively(now clock.Millis, other *member) bool {
	return other.heardAt > 0 && now <= m.livelyUntil(other)
}

func (m *Members) livelyUntil(other *member) clock.Millis {
	return other.heardAt + heardFor*m.every() + helloEvery/2
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
	if home == m.self {
		return m.address, true
	}
	return m.list[home].address, false
}

// noStoreFor is for how long an entry is not asked to read the store after a
// question of its own failed.
const noStoreFor = 10 * clock.Second

// NoteStore notes whether this entry's last question to the store was answered.
func (m *Members) NoteStore(answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noStoreUntil = 0
	if !answered {
		m.noStoreUntil = m.Clock.Now() + noStoreFor
	}
}

// ReachesStore reports whether this entry's last question to the store was
// answered, as far as is known.
func (m *Members) ReachesStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now() >= m.noStoreUntil
}

// Reader is Home for a matter that needs the store: entries that do not reach it
// are passed over, unless none does.
func (m *Members) Reader(matter string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	m.refresh(now)
	var eligible []ids.Process
	for _, name := range m.alive {
		if now >= m.noStoreUntilOf(name) {
			eligible = append(eligible, name)
		}
	}
	if len(eligible) == 0 {
		eligible = m.alive
	}
	best := m.rank(matter, eligible)
	if best == m.self {
		return m.address, true
	}
	return m.list[best].address, false
}

func (m *Members) noStoreUntilOf(name ids.Process) clock.Millis {
	if name == m.self {
		return m.noStoreUntil
	}
	return m.list[name].noStoreUntil
}

// rank returns the first of some entries for a matter; the lock is held.
func (m *Members) rank(matter string, among []ids.Process) ids.Process {
	best, most := among[0], math.Inf(-1)
	for _, name := range among {
		if score := m.score(name, matter); score >= most {
			best, most = name, score
		}
	}
	return best
}

// score ranks an entry for a matter: weighted rendezvous hashing, by which each
// entry gets matters by its weight, and one that goes gives up only its own. The lock is held.
func (m *Members) score(name ids.Process, matter string) float64 {
	weight := m.weight
	if listed := m.list[name]; listed != nil {
		weight = listed.weight
	}
	const steps = 1 << 53
	draw := (float64(xxhash.Sum64String(string(name)+"\x00"+matter)>>11) + 1) / (steps + 1) // within (0, 1)
	// Squared, since a weak VM is better left to its callers.
	return -weight * weight / math.Log(draw)
}

// Doubt says that an entry did not answer. Where greetings are rare, as among
// many entries, it counts as gone until it is heard again; among few, greetings
// tell as soon.
func (m *Members) Doubt(address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.every() <= helloEvery {
		return
	}
	for _, other := range m.list {
		if other.address == address {
			other.heardAt = 0
			m.aliveUntil = stale
		}
	}
}

// Backing is the part of all listed entries that surely takes this one for the
// home wherever it takes itself for it: those heard lately with the same idea
// of who is alive. A home gives out no more than this part of an allowance, so
// that two homes on two sides of a cut never give out more than the whole.
func (m *Members) Backing() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	m.refresh(now)
	count := 1
	for name, other := range m.list {
		if name != m.self && m.lively(now, other) && other.circle == m.circle {
			count++
		}
	}
	return float64(count) / float64(m.entries())
}

// Entries is how many entries may be serving.
func (m *Members) Entries() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries()
}

func (m *Members) entries() int {
	n := len(m.list)
	if m.list[m.self] == nil {
		n++
	}
	return n
}

// Whole replaces the list.
func (m *Members) Whole(rows []follow.Row, _ follow.Proof) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.list
	m.aliveUntil = stale
	m.changed()
	m.list = make(map[ids.Process]*member, len(rows))
	for _, row := range rows {
		m.put(row, before[ids.Process(row.Key)])
	}
	m.listed = m.list[m.self] != nil
}

// Changed applies changes.
func (m *Members) Changed(rows []follow.Row, _ follow.Proof) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.aliveUntil = stale
	if len(rows) > 0 {
		m.changed()
	}
	for _, row := range rows {
		name := ids.Process(row.Key)
		if row.Gone {
			delete(m.list, name)
			m.Log.WithField("entry", row.Key).Info("entry no longer listed")
			continue
		}
		m.put(row, m.list[name])
	}
	m.listed = m.list[m.self] != nil
}

func (m *Members) put(row follow.Row, before *member) {
	var listing Listing
	err := json.Unmarshal(row.Value, &listing)
	var address netip.AddrPort
	if err == nil {
		address, err = netip.ParseAddrPort(listing.Address)
	}
	if err != nil || listing.Weight <= 0 {
		m.Log.WithError(err).WithField("entry", row.Key).Warn("an entry's row is passed over")
		return
	}
	if before != nil && before.address == address && before.weight == listing.Weight {
		m.list[before.name] = before
		return
	}
	m.Log.WithField("entry", row.Key).Info("entry listed")
	m.list[ids.Process(row.Key)] = &member{name: ids.Process(row.Key), address: address, weight: listing.Weight, listed: m.Clock.Now()}
}

// Lost does nothing: the list stays.
func (m *Members) Lost(error) {}
