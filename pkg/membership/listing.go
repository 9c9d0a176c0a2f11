package membership

import (
	"context"
	"slices"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	// listCheckInterval is how often the rows are compared with the heartbeats received.
	listCheckInterval = clock.Second
	// ForgetAfter is the time since an entry's last heartbeat after which its row is removed from the store and its
	// share goes to the others. A partitioned entry stops serving keyed requests before that, unless most
	// others receive its heartbeats (lease.go).
	ForgetAfter = 8 * clock.Second

	// writeTimeout limits one write to the table of entries, by a registrar too. minBackoff and maxBackoff limit the
	// pause before this entry tries again to write its row.
	writeTimeout = clock.Second
	minBackoff   = 50 * clock.Millisecond
	maxBackoff   = 3 * clock.Second
)

// keepListed writes this entry's row whenever it is missing or differs from what it should hold, and removes the rows
// of entries without a heartbeat for ForgetAfter. An entry whose row was removed by mistake sees that and writes it
// again. After a restart an entry that finds its row on the list need not write it.
func (m *Members) keepListed(ctx context.Context) {
	select {
	case <-m.ready:
	case <-time.After(listCheckInterval.Duration()):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		if !m.isListed() && !m.register(ctx) {
			m.writeOwnRow(ctx)
		}
		clock.Pause(ctx, listCheckInterval)
		for batch := range slices.Chunk(m.removableEntries(), maxBatchRows) {
			m.removeRows(ctx, batch)
		}
	}
}

// isListed reports whether this entry has read its own row with the right content.
func (m *Members) isListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownRowListed
}

// writeOwnRow writes this entry's row without a registrar, and tries again until it succeeds or ctx ends.
func (m *Members) writeOwnRow(ctx context.Context) {
	row, err := Listing{Address: m.address.String(), Weight: m.weight, Domain: m.domain}.encode()
	if err != nil {
		m.Log.WithError(err).Error("cannot encode this entry's row")
		return
	}
	backoff := m.Random.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
		err := m.rows.Put(limited, string(m.self), row)
		cancel()
		if err == nil {
			m.recordWritten()
			return
		}
		m.Log.WithError(err).Warn("cannot write this entry's row; retrying")
		backoff.Pause(ctx)
	}
}

// recordWritten records that this entry has written its own row, and may therefore be a registrar.
func (m *Members) recordWritten() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registrations.written = true
}

// removableEntries returns the entries whose rows this entry is to remove, and sends silence queries about those that
// need confirmation. Only the first by name of the alive entries removes any. An entry never heard of counts as silent
// from when it was first seen on the list.
func (m *Members) removableEntries() []ids.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	m.refresh(now)
	if m.alive[0] != m.self {
		return nil
	}
	var names []ids.Process
	for name, other := range m.list {
		silence := now - max(other.lastHeartbeatAt, other.listedAt)
		switch {
		case name == m.self || silence <= ForgetAfter:
			delete(m.silenceQueries, name)
		case m.mayRemove(now, name, silence):
			names = append(names, name)
		}
	}
	return names
}

// mayRemove reports whether an entry may be taken off the list, given the time since its last heartbeat here. With no
// grace it has stopped by itself by now, wherever it is, and may be removed at once. Otherwise half of all entries
// must confirm the missing heartbeats, or, if too few are left to ask, the time must exceed any grace granted by the
// others. The lock is held.
func (m *Members) mayRemove(now clock.Millis, name ids.Process, silence clock.Millis) bool {
	if m.grace == 0 {
		return true
	}
	answered, agreed := m.countSilence(now, name)
	half := m.entryCount() - m.entryCount()/2
	if agreed >= half || answered < half && silence > m.grace+ForgetAfter {
		return true
	}
	m.sendSilenceQueries(now, name)
	return false
}

// removeRows deletes the rows of entries without a heartbeat from the store. Rows of entries that were partitioned
// together are removed in one call: each change of the list costs a message to every other entry, and a query by
// those that miss it. If the call fails, the next check, after listCheckInterval, tries again.
func (m *Members) removeRows(ctx context.Context, names []ids.Process) {
	keys := make([]string, 0, len(names))
	for _, name := range names {
		keys = append(keys, string(name))
	}
	limited, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	if err := m.rows.Remove(limited, keys...); err != nil {
		m.Log.WithError(err).WithField("entries", keys).Warn("cannot remove the rows of entries without a heartbeat")
	}
}
