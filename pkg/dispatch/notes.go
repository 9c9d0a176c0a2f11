package dispatch

import (
	"context"
	"maps"
	"net/netip"
	gosync "sync"

	"github.com/fxamacker/cbor/v2"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
)

// Notes is the table of the platform's store in which homes note what they have
// learned, one row a service.
type EstimateStore interface {
	Put(ctx context.Context, key string, value []byte) error
	Snapshot(ctx context.Context) (follow.Batch, error)
}

const (
	// tellEvery is how often a home tells the one that would follow it what it has
	// learned, and noteEvery how often it notes it in the store, for the case that
	// both are lost at once.
	tellEvery = clock.Second
	noteEvery = 5 * clock.Second
	// noteTime bounds a call to the store.
	noteTime = 600 * clock.Millisecond
	// factorsAPage is how many factors surely fit into one datagram.
	factorsAPage = 24
)

// lesson is what a home has learned of a service. The factors of many targets
// come in several messages, the first of which replaces what was told before.
type lesson struct {
	_       struct{} `cbor:",toarray"`
	Service ids.Service
	Page    int
	Learned planner.Estimates
}

// memory keeps what homes have learned, at the home itself and at the entry that
// would follow it.
type memory struct {
	common.Common
	members *membership.Members
	link    *packets.Link
	notes   EstimateStore
	faults  *follow.Faults

	mu    gosync.Mutex
	heard map[ids.Service]*planner.Estimates // of homes
	noted map[ids.Service]clock.Millis       // when it was last noted here
}

func newMemory(c common.Common, members *membership.Members, link *packets.Link, notes EstimateStore) *memory {
	m := &memory{Common: c, members: members, link: link, notes: notes, faults: follow.NewFaults(c, "notes"), heard: make(map[ids.Service]*planner.Estimates), noted: make(map[ids.Service]clock.Millis)}
	link.Handle(packets.KindEstimates, packets.Receive(link, m.hear))
	return m
}

// hear takes what a home tells.
func (m *memory) hear(_ netip.AddrPort, l *lesson) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if before := m.heard[l.Service]; before != nil && l.Page > 0 {
		known := maps.Clone(before.Factors)
		maps.Copy(known, l.Learned.Factors)
		l.Learned.Factors = known
	}
	m.heard[l.Service] = &l.Learned
}

// of returns what is known of a service, or nil.
func (m *memory) of(service ids.Service) *planner.Estimates {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard[service]
}

// tell tells the entry that would follow what this home has learned, and notes it in
// the store now and then. One message a second for some two dozen targets does not grow with
// the number of entries.
func (m *memory) tell(ctx context.Context, now clock.Millis, service ids.Service, l *planner.Estimates) {
	for id := range l.Factors {
		if len(l.Factors) <= mostFactors {
			break
		}
		delete(l.Factors, id)
	}
	if next, others := m.members.HeavySuccessor(matter(service)); others {
		for i, page := range pages(l) {
			m.link.Send(next, packets.KindEstimates, lesson{Service: service, Page: i, Learned: page})
		}
	}
	m.mu.Lock()
	m.heard[service] = l
	due := now-m.noted[service] >= noteEvery
	if due {
		m.noted[service] = now
	}
	m.mu.Unlock()
	if due {
		go m.note(ctx, service, l)
	}
}

// mostFactors bounds what is passed on of one service, so that it fits into a row of the store.
const mostFactors = 1700

// pages divides what was learned so that each part fits into a datagram.
func pages(l *planner.Estimates) []planner.Estimates {
	page := *l
	page.Factors = make(map[ids.TargetIncarnation]float64)
	var list []planner.Estimates
	for id, f := range l.Factors {
		page.Factors[id] = f
		if len(page.Factors) == factorsAPage {
			list = append(list, page)
			page.Factors = make(map[ids.TargetIncarnation]float64)
		}
	}
	return append(list, page)
}

func (m *memory) note(ctx context.Context, service ids.Service, l *planner.Estimates) {
	ctx, cancel := context.WithTimeout(ctx, noteTime.Duration())
	defer cancel()
	value, err := cbor.Marshal(l)
	if err == nil {
		err = m.notes.Put(ctx, string(service), value)
	}
	if err != nil {
		m.Log.WithError(err).WithField("service", string(service)).Info("what was learned is not noted in the store")
	}
}

// read reads the notes of all services, as when this entry has just started, and
// calls done with what they say.
func (m *memory) read(ctx context.Context, done func(ids.Service, *planner.Estimates)) {
	ctx, cancel := context.WithTimeout(ctx, noteTime.Duration())
	defer cancel()
	batch, err := m.notes.Snapshot(ctx)
	if err != nil {
		m.Log.WithError(err).Info("what was learned before is not read")
		return
	}
	for _, row := range batch.Rows {
		l := &planner.Estimates{}
		err := cbor.Unmarshal(row.Value, l)
		if err == nil {
			err = l.Check()
		}
		if err != nil {
			m.faults.Add(row, err)
			continue
		}
		service := ids.Service(row.Key)
		m.mu.Lock()
		if m.heard[service] == nil {
			m.heard[service] = l
		}
		m.mu.Unlock()
		done(service, l)
	}
}
