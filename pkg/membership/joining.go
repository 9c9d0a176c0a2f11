package membership

import "quaydock/pkg/clock"

// joining is how far this entry has come to count among the others.
type joining struct {
	// began is when its row came onto the list; 0 if the first list that it read had it from an
	// earlier life, so that the others count it already.
	began clock.Millis
	// accepted says that most others have been seen to count it since.
	accepted bool
}

// noteOwnRow looks whether this entry's row came or went with what was just read; first says that
// nothing was read before. The lock is held.
func (m *Members) noteOwnRow(first bool) {
	if len(m.list) > 0 {
		m.seenOnce.Do(func() { close(m.peopled) })
	}
	present := m.list[m.self] != nil
	m.listed = m.listedRight()
	switch {
	case !present:
		m.joining = joining{began: m.Clock.Now()}
	case first:
		m.joining = joining{accepted: true}
	}
}

// accepted reports whether most others count this entry among the listed ones: they greet whom they
// have on their list. Those that cannot read the store do not learn of one that joins, and go on to
// have the whole among them; one that joined beside three of these took a quarter besides. The lock is held.
func (m *Members) accepted() bool {
	if m.joining.accepted {
		return true
	}
	others, greeted := 0, 0
	for name, other := range m.list {
		if name == m.self {
			continue
		}
		others++
		if other.greetedAt >= m.joining.began && other.greetedAt > 0 {
			greeted++
		}
	}
	m.joining.accepted = others == 0 || 2*greeted > others
	return m.joining.accepted
}
