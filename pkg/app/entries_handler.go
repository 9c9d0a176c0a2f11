package app

import (
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/streams"
	"quaydock/platform"
)

// entriesHandler follows the table of the entries, which also holds the records of roll-outs, of quarantined requests and
// of services' streams, and passes each row to the component that it is for.
type entriesHandler struct {
	members  follow.Handler // gets the rows of entries, and those of unknown keys
	rollouts *rollouts      // nil if they are disabled in this deployment
	guard    *quarantine.Guard
	origins  *streams.Origins
	// faults are the invalid records of requests.
	faults *follow.Faults
}

var _ follow.Handler = (*entriesHandler)(nil)

// newEntriesHandler returns a handler; r is nil if roll-outs are disabled.
func newEntriesHandler(c common.Common, members follow.Handler, r *rollouts, g *quarantine.Guard, o *streams.Origins) *entriesHandler {
	return &entriesHandler{members: members, rollouts: r, guard: g, origins: o, faults: follow.NewFaults(c, "records of requests")}
}

// Snapshot applies all rows of the table.
func (h *entriesHandler) Snapshot(rows []follow.Row, freshness follow.Freshness) {
	d := h.splitRows(rows)
	h.faults.Retain(d.requests)
	h.origins.ApplyRecords(d.streams, true, freshness)
	h.members.Snapshot(d.entries, freshness)
	h.applyQuarantine(d.requests, true)
	if h.rollouts != nil {
		h.rollouts.recordFaults.Retain(d.rollouts)
		h.rollouts.applyRecords(d.rollouts, true, freshness)
	}
}

// Changed applies rows that have changed.
func (h *entriesHandler) Changed(rows []follow.Row, freshness follow.Freshness) {
	d := h.splitRows(rows)
	h.origins.ApplyRecords(d.streams, false, freshness)
	h.members.Changed(d.entries, freshness)
	h.applyQuarantine(d.requests, false)
	if h.rollouts != nil {
		h.rollouts.applyRecords(d.rollouts, false, freshness)
	}
}

// ReadFailed notifies the member list only; the records of roll-outs and requests stay in force.
func (h *entriesHandler) ReadFailed(err error) { h.members.ReadFailed(err) }

// rowsBySubject are the rows of the table, split by what they describe.
type rowsBySubject struct{ entries, rollouts, requests, streams []follow.Row }

// splitRows splits rows by their keys. Rows of unknown keys, and of roll-outs if these are disabled, are among the
// entries.
func (h *entriesHandler) splitRows(rows []follow.Row) rowsBySubject {
	var d rowsBySubject
	for _, row := range rows {
		_, isRollout := platform.RolloutService(row.Key)
		_, isRequest := platform.QuarantineDigest(row.Key)
		record, isStreams := platform.StreamRecord(row)
		switch {
		case isStreams:
			d.streams = append(d.streams, record)
		case isRequest:
			d.requests = append(d.requests, row)
		case isRollout && h.rollouts != nil:
			d.rollouts = append(d.rollouts, row)
		default:
			d.entries = append(d.entries, row)
		}
	}
	return d
}

// applyQuarantine applies the records of suspected requests; all says that they are a snapshot. If a row is invalid,
// its former record stays.
func (h *entriesHandler) applyQuarantine(rows []follow.Row, all bool) {
	if len(rows) == 0 && !all {
		return
	}
	var records []quarantine.Row
	var gone []quarantine.Digest
	for _, row := range rows {
		if row.Gone {
			h.faults.Clear(row.Key)
			gone = append(gone, removedDigest(row.Key)...)
			continue
		}
		record, err := platform.ParseQuarantine(row)
		if err != nil {
			h.faults.Add(row, err)
			continue
		}
		h.faults.Clear(row.Key)
		records = append(records, record)
	}
	h.guard.ApplyRows(records, gone, all)
}

// removedDigest returns the digest in the key of a removed row, or none if the key has no valid digest.
func removedDigest(key string) []quarantine.Digest {
	text, _ := platform.QuarantineDigest(key)
	digest, err := quarantine.ParseDigest(text)
	if err != nil {
		return nil // another writer's key: there was no record under it
	}
	return []quarantine.Digest{digest}
}
