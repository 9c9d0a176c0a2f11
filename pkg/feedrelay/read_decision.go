package feedrelay

import "quaydock/pkg/clock"

const (
	// backupStep is how much longer each next entry waits without a feed state before it acts
	// as backup reader. The one before it may have begun: its first read is answered within some
	// ms if the store answers at all. All backups have begun before the last feed state reaches the
	// shortest limit on the age of configurations.
	backupStep = 75 * clock.Millisecond
	// maxBackups is how many entries act as backup readers, by their rank among the living. If
	// the store rejects a third of all entries, it rejects all of them and the feed reader in
	// one of 20,000 outages.
	maxBackups = 8
	// backupInterval is how often the first of them reads again while the store does not answer.
	// The nth reads (n+1)^2 times as seldom, so that all of them together read less than twice as
	// often as one alone.
	backupInterval = 900 * clock.Millisecond
	// maxBackupPause is the longest of these pauses.
	maxBackupPause = 10 * clock.Second
	// fallbackReadAge is the freshness age at which an entry reads the store itself although
	// others are there to do it: more than half of the grace of keys where their limit is strict.
	fallbackReadAge = 2500 * clock.Millisecond
	// fallbackSpacing is the mean time between the fallback reads of all entries: ten reads a
	// second, however many entries there are.
	fallbackSpacing = 100 * clock.Millisecond
)

// readDecision holds the inputs of the decision whether an entry reads the store itself. In an
// outage too, few read for all: the total load on the store does not grow with the number of
// entries, since all of them would read the same store at the same moment.
type readDecision struct {
	// rank is this entry's rank as feed reader: how many entries that are believed to reach the store precede it.
	rank int
	// aliveRank is the same among all living entries, whether they reach the store or not.
	aliveRank int
	// entries is how many entries may be serving.
	entries int
	// unreliableFor is for how long there has been no feed state to rely on.
	unreliableFor clock.Millis
	// sinceRead is how long ago this entry last read the store, answeredLast whether the store
	// answered then.
	sinceRead    clock.Millis
	answeredLast bool
	// freshnessAge is the age of its last confirmed freshness, fallbackAge the age from which it
	// makes fallback reads: fallbackReadAge plus a fraction of fallbackSpan that differs from
	// entry to entry.
	freshnessAge clock.Millis
	fallbackAge  clock.Millis
}

// shouldRead reports whether this entry reads the store: as the feed reader, as a backup reader, or with a fallback
// read.
func (t readDecision) shouldRead() bool {
	if t.rank == 0 || t.actsAsBackup() {
		return true
	}
	return t.freshnessAge >= t.fallbackAge && t.sinceRead >= fallbackSpan(t.entries)
}

// actsAsBackup reports whether this entry reads as a backup while there is no feed state to rely
// on. A backup that the store answers continues as the feed reader would, until a feed state of
// others is received.
func (t readDecision) actsAsBackup() bool {
	if t.aliveRank > maxBackups || t.unreliableFor < clock.Millis(t.aliveRank)*backupStep {
		return false
	}
	order := clock.Millis(t.aliveRank + 1)
	return t.answeredLast || t.sinceRead >= min(maxBackupPause, backupInterval*order*order)
}

// untilDue returns after what time the decision is to be made again, at the latest: once this entry may act as a backup
// reader, or after minReadPause.
func (t readDecision) untilDue() clock.Millis {
	if due := clock.Millis(t.aliveRank)*backupStep - t.unreliableFor; due > 0 {
		return min(minReadPause, due)
	}
	return minReadPause
}

// fallbackSpan is the time in which each entry makes one fallback read, so that all of them together keep to
// fallbackSpacing.
func fallbackSpan(entries int) clock.Millis {
	return max(backupInterval, clock.Millis(entries)*fallbackSpacing)
}
