package rollout

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Tracker holds what this process knows of roll-out orders and of the records that hold decisions on them. Each entry
// derives from it which targets may receive work. It is safe for concurrent use.
//
// If no known order names a target's version, revisions tell whether an order exists that this process has not read
// yet: an order is written before its targets are started, so orders read up to a revision at or after the target's
// first row include any order for that target.
type Tracker struct {
	mu      sync.Mutex // guards all other fields
	orders  map[ids.Service]Order
	records map[ids.Service]Record
	// ordered lists the versions for which this process has ever read an order.
	ordered map[ids.Service]map[ids.Version]bool
	// alreadyInUse lists the versions that ran without an order, or whose roll-out was completed.
	alreadyInUse map[ids.Service]map[ids.Version]bool
	// ordersUpTo is the revision up to which orders are known, firstOrdersUpTo that of the first read; 0 before it.
	ordersUpTo, firstOrdersUpTo Revision
	// ordersAt and recordsAt are the latest moments at which orders and records are known to have been current.
	ordersAt, recordsAt clock.Millis
	// placedBetween is the interval in which each service's order was written, by this process's clock.
	placedBetween map[ids.Service]interval
	// clockOffsets are this process's clock minus the store's clock in each era, by the last read that gave the store's
	// time, and clockEra is the last of these eras.
	clockOffsets map[history.Era]clock.Millis
	clockEra     history.Era
}

// NewTracker returns a tracker without orders or records.
func NewTracker() *Tracker {
	return &Tracker{
		orders: make(map[ids.Service]Order), records: make(map[ids.Service]Record),
		clockOffsets:  make(map[history.Era]clock.Millis),
		placedBetween: make(map[ids.Service]interval), ordered: make(map[ids.Service]map[ids.Version]bool), alreadyInUse: make(map[ids.Service]map[ids.Version]bool),
	}
}

// Freshness says at which moment and up to which revision data that was read is known to have been current.
type Freshness struct {
	At        clock.Millis // by this process's clock
	StoreTime clock.Millis // the same moment by the store's clock
	ReadAt    clock.Millis // when it was read, by this process's clock
	Revision  Revision
}

// PutOrders adds orders that were read and removes those of the services in gone. With all, it replaces all known
// orders.
func (tr *Tracker) PutOrders(orders []Order, gone []ids.Service, all bool, freshness Freshness) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	known := tr.orders
	if all {
		tr.orders = make(map[ids.Service]Order)
	}
	for _, service := range gone {
		delete(tr.orders, service)
	}
	for _, o := range orders {
		if known[o.Service].Placed != o.Placed {
			tr.placedBetween[o.Service] = interval{tr.placedAfter(o, freshness), freshness.ReadAt + endMargin}
		}
		tr.orders[o.Service] = o
		addVersion(tr.ordered, o.Service, o.Version)
	}
	if tr.firstOrdersUpTo == 0 {
		tr.firstOrdersUpTo = freshness.Revision
	}
	tr.ordersUpTo = max(tr.ordersUpTo, freshness.Revision)
	tr.ordersAt = max(tr.ordersAt, freshness.At)
	if era := freshness.Revision.era(); freshness.StoreTime > 0 && era >= tr.clockEra {
		tr.clockOffsets[era] = freshness.At - freshness.StoreTime
		tr.clockEra = era
	}
}

const (
	// promptReadDelay is the time within which an order is read while the store is reachable: queries are long polls,
	// and the next one follows after a tenth of a second.
	promptReadDelay = 150 * clock.Millisecond
	// endMargin is added to the latest moment at which an order may have been written, and so to its latest end:
	// waiting requests arrive at that very moment, and clocks have a resolution of one millisecond.
	endMargin = 20 * clock.Millisecond
	// steadyReadInterval is the longest time between two moments at which the orders were known to be current while
	// neither the store nor the relay is delayed: one long poll, and the relay of its result to the other entries.
	steadyReadInterval = 2 * clock.Second
)

// placedAfter returns a moment before the order was written: when the orders were last known to be current without it,
// or, while reads are steady, at most promptReadDelay before they were current with it. If nothing was read before the
// order, it is taken to have been written when it was read. The caller holds the lock.
func (tr *Tracker) placedAfter(o Order, freshness Freshness) clock.Millis {
	switch {
	case tr.ordersAt == 0 || tr.firstOrdersUpTo >= o.Placed:
		return freshness.ReadAt
	case freshness.At-tr.ordersAt <= steadyReadInterval:
		return max(tr.ordersAt, freshness.At-promptReadDelay)
	}
	return tr.ordersAt
}

// interval is the time between two moments of this process's clock.
type interval struct{ from, to clock.Millis }

// Times returns the start and end times of an open order, by this process's clock: those in its record, or while the
// record has none, or none that this process can convert, those that follow from when the order was written.
func (tr *Tracker) Times(o Order, r Record) Times {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	placed := tr.placedBetween[o.Service]
	_, known := tr.clockOffsets[r.ClockEra]
	offset := tr.clockOffset(r.ClockEra)
	// If this process has not read the clock of that era, it takes it to have gone on, unless the roll-out would have
	// begun after its order was read.
	if r.State != Pending && (known || r.Started+offset <= placed.to) {
		return Times{r.Started + offset, r.EarliestEnd + offset, r.LatestEnd + offset}
	}
	return Times{placed.from, placed.from + o.Within, placed.to + o.Within}
}

// maxClockSkew is by how much processes may differ on a moment of the store's clock, which some of them know only
// through other entries.
const maxClockSkew = 250 * clock.Millisecond

// OpensAt returns when a completed version of a service starts to receive all requests, by this process's clock, and
// whether that moment is still ahead; it is false for a version that is not completed. owner is the number of the owner
// that asks, as in Record.Owner: the one that recorded the order's times knows the moment by its own clock, and for any
// other maxClockSkew is added.
func (tr *Tracker) OpensAt(service ids.Service, owner uint64, now clock.Millis) (clock.Millis, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	r := tr.records[service]
	at := r.LatestEnd + tr.clockOffset(r.ClockEra)
	if r.TimedByOwner != owner {
		at += maxClockSkew
	}
	return at, r.State == Completed && now < at
}

// addVersion adds a version to the set of a service, and creates the set if necessary.
func addVersion(sets map[ids.Service]map[ids.Version]bool, service ids.Service, version ids.Version) {
	if sets[service] == nil {
		sets[service] = make(map[ids.Version]bool)
	}
	sets[service][version] = true
}

// PutRecords adds records that were read. Records older than the known ones are ignored, but for the revision at which
// the store has one that it has returned to.
func (tr *Tracker) PutRecords(records []Record, freshness Freshness) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, r := range records {
		tr.putRecord(r)
		if r.State == Completed {
			addVersion(tr.alreadyInUse, r.Service, r.Version) // it stays in use while the next version is on trial
		}
	}
	tr.recordsAt = max(tr.recordsAt, freshness.At)
}

// putRecord adds one record. The caller holds the lock.
func (tr *Tracker) putRecord(r Record) {
	known, has := tr.records[r.Service]
	r.Decided, r.Lost = r.Written, false
	switch {
	case !has:
	case r.Written.era() > known.Written.era() && known.supersedes(&r):
		known.Written, known.Lost = r.Written, true
		r = known
	case r.Written < known.Written:
		return
	case known.isSameDecision(&r):
		r.Decided = known.Decided
	}
	tr.records[r.Service] = r
}

// IsOutdated reports whether a record that was read is one that the store has returned to, and a later one is known.
func (tr *Tracker) IsOutdated(r Record) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	known, has := tr.records[r.Service]
	return has && r.Written.era() > known.Written.era() && known.supersedes(&r)
}

// RetainRecords marks the known records as lost that a snapshot of a later era lacks. They stay in force. present are
// the services that have one, and revision is that of the snapshot.
func (tr *Tracker) RetainRecords(present map[ids.Service]bool, revision Revision) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for service, r := range tr.records {
		if !present[service] && r.Written.era() < revision.era() {
			r.Written, r.Lost = 0, true
			tr.records[service] = r
		}
	}
}

// OpenOrder returns a service's order that awaits a decision, and its record, which is Pending if none has been
// written yet. It returns false if the service has no such order, or if the record belongs to an order not read yet.
func (tr *Tracker) OpenOrder(service ids.Service) (Order, Record, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.open(service)
}

// open is OpenOrder for a caller that holds the lock.
func (tr *Tracker) open(service ids.Service) (Order, Record, bool) {
	o, ordered := tr.orders[service]
	r := tr.records[service]
	if ordered && r.belongsTo(o) {
		o.Placed = r.Order
	}
	switch {
	case !ordered && r.State == Running && tr.ordersUpTo >= r.Decided:
		// The order was removed before its end: the version is no longer wanted.
		return Order{Service: service, Version: r.Version, Placed: r.Order}, r, true
	case !ordered, o.Placed < r.Order: // the record belongs to an order that this process has not read yet
		return Order{}, r, false
	case r.Order != o.Placed:
		return o, r.next(o), true
	}
	return o, r, !r.State.Final()
}

// IsKnownOrder reports whether this very order, by its revision, is the known one of its service.
func (tr *Tracker) IsKnownOrder(o Order) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.orders[o.Service].Placed == o.Placed
}

// Withdrawn reports whether the row of an open order was removed before the decision; OpenOrder returns such orders
// without their time.
func (o *Order) Withdrawn() bool { return o.Within == 0 }

// Order returns the known order of a service, if any.
func (tr *Tracker) Order(service ids.Service) (Order, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	o, known := tr.orders[service]
	return o, known
}

// Record returns the record of a service's newest order, if any.
func (tr *Tracker) Record(service ids.Service) (Record, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	r, known := tr.records[service]
	return r, known
}

// Services lists the services that have an order or a record, in no particular order.
func (tr *Tracker) Services() []ids.Service {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var list []ids.Service
	for service := range tr.records {
		list = append(list, service)
	}
	for service := range tr.orders {
		if _, has := tr.records[service]; !has {
			list = append(list, service)
		}
	}
	return list
}

// ObservedFromStart reports whether this process's first read of the orders was from before this one was written. In
// that case it has certainly sent nothing to the order's version yet.
func (tr *Tracker) ObservedFromStart(o Order) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.firstOrdersUpTo > 0 && tr.firstOrdersUpTo < o.Placed
}

// Age returns the time since orders and records were both last known to be current; all of now before the first read
// of either.
func (tr *Tracker) Age(now clock.Millis) clock.Millis {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return now - min(tr.ordersAt, tr.recordsAt)
}

// StoreTime converts a moment of this process's clock to the store's clock. Until a read has given the store's time,
// both count as equal.
func (tr *Tracker) StoreTime(at clock.Millis) clock.Millis {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return at - tr.clockOffset(tr.clockEra)
}

// AtPresentClock returns a record with its times by the store's clock of the present era.
func (tr *Tracker) AtPresentClock(r Record) Record {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	shift := tr.clockOffset(r.ClockEra) - tr.clockOffset(tr.clockEra)
	r.Started += shift
	r.EarliestEnd += shift
	r.LatestEnd += shift
	r.ClockEra = tr.clockEra
	return r
}

// clockOffset returns this process's clock minus the store's clock in an era. For an era in which the process has not
// read the store's time it is that of the present one. The caller holds the lock.
func (tr *Tracker) clockOffset(era history.Era) clock.Millis {
	if offset, known := tr.clockOffsets[era]; known {
		return offset
	}
	return tr.clockOffsets[tr.clockEra]
}

// Admission returns whether a target may receive work; mixed says that its service has targets of several versions. If
// the service ran only the ordered version before the order, there is nothing to try and the target is admitted. A
// target of an unknown version is withheld until the orders are known up to its first row.
func (tr *Tracker) Admission(t *routing.Target, mixed bool) routing.Admission {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	r, decided := tr.records[t.Service]
	o, current, open := tr.open(t.Service)
	switch {
	case open && o.Version == t.Version && !mixed && tr.alreadyInUse[t.Service][t.Version]:
		return routing.Admitted
	case open && o.Version == t.Version:
		if current.State == Running && !o.Withdrawn() {
			return routing.OnTrial
		}
		return routing.Withheld
	case decided && r.blocks(t.Version):
		return routing.Withheld
	case decided && r.State == Completed && r.Version == t.Version:
		return routing.Admitted
	case decided && r.State == Completed && Revision(t.ListedRevision) < r.Decided:
		return routing.Withheld // it stopped when the other version had taken over
	case tr.alreadyInUse[t.Service][t.Version]:
		return routing.Admitted
	case Revision(t.ListedRevision) <= tr.ordersUpTo && !tr.ordered[t.Service][t.Version]:
		tr.markInUse(t)
		return routing.Admitted
	}
	return routing.Withheld
}

// maxServices and maxVersions limit the services, and the versions of each service, that are remembered as in use.
// They are far above the 32 models of the largest planned deployment: target rows may come from another writer that
// names new ones each time. A version beyond the limit is used as well, but an order for it begins with a trial.
const (
	maxServices = 1000
	maxVersions = 64
)

// markInUse records that a target's version is in use, unless that would exceed maxServices or maxVersions. The caller
// holds the lock.
func (tr *Tracker) markInUse(t *routing.Target) {
	if len(tr.alreadyInUse) < maxServices && len(tr.alreadyInUse[t.Service]) < maxVersions {
		addVersion(tr.alreadyInUse, t.Service, t.Version)
	}
}

// AlreadyInUse reports whether a version of a service was in use before an order named it, or was completed.
func (tr *Tracker) AlreadyInUse(service ids.Service, version ids.Version) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.alreadyInUse[service][version]
}

// withheldByDecision reports whether a target is withheld because of an order or a record, and not because it is
// unknown whether an order exists.
func (tr *Tracker) withheldByDecision(t *routing.Target) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	r, has := tr.records[t.Service]
	return tr.ordered[t.Service][t.Version] || has && (r.blocks(t.Version) || r.State == Completed && Revision(t.ListedRevision) < r.Decided)
}
