package rollout

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Tracker holds what this process knows of roll-out orders and of the records that hold decisions on them. Each entry
// derives from it which targets may receive work.
//
// If no known order names a target's version, revisions tell whether an order exists that this process has not read
// yet: an order is written before its targets are started, so orders read up to a revision at or after the target's
// first row include any order for that target.
type Tracker struct {
	mu      sync.Mutex
	orders  map[ids.Service]Order
	records map[ids.Service]Record
	// ordered lists the versions for which this process has ever read an order.
	ordered map[ids.Service]map[ids.Version]bool
	// alreadyInUse lists the versions that ran without an order, or whose roll-out was completed.
	alreadyInUse map[ids.Service]map[ids.Version]bool
	// ordersUpTo is the revision up to which orders are known, firstOrdersUpTo that of the first read.
	ordersUpTo, firstOrdersUpTo Revision
	// ordersAt and recordsAt are the latest moments at which orders and records are known to have been current.
	ordersAt, recordsAt clock.Millis
	// placedBetween is the interval in which an order was written.
	placedBetween map[ids.Service]interval
	// clockOffset is this process's clock minus the store's clock.
	clockOffset clock.Millis
}

// NewTracker returns a tracker without orders or records.
func NewTracker() *Tracker {
	return &Tracker{
		orders: make(map[ids.Service]Order), records: make(map[ids.Service]Record),
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

// PutOrders adds orders that were read and removes those in gone. With all, it replaces all known orders.
func (b *Tracker) PutOrders(orders []Order, gone []ids.Service, all bool, freshness Freshness) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.orders
	if all {
		b.orders = make(map[ids.Service]Order)
	}
	for _, service := range gone {
		delete(b.orders, service)
	}
	for _, o := range orders {
		if known[o.Service].Placed != o.Placed {
			b.placedBetween[o.Service] = interval{b.placedAfter(o, freshness), freshness.ReadAt + endMargin}
		}
		b.orders[o.Service] = o
		addVersion(b.ordered, o.Service, o.Version)
	}
	if b.firstOrdersUpTo == 0 {
		b.firstOrdersUpTo = freshness.Revision
	}
	b.ordersUpTo = max(b.ordersUpTo, freshness.Revision)
	b.ordersAt = max(b.ordersAt, freshness.At)
	if freshness.StoreTime > 0 {
		b.clockOffset = freshness.At - freshness.StoreTime
	}
}

const (
	// promptReadDelay is the time within which an order is read while the store is reachable: queries are long polls,
	// and the next one follows after a tenth of a second.
	promptReadDelay = 150 * clock.Millisecond
	// endMargin is added to the latest end of an order, since waiting requests arrive at that very moment and clocks
	// have a resolution of one millisecond.
	endMargin = 20 * clock.Millisecond
	// steadyReadInterval is the longest time between two reads without a delay: one long poll, and the relay of its
	// result to the other entries.
	steadyReadInterval = 2 * clock.Second
)

// placedAfter returns a moment before the order was written. If nothing was read before the order, it is taken to have
// been written when it was read.
func (b *Tracker) placedAfter(o Order, freshness Freshness) clock.Millis {
	switch {
	case b.ordersAt == 0 || b.firstOrdersUpTo >= o.Placed:
		return freshness.ReadAt
	case freshness.At-b.ordersAt <= steadyReadInterval:
		return max(b.ordersAt, freshness.At-promptReadDelay)
	}
	return b.ordersAt
}

// interval is the time between two moments.
type interval struct{ from, to clock.Millis }

// Times returns the start and end times of an open order, by this process's clock.
func (b *Tracker) Times(o Order, r Record) Times {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.State != Pending {
		return Times{r.Started + b.clockOffset, r.EarliestEnd + b.clockOffset, r.LatestEnd + b.clockOffset}
	}
	placed := b.placedBetween[o.Service]
	return Times{placed.from, placed.from + o.Within, placed.to + o.Within}
}

// maxClockSkew is by how much processes may differ on a moment of the store's clock, which some of them know only
// through other entries.
const maxClockSkew = 250 * clock.Millisecond

// OpensAt returns when a completed version of a service starts to receive all requests, and whether that moment is
// still ahead. The owner that recorded the order's times knows the moment by its own clock; any other owner adds
// maxClockSkew.
func (b *Tracker) OpensAt(service ids.Service, owner uint64, now clock.Millis) (clock.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[service]
	at := r.LatestEnd + b.clockOffset
	if r.TimedByOwner != owner {
		at += maxClockSkew
	}
	return at, r.State == Completed && now < at
}

func addVersion(sets map[ids.Service]map[ids.Version]bool, service ids.Service, version ids.Version) {
	if sets[service] == nil {
		sets[service] = make(map[ids.Version]bool)
	}
	sets[service][version] = true
}

// PutRecords adds records that were read. Records older than the known ones are ignored.
func (b *Tracker) PutRecords(records []Record, freshness Freshness) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		if known, has := b.records[r.Service]; !has || r.Written >= known.Written {
			b.records[r.Service] = r
		}
		if r.State == Completed {
			addVersion(b.alreadyInUse, r.Service, r.Version) // it stays in use while the next version is on trial
		}
	}
	b.recordsAt = max(b.recordsAt, freshness.At)
}

// OpenOrder returns a service's order that awaits a decision, and its record, which is Pending if none has been
// written yet.
func (b *Tracker) OpenOrder(service ids.Service) (Order, Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open(service)
}

func (b *Tracker) open(service ids.Service) (Order, Record, bool) {
	o, ordered := b.orders[service]
	r := b.records[service]
	switch {
	case !ordered && r.State == Running && b.ordersUpTo >= r.Written:
		// The order was removed before its end: the version is no longer wanted.
		return Order{Service: service, Version: r.Version, Placed: r.Order}, r, true
	case !ordered, o.Placed < r.Order: // the record belongs to an order that this process has not read yet
		return Order{}, r, false
	case r.Order != o.Placed:
		return o, r.next(o), true
	}
	return o, r, !r.State.Final()
}

// Knows reports whether an order has already been read.
func (b *Tracker) Knows(o Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.orders[o.Service].Placed == o.Placed
}

// Withdrawn reports whether the row of an open order has been removed.
func (o *Order) Withdrawn() bool { return o.Within == 0 }

// Order returns the known order of a service, if any.
func (b *Tracker) Order(service ids.Service) (Order, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, known := b.orders[service]
	return o, known
}

// Record returns the record of a service's newest order, if any.
func (b *Tracker) Record(service ids.Service) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, known := b.records[service]
	return r, known
}

// Services lists the services that have an order or a record.
func (b *Tracker) Services() []ids.Service {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []ids.Service
	for service := range b.records {
		list = append(list, service)
	}
	for service := range b.orders {
		if _, has := b.records[service]; !has {
			list = append(list, service)
		}
	}
	return list
}

// ObservedFromStart reports whether this process had read the orders before this one was written. In that case it has
// certainly sent nothing to the order's version yet.
func (b *Tracker) ObservedFromStart(o Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstOrdersUpTo > 0 && b.firstOrdersUpTo < o.Placed
}

// Age returns the time since orders and records were last known to be current.
func (b *Tracker) Age(now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now - min(b.ordersAt, b.recordsAt)
}

// StoreTime converts a moment to the store's clock.
func (b *Tracker) StoreTime(at clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return at - b.clockOffset
}

// Admission reports whether a target may receive work; mixed says that its service has targets of several versions. If
// the service ran only the ordered version before the order, there is nothing to try and the target is admitted.
func (b *Tracker) Admission(t *routing.Target, mixed bool) routing.Admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, decided := b.records[t.Service]
	o, current, open := b.open(t.Service)
	switch {
	case open && o.Version == t.Version && !mixed && b.alreadyInUse[t.Service][t.Version]:
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
	case decided && r.State == Completed && Revision(t.ListedRevision) < r.Written:
		return routing.Withheld // it stopped when the other version had taken over
	case b.alreadyInUse[t.Service][t.Version]:
		return routing.Admitted
	case Revision(t.ListedRevision) <= b.ordersUpTo && !b.ordered[t.Service][t.Version]:
		b.markInUse(t)
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

// markInUse records that a target's version is in use. The caller holds the lock.
func (b *Tracker) markInUse(t *routing.Target) {
	if len(b.alreadyInUse) < maxServices && len(b.alreadyInUse[t.Service]) < maxVersions {
		addVersion(b.alreadyInUse, t.Service, t.Version)
	}
}

// AlreadyInUse reports whether a version of a service was in use before an order named it, or was completed.
func (b *Tracker) AlreadyInUse(service ids.Service, version ids.Version) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.alreadyInUse[service][version]
}

// withheldByDecision reports whether a target is withheld because of an order or a record, and not because it is
// unknown whether an order exists.
func (b *Tracker) withheldByDecision(t *routing.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, has := b.records[t.Service]
	return b.ordered[t.Service][t.Version] || has && (r.blocks(t.Version) || r.State == Completed && Revision(t.ListedRevision) < r.Written)
}
