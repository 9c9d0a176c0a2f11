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

// The store accepts a few hundred writes a second from all entries together. When many entries start at once and each
// writes its own row, most writes are rejected and retried. So an entry that finds others on the list asks the
// longest-listed one, the registrar, to write its row in a batch. It writes the row itself if no registrar answers.

const (
	// registrarTimeout is how long an entry waits for a registrar to accept its registration, and maxRegistrars how
	// many it asks in turn before it writes its own row.
	registrarTimeout = 150 * clock.Millisecond
	maxRegistrars    = 3
	// listingTimeout is how long an entry waits to see its row on the list after a registrar has accepted it: the row
	// is written within writeTimeout, and then distributed like any other change.
	listingTimeout = writeTimeout + 2*clock.Second
	// batchInterval is how long a registrar collects rows, and maxBatchRows how many it writes at once: the store's
	// limit for a transaction.
	batchInterval = 80 * clock.Millisecond
	maxBatchRows  = 100
)

// registration asks the registrar to write the sender's row.
type registration struct {
	_      struct{} `cbor:",toarray"`
	Name   ids.Process
	Weight float64
	Domain ids.FailureDomain
}

// registrationAck confirms that its sender will write the receiver's row.
type registrationAck struct {
	_    struct{}    `cbor:",toarray"`
	Name ids.Process // of the receiver
}

// registrations are the rows that this entry has yet to write as a registrar. The lock of Members guards them.
type registrations struct {
	pending map[ids.Process]Listing // by the entry to be listed
	wake    chan struct{}           // has room for one signal, that a row was queued
	// written is set when this entry has written its own row, which it may not have read back yet.
	written bool
}

// register has this entry's row written by a registrar. It returns false if the entry must write the row itself, as no
// registrar answered or its row did not appear, and true also when ctx has ended while a registrar was asked.
func (m *Members) register(ctx context.Context) bool {
	select {
	case <-m.registrationAcked: // a late reply to an earlier attempt
	default:
	}
	for _, registrar := range m.registrars() {
		m.link.Send(registrar, packets.KindRegistration, registration{Name: m.self, Weight: m.weight, Domain: m.domain})
		select {
		case <-m.registrationAcked:
			return m.awaitListed(ctx)
		case <-time.After(registrarTimeout.Duration()):
		case <-ctx.Done():
		}
		if m.isListed() || ctx.Err() != nil {
			return true
		}
	}
	return false
}

// awaitListed waits until this entry has read its row on the list. It returns false after listingTimeout or when ctx
// ends.
func (m *Members) awaitListed(ctx context.Context) bool {
	for until := m.Clock.Now() + listingTimeout; m.Clock.Now() < until && ctx.Err() == nil; {
		if m.isListed() {
			return true
		}
		clock.Pause(ctx, batchInterval)
	}
	return m.isListed()
}

// registrars returns at most maxRegistrars alive entries to ask for registration: the longest-listed first, an order on
// which all entries agree that have read the list recently.
func (m *Members) registrars() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	var others []*member
	for _, name := range m.withoutSelf(m.alive) {
		others = append(others, m.list[name])
	}
	slices.SortFunc(others, func(a, b *member) int {
		return cmp.Or(a.revision.Compare(b.revision), cmp.Compare(a.name, b.name))
	})
	var addresses []netip.AddrPort
	for _, other := range others[:min(len(others), maxRegistrars)] {
		addresses = append(addresses, other.address)
	}
	return addresses
}

// handleRegistration queues the row of an entry that asks for registration, and confirms it. An entry that may not be
// on the list itself does neither.
func (m *Members) handleRegistration(from netip.AddrPort, r *registration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ownRowListed && !m.registrations.written {
		return // without an answer, the sender asks the next registrar
	}
	m.registrations.pending[r.Name] = Listing{Address: from.String(), Weight: r.Weight, Domain: r.Domain}
	m.link.Send(from, packets.KindRegistrationTaken, registrationAck{Name: r.Name})
	select {
	case m.registrations.wake <- struct{}{}:
	default: // already woken
	}
}

// handleRegistrationAck records that a registrar will write this entry's row. It never blocks.
func (m *Members) handleRegistrationAck(_ netip.AddrPort, t *registrationAck) {
	if t.Name != m.self {
		return
	}
	select {
	case m.registrationAcked <- struct{}{}:
	default: // already signalled
	}
}

// writeBatches writes the queued rows of other entries until ctx ends.
func (m *Members) writeBatches(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-m.registrations.wake:
		case <-ctx.Done():
			return
		}
		clock.Pause(ctx, batchInterval)
		for {
			batch := m.nextBatch()
			m.writeBatch(ctx, batch)
			if len(batch) < maxBatchRows {
				break // collect the rows that arrived meanwhile first
			}
		}
	}
}

// nextBatch takes up to maxBatchRows queued rows off the queue, in no particular order.
func (m *Members) nextBatch() map[ids.Process]Listing {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := make(map[ids.Process]Listing)
	for name, listing := range m.registrations.pending {
		if len(batch) == maxBatchRows {
			break
		}
		batch[name] = listing
		delete(m.registrations.pending, name)
	}
	return batch
}

// writeBatch writes rows in one transaction. If the write fails, it is not repeated: entries that don't see their rows
// within listingTimeout write them themselves.
func (m *Members) writeBatch(ctx context.Context, batch map[ids.Process]Listing) {
	if len(batch) == 0 {
		return
	}
	rows := make(map[string][]byte, len(batch))
	for name, listing := range batch {
		row, err := listing.encode()
		if err != nil {
			m.Log.WithError(err).WithField("entry", string(name)).Error("cannot encode an entry's row")
			continue
		}
		rows[string(name)] = row
	}
	limited, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	if err := m.rows.PutAll(limited, rows); err != nil {
		m.Log.WithError(err).WithField("entries", len(batch)).Warn("cannot write the rows of newly started entries")
		return
	}
	m.Log.WithField("entries", len(batch)).Info("entries that have started are listed")
}
