package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
)

// Record holds the decision on a service's newest order. Each service has one such row in the store, which is written
// under the condition that it has not changed since it was read.
type Record struct {
	Service ids.Service  `json:"service"`
	Version ids.Version  `json:"version"`
	Order   Revision     `json:"order"` // the order that it belongs to
	State   State        `json:"state"`
	Started clock.Millis `json:"started_ms"` // by the store's clock
	// EarliestEnd and LatestEnd are the earliest and latest moments at which the order's time is over, by the store's
	// clock. A completed version receives all requests from LatestEnd on; until then the requests it gets count
	// towards the limits, should it turn bad. Its owner makes other requests wait for that moment.
	EarliestEnd clock.Millis `json:"ends_ms"`
	LatestEnd   clock.Millis `json:"over_ms"`
	// ClockEra is the era of the store by whose clock the times are: in another one it may begin anew.
	ClockEra history.Era `json:"clock_era,omitempty"`
	// Barred lists the versions that were rolled back, or replaced before they were completed, the newest last. They
	// receive nothing without a new order.
	Barred []ids.Version `json:"barred,omitempty"`
	// Evidence is what the decision is based on, or would be based on now.
	Evidence Summary `json:"evidence"`
	Why      string  `json:"why,omitempty"` // the reason for State, for operators
	// Owner is the number of the owner that wrote the record, drawn at random at each start of its process, and
	// TimedByOwner that of the owner that recorded the order's times.
	Owner        uint64 `json:"by"`
	TimedByOwner uint64 `json:"timed_by"`
	// Written is the revision of the row, 0 if the store has none. Decided is that at which its order and state were
	// first written; unlike Written it stays when the record is written again.
	Written Revision `json:"-"`
	Decided Revision `json:"-"`
	// Lost says that the store has an older record than this one, or none, since it has returned from a copy.
	Lost bool `json:"-"`
}

// isSameDecision reports whether two records tell the same state of the same order.
func (r *Record) isSameDecision(other *Record) bool {
	return r.Order == other.Order && r.State == other.State
}

// supersedes reports whether a record is later than one that the store has returned to. Of two decisions on the same
// order the known one is kept: it has been acted upon.
func (r *Record) supersedes(returned *Record) bool {
	switch {
	case r.Order != returned.Order:
		return r.Order > returned.Order
	case r.State != returned.State:
		return r.State.Final()
	default:
		return r.Evidence.Requests > returned.Evidence.Requests
	}
}

// belongsTo reports whether a record is that of an order. After the store's return from a copy operators write the same
// order again, at a revision of the new era; an order of the same version is another one only if it was placed after the
// decision.
func (r *Record) belongsTo(o Order) bool {
	if r.Order == o.Placed {
		return true
	}
	if r.Order == 0 || r.Version != o.Version || r.Order.era() >= o.Placed.era() {
		return false
	}
	return !r.State.Final() || o.Placed <= r.Written
}

// maxBarred limits the barred versions that are remembered; the oldest are dropped.
const maxBarred = 16

// next returns the Pending record of a newer order of the same service. It keeps the versions that the earlier record
// blocks, except the ordered one, and the revision of the row that it is to replace.
func (r *Record) next(o Order) Record {
	next := Record{Service: o.Service, Version: o.Version, Order: o.Placed, Barred: slices.Clone(r.Barred), Written: r.Written}
	if r.Version != "" && r.State != Completed && r.Version != o.Version {
		next.Barred = append(next.Barred, r.Version)
	}
	next.Barred = slices.DeleteFunc(next.Barred, func(v ids.Version) bool { return v == o.Version })
	next.Barred = slices.Compact(next.Barred)
	next.Barred = next.Barred[max(0, len(next.Barred)-maxBarred):]
	return next
}

// blocks reports whether a version receives nothing because of this record.
func (r *Record) blocks(v ids.Version) bool {
	return r.Version == v && r.State != Completed || slices.Contains(r.Barred, v)
}

// Encode returns the record's row.
func (r *Record) Encode() ([]byte, error) {
	document, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encoding roll-out record: %w", err)
	}
	return document, nil
}

// errInvalidRecord is returned for a row that no owner can have written.
var errInvalidRecord = errors.New("decoding roll-out record: missing or inconsistent fields")

// DecodeRecord decodes a record from its row of the given revision. It returns an error for a row that no owner can
// have written.
func DecodeRecord(document []byte, written Revision) (Record, error) {
	var r Record
	if err := json.Unmarshal(document, &r); err != nil {
		return Record{}, fmt.Errorf("decoding roll-out record: %w", err)
	}
	switch {
	case r.Service == "", r.Version == "", r.Order <= 0, len(r.Barred) > maxBarred,
		r.State < Pending, r.State > RolledBack,
		r.EarliestEnd < r.Started, r.LatestEnd < r.EarliestEnd:
		return Record{}, errInvalidRecord
	}
	r.Written = written
	return r, nil
}
