package membership

import (
	"net/netip"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Heavy shards cost their owner a good fraction of a core: the planner of a service gets four messages for each of
// its requests. Their cost depends on the load, so their owner is chosen by what its VM can spare, while other shards
// are spread over all VMs by weight.

const (
	// minHeavyWeight is the fraction of a core with which a VM can own a heavy shard beside its callers' requests:
	// the busiest of 30 to 300 entries used 0.10 to 0.14 of a core.
	minHeavyWeight = 0.25
	// strongestFraction is the fraction of the weight of the strongest alive VM that suffices where no VM has
	// minHeavyWeight.
	strongestFraction = 0.5
)

// HeavyOwner is Owner for a heavy shard: weak VMs and lagging entries are skipped while others are alive. Entries may
// disagree on it for a moment longer than on Owner, as each learns of a lag separately, so nothing may depend on
// there being only one owner.
func (m *Members) HeavyOwner(shard string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	owner, known := m.heavyOwners[shard]
	if !known {
		owner = m.topRankedHeavy(shard, m.alive)
		m.heavyOwners[shard] = owner
	}
	return m.addressOf(owner)
}

// HeavySuccessor returns the entry that would own a heavy shard without this one, and whether there is another entry.
func (m *Members) HeavySuccessor(shard string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(m.Clock.Now())
	others := m.withoutSelf(m.alive)
	if len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return m.list[m.topRankedHeavy(shard, others)].address, true
}

// topRankedHeavy returns the highest-ranked of some entries for a heavy shard. A lagging entry is skipped in favour
// of others that are as capable, never of a weaker one: under load the capable ones lag first, since they have the
// work. The lock is held.
func (m *Members) topRankedHeavy(shard string, among []ids.Process) ids.Process {
	capable := m.capable(among)
	inTime := slices.DeleteFunc(slices.Clone(capable), m.lagging)
	if len(inTime) > 0 {
		capable = inTime
	}
	return m.topRanked(shard, capable)
}

// capable returns the entries whose VMs can own a heavy shard: those with minHeavyWeight or, if less, strongestFraction
// of the highest weight among them. The lock is held.
func (m *Members) capable(among []ids.Process) []ids.Process {
	strongest := 0.0
	for _, name := range among {
		strongest = max(strongest, m.weightOf(name))
	}
	enough := min(minHeavyWeight, strongestFraction*strongest)
	return slices.DeleteFunc(slices.Clone(among), func(name ids.Process) bool { return m.weightOf(name) < enough })
}

// lagging reports whether this entry lags, or another one by its last heartbeat. The lock is held.
func (m *Members) lagging(name ids.Process) bool {
	if name == m.self {
		return m.lag.lagging
	}
	return m.list[name].lagging
}

// lag measures how late the timers of this process fire. The lock of Members guards it.
type lag struct {
	averageMs float64 // moving average of the lateness of timers, in ms
	lagging   bool
	until     clock.Millis // it counts as lagging at least until then
}

const (
	// lagEnterMs is the average lateness of timers above which an owner is of no use: entries that query it wait so
	// long for an answer before they place by their own counts.
	lagEnterMs = 45.0
	// lagExitMs is the average lateness below which the entry has caught up, and minLagDuration the least time for
	// which it counts as lagging after lagEnterMs was last exceeded, so that a shard does not move back and forth.
	lagExitMs      = 12.0
	minLagDuration = 10 * clock.Second
	// lagSmoothing is the weight of the newest sample: with a timer each 25 ms the last half second counts, so that a
	// single pause of the garbage collector or of a stopped process does not make the entry lag.
	lagSmoothing = 0.05
	// maxLagSampleMs is the lateness to which a single sample is cut, which limits its effect on the average.
	maxLagSampleMs = 250.0
)

// observe adds a sample of a timer's lateness, both in ms, and reports whether lagging has changed. The lock of Members
// is held.
func (l *lag) observe(now, late clock.Millis) bool {
	l.averageMs += lagSmoothing * (min(float64(max(0, late)), maxLagSampleMs) - l.averageMs)
	before := l.lagging
	switch {
	case l.averageMs > lagEnterMs:
		l.lagging = true
		l.until = now + minLagDuration
	case l.averageMs < lagExitMs && now >= l.until:
		l.lagging = false
	}
	return l.lagging != before
}

// RecordLag adds a sample of the lateness of a timer of this process. A lagging entry reports it in its heartbeats,
// and its heavy shards get another owner.
func (m *Members) RecordLag(late clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lag.observe(m.Clock.Now(), late) {
		return
	}
	m.aliveUntil = stale
	m.requestHeartbeat()
	m.Log.WithField("lagging", m.lag.lagging).WithField("late_ms", int64(m.lag.averageMs)).Info("timer lag of this process has changed")
}
