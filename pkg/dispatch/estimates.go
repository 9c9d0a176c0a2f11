package dispatch

import (
	"context"
	"maps"
	"net/netip"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
)

// EstimateStore is the table of the platform's store in which owners save their
// estimates, one row per service.
type EstimateStore interface {
	Put(ctx context.Context, key string, value []byte) error
	Snapshot(ctx context.Context) (follow.Batch, error)
}

const (
	// Every replicateInterval an owner sends its estimates to its successor. Every saveInterval it also saves them
	// in the store, in case both entries are lost at once.
	replicateInterval = clock.Second
	saveInterval      = 5 * clock.Second
	// storeTimeout limits the duration of a call to the store.
	storeTimeout = 600 * clock.Millisecond
	// factorsPerPage is the number of speed factors that always fit into one datagram.
	factorsPerPage = 24
)

// estimatesMessage carries an owner's estimates for a service. The factors of many targets
// take several messages; the first of them replaces what was sent before.
type estimatesMessage struct {
	_         struct{} `cbor:",toarray"`
	Service   ids.Service
	Page      int // from 0
	Estimates planner.Estimates
}

// estimateCache holds the estimates of owners by service, at the owner itself and at its
// successor.
type estimateCache struct {
	common.Common
	members *membership.Members
	link    *packets.Link
	store   EstimateStore
	faults  *follow.Faults // counts and logs the rows that could not be read

	mu       sync.Mutex
	received map[ids.Service]*planner.Estimates // the newest: from an owner, from the store, or this entry's own as owner
	savedAt  map[ids.Service]clock.Millis       // time of this entry's last write to the store
}

// newEstimateCache returns an empty cache, and registers its handler for the estimates of owners on the link.
func newEstimateCache(c common.Common, members *membership.Members, link *packets.Link, store EstimateStore) *estimateCache {
	m := &estimateCache{Common: c, members: members, link: link, store: store, faults: follow.NewFaults(c, "notes"), received: make(map[ids.Service]*planner.Estimates), savedAt: make(map[ids.Service]clock.Millis)}
	link.Handle(packets.KindEstimates, packets.Receive(link, m.receive))
	return m
}

// receive stores the estimates that an owner has sent. The first page replaces those held here; any further page adds
// its factors to them, so a lost page leaves out only its own factors.
func (c *estimateCache) receive(_ netip.AddrPort, l *estimatesMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before := c.received[l.Service]; before != nil && l.Page > 0 {
		known := maps.Clone(before.Factors)
		maps.Copy(known, l.Estimates.Factors)
		l.Estimates.Factors = known
	}
	c.received[l.Service] = &l.Estimates
}

// get returns the estimates for a service, or nil.
func (c *estimateCache) get(service ids.Service) *planner.Estimates {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received[service]
}

// replicate sends the estimates for a service to the successor of this owner, and saves them in the store every
// saveInterval. It deletes factors beyond maxFactors, any of them, from l. The traffic, one message per second for some
// two dozen targets, does not grow with the number of entries.
func (c *estimateCache) replicate(ctx context.Context, now clock.Millis, service ids.Service, l *planner.Estimates) {
	for id := range l.Factors {
		if len(l.Factors) <= maxFactors {
			break
		}
		delete(l.Factors, id)
	}
	if next, others := c.members.HeavySuccessor(plannerShard(service)); others {
		for i, page := range splitPages(l) {
			c.link.Send(next, packets.KindEstimates, estimatesMessage{Service: service, Page: i, Estimates: page})
		}
	}
	c.mu.Lock()
	c.received[service] = l
	due := now-c.savedAt[service] >= saveInterval
	if due {
		c.savedAt[service] = now
	}
	c.mu.Unlock()
	if due {
		go c.save(ctx, service, l)
	}
}

// maxFactors limits the number of factors that are kept for one service, so that they fit into a row of the store.
const maxFactors = 1700

// splitPages splits estimates so that each page fits into a datagram. It returns at least one page; the last may have
// no factors.
func splitPages(l *planner.Estimates) []planner.Estimates {
	page := *l
	page.Factors = make(map[ids.TargetIncarnation]float64)
	var list []planner.Estimates
	for id, f := range l.Factors {
		page.Factors[id] = f
		if len(page.Factors) == factorsPerPage {
			list = append(list, page)
			page.Factors = make(map[ids.TargetIncarnation]float64)
		}
	}
	return append(list, page)
}

// save writes the estimates for a service to the store. An error is only logged: the next save is due after
// saveInterval.
func (c *estimateCache) save(ctx context.Context, service ids.Service, l *planner.Estimates) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	value, err := cbor.Marshal(l)
	if err == nil {
		err = c.store.Put(ctx, string(service), value)
	}
	if err != nil {
		c.Log.WithError(err).WithField("service", string(service)).Info("saving estimates to the store failed")
	}
}

// load reads the saved estimates for all services, and calls done for each valid row. Estimates that an owner has sent
// stay, as they are newer.
func (c *estimateCache) load(ctx context.Context, done func(ids.Service, *planner.Estimates)) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	batch, err := c.store.Snapshot(ctx)
	if err != nil {
		c.Log.WithError(err).Info("reading estimates from the store failed")
		return
	}
	for _, row := range batch.Rows {
		l := &planner.Estimates{}
		err := cbor.Unmarshal(row.Value, l)
		if err == nil {
			err = l.Check()
		}
		if err != nil {
			c.faults.Add(row, err)
			continue
		}
		service := ids.Service(row.Key)
		c.mu.Lock()
		if c.received[service] == nil {
			c.received[service] = l
		}
		c.mu.Unlock()
		done(service, l)
	}
}
