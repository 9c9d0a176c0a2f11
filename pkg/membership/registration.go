package membership

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

// The store takes some hundred writes a second of all entries together. When many start at once, each writing its own
// row, most are turned away and ask again. So an entry that finds others on the list has the one that
// was listed first, the registrar, write its row with those of others. It writes its own where no registrar does.

const (
	// registrarAnswers is for how long an entry waits for a registrar to take its row, and mostRegistrars how many of
	// the listed it asks, one after the other, before it writes its own.
	registrarAnswers = 150 * clock.Millisecond
	mostRegistrars   = 3
	// listedWithin is for how long an entry whose row a registrar has taken waits to read it on the list: it is
	// written within writeTimeout, and then told as any other change is.
	listedWithin = writeTimeout + 2*clock.Second
	// lotEvery is how long a registrar gathers rows, and mostInLot how many it writes at once: the store's bound on a
	// transaction.
	lotEvery  = 80 * clock.Millisecond
	mostInLot = 100
)

// registration asks the registrar to write the sender's row.
type registration struct {
	_      struct{} `cbor:",toarray"`
	Name   ids.Process
	Weight float64
	Domain ids.FailureDomain
}

// taken says that the sender writes the receiver's row.
type taken struct {
	_    struct{} `cbor:",toarray"`
	Name ids.Process
}

// registrations are the rows that a registrar has yet to write.
type registrations struct {
	waiting map[ids.Process]Listing
	wake    chan struct{}
	// written says that this entry has written its own row, which it may not have read yet.
	written bool
}

// register has this entry's row written by others; it reports false if it has to write it itself.
func (m *Members) register(ctx context.Context) bool {
	select {
	case <-m.taken: // a late answer to an earlier question
	default:
	}
	for _, registrar := range m.registrars() {
		m.link.Send(registrar, packets.KindRegistration, registration{Name: m.self, Weight: m.weight, Domain: m.domain})
		select {
		case <-m.taken:
			return m.awaitListed(ctx)
		case <-time.After(registrarAnswers.Duration()):
		case <-ctx.Done():
		}
		if m.isListed() || ctx.Err() != nil {
			return true
		}
	}
	return false
}

// awaitListed waits until this entry has read its row on the list; it reports false if that takes too long.
func (m *Members) awaitListed(ctx context.Context) bool {
	for until := m.Clock.Now() + listedWithin; m.Clock.Now() < until && ctx.Err() == nil; {
		if m.isListed() {
			return true
		}
		clock.Pause(ctx, lotEvery)
	}
	return m.isListed()
}

// registrars lists those that are to write this entry's row: the longest listed first, on which all agree that have
// read the list of late.
func (m *Members) registrars() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	var others []*member
	for _, name := range m.withoutSelf(m.alive) {
		others = append(others, m.list[name])
	}
	slices.SortFunc(others, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.name, b.name))
	})
	var addresses []netip.AddrPort
	for _, other := range others[:min(len(others), mostRegistrars)] {
		addresses = append(addresses, other.address)
	}
	return addresses
}

// applied takes an entry that wants its row written.
func (m *Members) applied(from netip.AddrPort, r *registration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed && !m.registrations.written {
		return // the others ask one that is listed
	}
	m.registrations.waiting[r.Name] = Listing{Address: from.String(), Weight: r.Weight, Domain: r.Domain}
	m.link.Send(from, packets.KindRegistrationTaken, taken{Name: r.Name})
	select {
	case m.registrations.wake <- struct{}{}:
	default: // it has been woken already
	}
}

// rowTaken notes that a registrar writes this entry's row.
func (m *Members) rowTaken(_ netip.AddrPort, t *taken) {
	if t.Name != m.self {
		return
	}
	select {
	case m.taken <- struct{}{}:
	default: // it knows
	}
}

// writeLots writes the rows of others as they ask for it, until ctx ends.
func (m *Members) writeLots(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-m.registrations.wake:
		case <-ctx.Done():
			return
		}
		clock.Pause(ctx, lotEvery)
		for {
			lot := m.nextLot()
			m.writeLot(ctx, lot)
			if len(lot) < mostInLot {
				break // what has come meanwhile is gathered first
			}
		}
	}
}

// nextLot takes the next rows to be written.
func (m *Members) nextLot() map[ids.Process]Listing {
	m.mu.Lock()
	defer m.mu.Unlock()
	lot := make(map[ids.Process]Listing)
	for name, listing := range m.registrations.waiting {
		if len(lot) == mostInLot {
			break
		}
		lot[name] = listing
		delete(m.registrations.waiting, name)
	}
	return lot
}

// writeLot writes rows at once. Those whose write fails ask again after a while.
func (m *Members) writeLot(ctx context.Context, lot map[ids.Process]Listing) {
	if len(lot) == 0 {
		return
	}
	rows := make(map[string][]byte, len(lot))
	for name, listing := range lot {
		row, err := listing.encode()
		if err != nil {
			m.Log.WithError(err).WithField("entry", string(name)).Error("an entry's row cannot be written")
			continue
		}
		rows[string(name)] = row
	}
	limited, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	if err := m.rows.PutAll(limited, rows); err != nil {
		m.Log.WithError(err).WithField("entries", len(lot)).Warn("entries that have started are not listed yet")
		return
	}
	m.Log.WithField("entries", len(lot)).Info("entries that have started are listed")
}
