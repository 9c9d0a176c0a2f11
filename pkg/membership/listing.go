package membership

import (
	"context"
	"slices"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	// listEvery is how often the rows are compared with what is heard.
	listEvery = clock.Second
	// ForgetAfter is after what silence an entry's row is taken out of the store,
	// and its part of what all may spend goes to the others. An entry that is cut
	// off stops serving keyed requests before, unless most others hear it
	// (assurance.go).
	ForgetAfter = 8 * clock.Second

	writeTimeout = clock.Second
	minBackoff   = 50 * clock.Millisecond
	maxBackoff   = 3 * clock.Second
)

// keepListed writes this entry's row whenever it is missing, and takes out the
// rows of entries that have been silent for long. An entry whose row was taken
// out by mistake sees it and writes it again. One that was there before, and finds its
// row in the list, need not write it.
func (m *Members) keepListed(ctx context.Context) {
	select {
	case <-m.ready:
	case <-time.After(listEvery.Duration()):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		if !m.isListed() && !m.register(ctx) {
			m.write(ctx)
		}
		clock.Pause(ctx, listEvery)
		for lot := range slices.Chunk(m.silent(), mostInLot) {
			m.remove(ctx, lot)
		}
	}
}

func (m *Members) isListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

func (m *Members) write(ctx context.Context) {
	row, err := Listing{Address: m.address.String(), Weight: m.weight, Domain: m.domain}.encode()
	if err != nil {
		m.Log.WithError(err).Error("this entry's row cannot be written")
		return
	}
	backoff := m.Random.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
		err := m.rows.Put(limited, string(m.self), row)
		cancel()
		if err == nil {
			m.noteWritten()
			return
		}
		m.Log.WithError(err).Warn("not yet listed among the entries")
		backoff.Pause(ctx)
	}
}

// noteWritten notes that this entry's row was written.
func (m *Members) noteWritten() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registrations.written = true
}

// silent lists the entries to be taken out, if that is up to this one: the
// first by name of those alive does it.
func (m *Members) silent() []ids.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	m.refresh(now)
	if m.alive[0] != m.self {
		return nil
	}
	var names []ids.Process
	for name, other := range m.list {
		silent := now - max(other.greetedAt, other.listed)
		switch {
		case name == m.self || silent <= ForgetAfter:
			delete(m.inquiries, name)
		case m.mayRemove(now, name, silent):
			names = append(names, name)
		}
	}
	return names
}

// mayRemove reports whether an entry that is silent here may be taken off the list:
// at once if it has stopped by now wherever it is; else if half of all agree that it is
// silent, or, where not so many are left to ask, once no word of others lets it go on.
// The lock is held.
func (m *Members) mayRemove(now clock.Millis, name ids.Process, silent clock.Millis) bool {
	if m.trust == 0 {
		return true
	}
	answered, agreed := m.silence(now, name)
	half := m.entries() - m.entries()/2
	if agreed >= half || answered < half && silent > m.trust+ForgetAfter {
		return true
	}
	m.inquireSilence(now, name)
	return false
}

// remove takes the rows of silent entries out of the store. Those of many that were cut off together go together: each
// change of the list costs every other entry a message, and a question where it is missed.
func (m *Members) remove(ctx context.Context, names []ids.Process) {
	keys := make([]string, 0, len(names))
	for _, name := range names {
		keys = append(keys, string(name))
	}
	limited, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	if err := m.rows.Remove(limited, keys...); err != nil {
		m.Log.WithError(err).WithField("entries", keys).Warn("silent entries still listed")
	}
}
