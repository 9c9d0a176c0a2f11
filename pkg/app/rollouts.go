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

// rollouts keeps an entry's state of all roll-outs, and filters the target list by it.
type rollouts struct {
	common.Common
	tracker *rollout.Tracker // holds orders and records
	filter  *rollout.Filter  // of the target list; passes it on to the view
	// orderFaults and recordFaults are the invalid rows of the two tables with roll-outs.
	orderFaults  *follow.Faults
	recordFaults *follow.Faults
}

// newRollouts returns the state without orders or records. Its filter passes the list of targets on to the view.
func newRollouts(c common.Common, v *view.View) *rollouts {
	tracker := rollout.NewTracker()
	return &rollouts{
		Common: c, tracker: tracker, filter: rollout.NewFilter(tracker, v.SetDirectory),
		orderFaults: follow.NewFaults(c, "orders of roll-outs"), recordFaults: follow.NewFaults(c, "records of roll-outs"),
	}
}

// dependencies returns what the dispatcher needs of the roll-outs.
func (r *rollouts) dependencies(bounds func() rollout.Bounds, store dispatch.RolloutStore, g *quarantine.Guard) *dispatch.Rollouts {
	return &dispatch.Rollouts{Tracker: r.tracker, Bounds: bounds, Store: store, RefreshTargets: r.filter.Refresh, ExcusedIncarnations: g.EndedIncarnations}
}

// applyOrders applies the operators' orders among the rows of their table; all says that these are a snapshot. While a
// row is invalid, the former order stays in force.
func (r *rollouts) applyOrders(rows []follow.Row, all bool, freshness follow.Freshness) {
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
			r.Log.WithField("service", string(service)).Info("roll-out order removed")
		default:
			o, err := platform.ParseOrder(row)
			if err != nil {
				r.orderFaults.Add(row, err)
				orders = append(orders, r.orderInForce(service)...)
				continue
			}
			r.orderFaults.Clear(row.Key)
			orders = append(orders, o)
			r.logOrder(o)
		}
	}
	r.tracker.PutOrders(orders, gone, all, r.freshness(freshness))
	if len(orders)+len(gone) > 0 {
		r.filter.Refresh()
		return
	}
	// No order has changed, but the orders are now known up to a later revision.
	r.filter.RefreshUndecided()
}

// orderInForce returns the order of a service that stays in force while its row is invalid, or none.
func (r *rollouts) orderInForce(service ids.Service) []rollout.Order {
	if o, known := r.tracker.Order(service); known {
		return []rollout.Order{o}
	}
	return nil
}

// logOrder logs an order that is not known yet; it must be called before the tracker gets the order.
func (r *rollouts) logOrder(o rollout.Order) {
	if !r.tracker.IsKnownOrder(o) {
		r.Log.WithField("service", string(o.Service)).WithField("version", string(o.Version)).
			WithField("within_ms", int64(o.Within)).WithField("revision", o.Placed.Position().String()).Info("roll-out ordered")
	}
}

// freshness translates the freshness of a table, read just now, for the tracker.
func (r *rollouts) freshness(p follow.Freshness) rollout.Freshness {
	return rollout.Freshness{ReadAt: r.Clock.Now(), At: p.CurrentAt, StoreTime: p.StoreTime, Revision: rollout.RevisionAt(p.Position)}
}

// errOtherKey is the fault of a record that is stored under the key of another service.
var errOtherKey = errors.New("roll-out record: its service does not match the key of its row")

// applyRecords applies the records of decisions; all says that the rows are a snapshot. A decision stays in force when
// its record is removed.
func (r *rollouts) applyRecords(rows []follow.Row, all bool, freshness follow.Freshness) {
	var records []rollout.Record
	present := make(map[ids.Service]bool)
	for _, row := range rows {
		service, _ := platform.RolloutService(row.Key)
		present[service] = true
		if row.Gone {
			r.recordFaults.Clear(row.Key)
			continue
		}
		record, err := rollout.DecodeRecord(row.Value, rollout.RevisionAt(row.Position))
		if err == nil && platform.RecordKey(record.Service) != row.Key {
			err = errOtherKey
		}
		if err != nil {
			r.recordFaults.Add(row, err)
			records = append(records, r.recordToOverwrite(row)...)
			continue
		}
		r.recordFaults.Clear(row.Key)
		if !r.tracker.IsOutdated(record) {
			r.logState(record)
		}
		records = append(records, record)
	}
	if all {
		r.tracker.RetainRecords(present, rollout.RevisionAt(freshness.Position))
	}
	r.tracker.PutRecords(records, r.freshness(freshness))
	if len(records) > 0 {
		r.filter.Refresh()
	}
}

// recordToOverwrite returns the last valid record of a running roll-out whose row has become invalid, with
// the invalid row's revision, so that the owner can overwrite it with the next state. The revision of a
// completed roll-out determines which targets are older than it, and stays.
func (r *rollouts) recordToOverwrite(row follow.Row) []rollout.Record {
	service, _ := platform.RolloutService(row.Key)
	known, has := r.tracker.Record(service)
	if !has || known.State.Final() {
		return nil
	}
	known.Written = rollout.RevisionAt(row.Position)
	return []rollout.Record{known}
}

// logState logs a record whose state or order has changed; it must be called before the tracker gets the record.
func (r *rollouts) logState(record rollout.Record) {
	if known, _ := r.tracker.Record(record.Service); known.State != record.State || known.Order != record.Order {
		r.Log.WithField("service", string(record.Service)).WithField("version", string(record.Version)).
			WithField("state", record.State.String()).WithField("why", record.Why).Info("roll-out state changed")
	}
}
