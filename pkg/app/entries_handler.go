package app

import (
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/quarantine"
	"quaydock/platform"
)

// entriesHandler follows the table of the entries, in which what has been decided of roll-outs and
// what is known against requests lie too.
type entriesHandler struct {
	members  follow.Handler
	rollouts *rollouts // nil if they are no part of the deployment
	guard    *quarantine.Guard
	// faults are about the rows of requests.
	faults *follow.Faults
}

var _ follow.Handler = (*entriesHandler)(nil)

func newEntriesHandler(c common.Common, members follow.Handler, r *rollouts, g *quarantine.Guard) *entriesHandler {
	return &entriesHandler{members: members, rollouts: r, guard: g, faults: follow.NewFaults(c, "records of requests")}
}

// Whole takes all rows.
func (h *entriesHandler) Snapshot(rows []follow.Row, proof follow.Freshness) {
	d := h.divide(rows)
	h.faults.Retain(d.requests)
	h.members.Snapshot(d.entries, proof)
	h.takeRequests(d.requests, true)
	if h.rollouts != nil {
		h.rollouts.recordFaults.Retain(d.rollouts)
		h.rollouts.takeRecords(d.rollouts, proof)
	}
}

// Changed takes rows that have changed.
func (h *entriesHandler) Changed(rows []follow.Row, proof follow.Freshness) {
	d := h.divide(rows)
	h.members.Changed(d.entries, proof)
	h.takeRequests(d.requests, false)
	if h.rollouts != nil {
		h.rollouts.takeRecords(d.rollouts, proof)
	}
}

// Lost tells of the loss; what is known of roll-outs and requests stays.
func (h *entriesHandler) ReadFailed(err error) { h.members.ReadFailed(err) }

// divided are the rows of the table by what they are about.
type divided struct{ entries, rollouts, requests []follow.Row }

func (h *entriesHandler) divide(rows []follow.Row) divided {
	var d divided
	for _, row := range rows {
		_, isRollout := platform.RolloutService(row.Key)
		_, isRequest := platform.QuarantineDigest(row.Key)
		switch {
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

// takeRequests takes what is known against requests. A row that cannot be used leaves what was known.
func (h *entriesHandler) takeRequests(rows []follow.Row, all bool) {
	if len(rows) == 0 && !all {
		return
	}
	var records []quarantine.Row
	var gone []quarantine.Digest
	for _, row := range rows {
		if row.Gone {
			h.faults.Clear(row.Key)
			gone = append(gone, goneDigest(row.Key)...)
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

// goneDigest returns the digest of a row that is gone, if its key has one.
func goneDigest(key string) []quarantine.Digest {
	text, _ := platform.QuarantineDigest(key)
	digest, err := quarantine.ParseDigest(text)
	if err != nil {
		return nil // another writer's key: nothing was known by it
	}
	return []quarantine.Digest{digest}
}
