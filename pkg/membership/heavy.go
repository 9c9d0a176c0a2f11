package membership

import (
	"net/netip"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Heavy matters take a good part of a core from their home: the planner of a service
// hears of each of its requests four times. What they cost depends on the load, so that
// the home is chosen by what a VM can give, where other matters go to all VMs by their weight.

const (
	// enoughForHeavy is the share of a core from which on a VM bears a heavy matter beside
	// its callers: the busiest of 30 to 300 entries took 0.10 to 0.14 of one.
	enoughForHeavy = 0.25
	// nearStrongest is the part of the strongest living VM's share that is enough where no
	// VM has enoughForHeavy.
	nearStrongest = 0.5
)

// HeavyHome is Home for a heavy matter: weak VMs and those that lag are passed over while
// others live. Entries may differ on it for a moment longer than on Home, as each hears of
// lags by itself, so that nothing may rest on there being one home only.
func (m *Members) HeavyOwner(matter string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	home, known := m.heavyHomes[matter]
	if !known {
		home = m.rankHeavy(matter, m.alive)
		m.heavyHomes[matter] = home
	}
	return m.at(home)
}

// HeavyNext returns the entry that would be in charge of a heavy matter without this one,
// if there is another.
func (m *Members) HeavySuccessor(matter string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	others := m.withoutSelf(m.alive)
	if len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return m.list[m.rankHeavy(matter, others)].address, true
}

// rankHeavy returns the first of some entries for a heavy matter; the lock is held. One that
// lags gives way to others that are as able, never to a weaker one: under load the able ones
// lag first, since they have the work.
func (m *Members) rankHeavy(matter string, among []ids.Process) ids.Process {
	able := m.able(among)
	inTime := slices.DeleteFunc(slices.Clone(able), m.lagging)
	if len(inTime) > 0 {
		able = inTime
	}
	return m.rank(matter, able)
}

// able lists the entries whose VMs bear a heavy matter; the lock is held.
func (m *Members) able(among []ids.Process) []ids.Process {
	strongest := 0.0
	for _, name := range among {
		strongest = max(strongest, m.weightOf(name))
	}
	enough := min(enoughForHeavy, nearStrongest*strongest)
	return slices.DeleteFunc(slices.Clone(among), func(name ids.Process) bool { return m.weightOf(name) < enough })
}

func (m *Members) lagging(name ids.Process) bool {
	if name == m.self {
		return m.lag.lagging
	}
	return m.list[name].lagging
}

// lag is how far a process is behind its own clock.
type lag struct {
	smooth  float64 // ms by which timers go off late, as a moving average
	lagging bool
	until   clock.Millis // it counts as lagging up to then at the least
}

const (
	// lagLong is from which lateness on a home is of no use: askers wait for an answer for
	// so long before they place by their own counts.
	lagLong = 45.0
	// lagShort is below which lateness it has caught up, and lagHold for how long it counts
	// as lagging at the least, so that a matter does not go to and fro.
	lagShort = 12.0
	lagHold  = 10 * clock.Second
	// lagGain is the weight of the newest lateness: of timers each 25 ms the last half
	// second counts, so that one pause of a collector or of a stopped process does not.
	lagGain = 0.05
	// lagOdd bounds what one lateness counts, in ms.
	lagOdd = 250.0
)

// note takes by how much a timer was late; it reports whether its verdict has changed.
func (l *lag) note(now, late clock.Millis) bool {
	l.smooth += lagGain * (min(float64(max(0, late)), lagOdd) - l.smooth)
	before := l.lagging
	switch {
	case l.smooth > lagLong:
		l.lagging = true
		l.until = now + lagHold
	case l.smooth < lagShort && now >= l.until:
		l.lagging = false
	}
	return l.lagging != before
}

// NoteLag takes by how much a timer of this process was late. One that lags says so in
// its greetings, and hands heavy matters over.
func (m *Members) RecordLag(late clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lag.note(m.Clock.Now(), late) {
		return
	}
	m.aliveUntil = stale
	m.changed()
	m.Log.WithField("lagging", m.lag.lagging).WithField("late_ms", int64(m.lag.smooth)).Info("this process and its own clock")
}
