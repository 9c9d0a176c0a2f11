package rollout

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Book is what one process knows of orders and of what was decided of them. By it each
// entry tells for itself which targets may get work.
//
// A target whose version no order names is told from one of an order that this process has
// not heard of yet by revisions: an order is placed before its targets are started, so that
// who has read the orders up to a revision at or after the target's first row knows whether
// there is one.
type Tracker struct {
	mu      sync.Mutex
	orders  map[ids.Service]Order
	records map[ids.Service]Record
	// ordered lists the versions for which this process has ever seen an order.
	ordered map[ids.Service]map[ids.Version]bool
	// usual lists the versions that were in use without an order, or were completed.
	usual map[ids.Service]map[ids.Version]bool
	// read is up to which revision the orders are known, and first the one of the first read.
	read, first Revision
	// ordersAt and recordsAt are moments at which orders and records were surely the newest.
	ordersAt, recordsAt clock.Millis
	// placed is between which moments an order was placed.
	placed map[ids.Service]span
	// ahead is by how much this process's clock is ahead of the store's.
	ahead clock.Millis
}

// NewBook returns a book that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{
		orders: make(map[ids.Service]Order), records: make(map[ids.Service]Record),
		placed: make(map[ids.Service]span), ordered: make(map[ids.Service]map[ids.Version]bool), usual: make(map[ids.Service]map[ids.Version]bool),
	}
}

// Proof says up to when and to which revision something read was the newest.
type Freshness struct {
	At        clock.Millis // by this process's clock
	StoreTime clock.Millis // by the store's, at that moment
	ReadAt    clock.Millis // when it was read, by this process's clock
	Revision  Revision
}

// PutOrders takes orders that were read; if all, others are gone.
func (b *Tracker) PutOrders(orders []Order, gone []ids.Service, all bool, proof Freshness) {
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
			b.placed[o.Service] = span{b.placedAfter(o, proof), proof.ReadAt + overSpare}
		}
		b.orders[o.Service] = o
		remember(b.ordered, o.Service, o.Version)
	}
	if b.first == 0 {
		b.first = proof.Revision
	}
	b.read = max(b.read, proof.Revision)
	b.ordersAt = max(b.ordersAt, proof.At)
	if proof.StoreTime > 0 {
		b.ahead = proof.At - proof.StoreTime
	}
}

const (
	// quickNews is within what time an order is read while the store is in reach: questions
	// are held, and the next one comes after a tenth of a second.
	quickNews = 150 * clock.Millisecond
	// overSpare is kept from the latest end of an order: what waits for it comes at once, and
	// clocks tell whole milliseconds.
	overSpare = 20 * clock.Millisecond
	// steadyNews is between two reads that were not held up: a held question, and the news of it
	// to other entries.
	steadyNews = 2 * clock.Second
)

// placedAfter is a moment before an order that has just been read was placed; if nothing was
// read before it, it is taken to have been placed when it was read.
func (b *Tracker) placedAfter(o Order, proof Freshness) clock.Millis {
	switch {
	case b.ordersAt == 0 || b.first >= o.Placed:
		return proof.ReadAt
	case proof.At-b.ordersAt <= steadyNews:
		return max(b.ordersAt, proof.At-quickNews)
	}
	return b.ordersAt
}

// span is between two moments.
type span struct{ from, to clock.Millis }

// Times are the moments of an open order.
func (b *Tracker) Times(o Order, r Record) Times {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.State != Pending {
		return Times{r.Started + b.ahead, r.EarliestEnd + b.ahead, r.LatestEnd + b.ahead}
	}
	placed := b.placed[o.Service]
	return Times{placed.from, placed.from + o.Within, placed.to + o.Within}
}

// clocksApart is by how much processes may differ on a moment of the store's clock, which
// some know through others only.
const clocksApart = 250 * clock.Millisecond

// Opens is when a completed version of a service gets all requests, if it does not yet, at the
// home of an id: the one that told the order's times knows the moment by its own clock.
func (b *Tracker) OpensAt(service ids.Service, home uint64, now clock.Millis) (clock.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[service]
	at := r.LatestEnd + b.ahead
	if r.TimedByOwner != home {
		at += clocksApart
	}
	return at, r.State == Completed && now < at
}

func remember(of map[ids.Service]map[ids.Version]bool, service ids.Service, version ids.Version) {
	if of[service] == nil {
		of[service] = make(map[ids.Version]bool)
	}
	of[service][version] = true
}

// PutRecords takes records that were read. Older ones than known are passed over.
func (b *Tracker) PutRecords(records []Record, proof Freshness) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		if known, has := b.records[r.Service]; !has || r.Written >= known.Written {
			b.records[r.Service] = r
		}
		if r.State == Completed {
			remember(b.usual, r.Service, r.Version) // also while the next version is on trial
		}
	}
	b.recordsAt = max(b.recordsAt, proof.At)
}

// Open returns the order of a service that waits for its end, and the record of it, which is
// Pending if none was written yet.
func (b *Tracker) OpenOrder(service ids.Service) (Order, Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open(service)
}

func (b *Tracker) open(service ids.Service) (Order, Record, bool) {
	o, ordered := b.orders[service]
	r := b.records[service]
	switch {
	case !ordered && r.State == Running && b.read >= r.Written:
		// The order is gone before its end: nobody wants the version any more.
		return Order{Service: service, Version: r.Version, Placed: r.Order}, r, true
	case !ordered, o.Placed < r.Order: // the record is of an order that this process has not read yet
		return Order{}, r, false
	case r.Order != o.Placed:
		return o, r.follows(o), true
	}
	return o, r, !r.State.Final()
}

// Knows reports whether an order has been read already.
func (b *Tracker) Knows(o Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.orders[o.Service].Placed == o.Placed
}

// Withdrawn reports whether an open order's row is gone.
func (o *Order) Withdrawn() bool { return o.Within == 0 }

// Order returns the order of a service that is known, if there is one.
func (b *Tracker) Order(service ids.Service) (Order, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, known := b.orders[service]
	return o, known
}

// Record returns what was decided of a service's newest order.
func (b *Tracker) Record(service ids.Service) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, known := b.records[service]
	return r, known
}

// Services lists the services of which there is an order or a record.
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

// Witnessed reports whether this process knew that there was no such order before it came:
// then it has surely sent nothing to its version yet.
func (b *Tracker) FollowedBefore(o Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first > 0 && b.first < o.Placed
}

// Age is how long ago orders and records were surely the newest.
func (b *Tracker) Age(now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now - min(b.ordersAt, b.recordsAt)
}

// StoreTime puts a moment on the store's clock.
func (b *Tracker) StoreTime(at clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return at - b.ahead
}

// Admission says whether a target may get work; mixed says that its service has targets of
// several versions. A service that ran the ordered version alone before the order has nothing to
// try.
func (b *Tracker) Admission(t *routing.Target, mixed bool) routing.Admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, decided := b.records[t.Service]
	o, current, open := b.open(t.Service)
	switch {
	case open && o.Version == t.Version && !mixed && b.usual[t.Service][t.Version]:
		return routing.Admitted
	case open && o.Version == t.Version:
		if current.State == Running && !o.Withdrawn() {
			return routing.OnTrial
		}
		return routing.Withheld
	case decided && r.bars(t.Version):
		return routing.Withheld
	case decided && r.State == Completed && r.Version == t.Version:
		return routing.Admitted
	case decided && r.State == Completed && Revision(t.ListedRevision) < r.Written:
		return routing.Withheld // it stopped when the other version had taken over
	case b.usual[t.Service][t.Version]:
		return routing.Admitted
	case Revision(t.ListedRevision) <= b.read && !b.ordered[t.Service][t.Version]:
		b.noteUse(t)
		return routing.Admitted
	}
	return routing.Withheld
}

// mostServices and mostVersions bound what is remembered as in use, in services and in versions
// of one, far above the 32 models of the largest deployment that is planned for: targets' rows may come from another writer, who names new ones each time. Where one is
// not remembered it is used as well, but an order for it begins with a trial.
const (
	mostServices = 1000
	mostVersions = 64
)

// noteUse remembers that a target's version is in use; the lock is held.
func (b *Tracker) noteUse(t *routing.Target) {
	if len(b.usual) < mostServices && len(b.usual[t.Service]) < mostVersions {
		remember(b.usual, t.Service, t.Version)
	}
}

// Usual reports whether a version of a service was in use before an order named it, or was
// completed.
func (b *Tracker) Established(service ids.Service, version ids.Version) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usual[service][version]
}

// decided reports whether a target that is withheld is so by an order or a record, and not
// because it is unknown whether there is one.
func (b *Tracker) decided(t *routing.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, has := b.records[t.Service]
	return b.ordered[t.Service][t.Version] || has && (r.bars(t.Version) || r.State == Completed && Revision(t.ListedRevision) < r.Written)
}
