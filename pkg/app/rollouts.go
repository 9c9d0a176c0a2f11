package app

import (
	"errors"

	"quaydock/pkg/common"
	"quaydock/pkg/dispatch"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/rollout"
	"quaydock/pkg/view"
	"quaydock/platform"
)

// rollouts keeps what an entry knows of roll-outs, and sorts the list of targets by it.
type rollouts struct {
	common.Common
	book   *rollout.Tracker
	screen *rollout.Filter
	// orderFaults and recordFaults are about the rows of the two tables that tell of roll-outs.
	orderFaults  *follow.Faults
	recordFaults *follow.Faults
}

func newRollouts(c common.Common, v *view.View) *rollouts {
	book := rollout.NewTracker()
	return &rollouts{
		Common: c, book: book, screen: rollout.NewFilter(book, v.SetDirectory),
		orderFaults: follow.NewFaults(c, "orders of roll-outs"), recordFaults: follow.NewFaults(c, "records of roll-outs"),
	}
}

// parts is what the dispatcher needs of it.
func (r *rollouts) parts(bounds func() rollout.Bounds, store dispatch.RolloutStore, g *quarantine.Guard) *dispatch.Rollouts {
	return &dispatch.Rollouts{Tracker: r.book, Bounds: bounds, Store: store, Changed: r.screen.Changed, Excused: g.EndedIncarnations}
}

// take takes the operators' orders.
func (r *rollouts) take(rows []follow.Row, all bool, proof follow.Freshness) {
	var orders []rollout.Order
	var gone []ids.Service
	if all {
		r.orderFaults.Retain(rows)
	}
	for _, row := range rows {
		service, is := platform.RolloutService(row.Key)
		switch {
		case !is:
		case row.Gone:
			gone = append(gone, service)
			r.orderFaults.Clear(row.Key)
			r.Log.WithField("service", string(service)).Info("order of a roll-out gone")
		default:
			o, err := platform.ParseOrder(row)
			if err != nil {
				r.orderFaults.Add(row, err)
				orders = append(orders, r.standing(service)...)
				continue
			}
			r.orderFaults.Clear(row.Key)
			orders = append(orders, o)
			r.logOrder(o)
		}
	}
	r.book.PutOrders(orders, gone, all, r.proved(proof))
	if len(orders)+len(gone) > 0 {
		r.screen.Changed()
		return
	}
	r.screen.Confirmed()
}

// standing returns the order of a service that stays in force while its row cannot be used.
func (r *rollouts) standing(service ids.Service) []rollout.Order {
	if o, known := r.book.Order(service); known {
		return []rollout.Order{o}
	}
	return nil
}

func (r *rollouts) logOrder(o rollout.Order) {
	if !r.book.Knows(o) {
		r.Log.WithField("service", string(o.Service)).WithField("version", string(o.Version)).
			WithField("within_ms", int64(o.Within)).WithField("revision", int64(o.Placed)).Info("roll-out ordered")
	}
}

func (r *rollouts) proved(p follow.Freshness) rollout.Freshness {
	return rollout.Freshness{ReadAt: r.Clock.Now(), At: p.CurrentAt, StoreTime: p.StoreTime, Revision: rollout.Revision(p.Version)}
}

// errOtherKey is the fault of a record that stands under the key of another service.
var errOtherKey = errors.New("record of a roll-out: of another service than its row")

// takeRecords takes what has been decided. A record that is gone stays decided.
func (r *rollouts) takeRecords(rows []follow.Row, proof follow.Freshness) {
	var records []rollout.Record
	for _, row := range rows {
		if row.Gone {
			r.recordFaults.Clear(row.Key)
			continue
		}
		record, err := rollout.DecodeRecord(row.Value, rollout.Revision(row.Version))
		if err == nil && platform.RecordKey(record.Service) != row.Key {
			err = errOtherKey
		}
		if err != nil {
			r.recordFaults.Add(row, err)
			records = append(records, r.overwriting(row)...)
			continue
		}
		r.recordFaults.Clear(row.Key)
		r.logState(record)
		records = append(records, record)
	}
	r.book.PutRecords(records, r.proved(proof))
	if len(records) > 0 {
		r.screen.Changed()
	}
}

// overwriting returns what was decided of a running roll-out whose record's row has become faulty, as
// of that row's revision: the home writes the next state over it. The revision of a completed one
// tells which targets are older, and stays.
func (r *rollouts) overwriting(row follow.Row) []rollout.Record {
	service, _ := platform.RolloutService(row.Key)
	known, has := r.book.Record(service)
	if !has || known.State.Final() {
		return nil
	}
	known.Written = rollout.Revision(row.Version)
	return []rollout.Record{known}
}

func (r *rollouts) logState(record rollout.Record) {
	if known, _ := r.book.Record(record.Service); known.State != record.State || known.Order != record.Order {
		r.Log.WithField("service", string(record.Service)).WithField("version", string(record.Version)).
			WithField("state", record.State.String()).WithField("why", record.Why).Info("state of a roll-out")
	}
}
