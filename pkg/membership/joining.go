package membership

import "quaydock/pkg/clock"

// joining is the state of this entry between its listing and its being counted by the others.
type joining struct {
	// listedAt is when this entry last read a list without its row; 0 if the first list that it read had the row from
	// an earlier run, in which case the others count it already.
	listedAt clock.Millis
	// counted is set once more than half of the others have sent this entry a heartbeat since listedAt, which they do
	// only if they count it. It stays set as long as the row is listed.
	counted bool
}

// recordOwnRow updates the state of this entry's listing after a read in which this entry's row may have appeared or
// disappeared. first is set if nothing was read before. The lock is held.
func (m *Members) recordOwnRow(first bool) {
	if len(m.list) > 0 {
		m.firstListedOnce.Do(func() { close(m.firstListed) })
	}
	present := m.list[m.self] != nil
	m.ownRowListed = m.ownRowCurrent() && !m.returned.missing[m.self]
	switch {
	case !present:
		m.joining = joining{listedAt: m.Clock.Now()}
	case first:
		m.joining = joining{counted: true}
	}
}

// countedByMajority reports whether most other entries have this one on their lists: entries send heartbeats to those
// on their list. Entries that cannot read the store do not learn of one that joins, and keep dividing the whole among
// themselves; an entry that joined beside three of these took a quarter on top. The lock is held.
func (m *Members) countedByMajority() bool {
	if m.joining.counted {
		return true
	}
	others, seen := 0, 0
	for name, other := range m.list {
		if name == m.self {
			continue
		}
		others++
		if other.lastHeartbeatAt >= m.joining.listedAt && other.lastHeartbeatAt > 0 {
			seen++
		}
	}
	m.joining.counted = others == 0 || 2*seen > others
	return m.joining.counted
}
