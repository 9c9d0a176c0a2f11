package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Record is what has been decided of a service's newest order. One row of the store for
// each service holds it, written under the condition that it has not changed meanwhile.
type Record struct {
	Service ids.Service  `json:"service"`
	Version ids.Version  `json:"version"`
	Order   Revision     `json:"order"` // the order that it is about
	State   State        `json:"state"`
	Started clock.Millis `json:"started_ms"` // by the store's clock
	// Ends and Over are when the time of the order is over at the earliest and at the latest, by
	// the store's clock. A version that is completed gets all requests from Over on: up to then
	// what it gets counts, should it turn bad. Its home has them wait for that moment.
	EarliestEnd clock.Millis `json:"ends_ms"`
	LatestEnd   clock.Millis `json:"over_ms"`
	// Barred lists the versions that were rolled back or replaced before they were
	// completed, the newest last: they get nothing without a new order.
	Barred []ids.Version `json:"barred,omitempty"`
	// Evidence is what the verdict stands on, or would stand on now.
	Evidence Summary `json:"evidence"`
	Why      string  `json:"why,omitempty"`
	// By tells one home's records from another's, and TimedBy which home told the order's times.
	Owner        uint64 `json:"by"`
	TimedByOwner uint64 `json:"timed_by"`
	// Written is the revision of the row.
	Written Revision `json:"-"`
}

// mostBarred bounds the versions that are remembered as barred.
const mostBarred = 16

// follows returns the record of a newer order of the same service, with what the earlier one
// barred.
func (r *Record) follows(o Order) Record {
	next := Record{Service: o.Service, Version: o.Version, Order: o.Placed, Barred: slices.Clone(r.Barred), Written: r.Written}
	if r.Version != "" && r.State != Completed && r.Version != o.Version {
		next.Barred = append(next.Barred, r.Version)
	}
	next.Barred = slices.DeleteFunc(next.Barred, func(v ids.Version) bool { return v == o.Version })
	next.Barred = slices.Compact(next.Barred)
	next.Barred = next.Barred[max(0, len(next.Barred)-mostBarred):]
	return next
}

// bars reports whether a version gets nothing by what was decided.
func (r *Record) bars(v ids.Version) bool {
	return r.Version == v && r.State != Completed || slices.Contains(r.Barred, v)
}

// Encode returns the record's row.
func (r *Record) Encode() ([]byte, error) {
	document, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("record of a roll-out: %w", err)
	}
	return document, nil
}

// errNoRecord is told of a row that no home has written.
var errNoRecord = errors.New("record of a roll-out: not what a home writes")

// DecodeRecord reads a record's row of some revision.
func DecodeRecord(document []byte, written Revision) (Record, error) {
	var r Record
	if err := json.Unmarshal(document, &r); err != nil {
		return Record{}, fmt.Errorf("record of a roll-out: %w", err)
	}
	switch {
	case r.Service == "", r.Version == "", r.Order <= 0, len(r.Barred) > mostBarred,
		r.State < Pending, r.State > RolledBack,
		r.EarliestEnd < r.Started, r.LatestEnd < r.EarliestEnd:
		return Record{}, errNoRecord
	}
	r.Written = written
	return r, nil
}
