package membership

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
)

// returned is what this entry keeps of the list when the store returns from a copy that lacks some of its rows: the
// entries live and write their rows again, and without them the others would divide up their shares. The lock of Members
// guards it.
type returned struct {
	era history.Era // of the last snapshot
	// missing are the listed entries whose rows the store has lost, this one included, and until is when the silent ones
	// of them are no longer kept.
	missing map[ids.Process]bool
	until   clock.Millis
}

// keepMissing keeps the entries listed before that a snapshot lacks, if it is the first of a new era, and those of them
// that are still missing in a later one. The lock is held.
func (m *Members) keepMissing(before map[ids.Process]*member, at history.Position) {
	now := m.Clock.Now()
	isNewEra := at.Era > m.returned.era
	if isNewEra {
		m.returned.era, m.returned.until = at.Era, now+follow.RewriteTime
	}
	missing := make(map[ids.Process]bool)
	for name, other := range before {
		if m.list[name] == nil && (isNewEra || m.returned.missing[name] && m.staysListed(now, other)) {
			m.list[name] = other
			missing[name] = true
		}
	}
	m.returned.missing = missing
}

// staysListed reports whether an entry whose row is missing is still kept: for RewriteTime, and for as long as it is
// heard. The lock is held.
func (m *Members) staysListed(now clock.Millis, other *member) bool {
	return now < m.returned.until || other.name == m.self || now-max(other.lastHeartbeatAt, other.listedAt) <= ForgetAfter
}

// dropMissing takes the entries off the list whose rows have not come back. The lock is held.
func (m *Members) dropMissing() {
	now := m.Clock.Now()
	for name := range m.returned.missing {
		if other := m.list[name]; other != nil && m.staysListed(now, other) {
			continue
		}
		delete(m.returned.missing, name)
		delete(m.list, name)
		m.names = nil
		m.logRow(follow.Row{Key: string(name)}, "entry no longer listed")
	}
}
