package quarantine

import (
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

// requestReport is the record of a request in a message.
type requestReport struct {
	_        struct{} `cbor:",toarray"`
	Digest   Digest
	Account  ids.Account
	Route    ids.Route
	Ends     []requestEnd
	Retrials int
}

// requestEnd is a target end of a request in a message.
type requestEnd struct {
	_           struct{} `cbor:",toarray"`
	Incarnation ids.TargetIncarnation
	Again       bool
	Excused     bool
}

// partReport is the record of a part in a message.
type partReport struct {
	_        struct{} `cbor:",toarray"`
	Service  ids.Service
	Part     ids.PromptPart
	Ends     []partEnd
	Cleared  int
	Retrials int
}

// partEnd is a target end of a part in a message.
type partEnd struct {
	_           struct{} `cbor:",toarray"`
	Incarnation ids.TargetIncarnation
	Rank        int
}

// message is a message about records, and its kind.
type message struct {
	kind    packets.Kind
	message any
}

// splitByKind returns the messages that report some records.
func splitByKind(records []Record) []message {
	var requests targetEnds
	var parts partEnds
	for i := range records {
		if records[i].isPart() {
			parts.Records = append(parts.Records, newPartReport(&records[i]))
		} else {
			requests.Records = append(requests.Records, newRequestReport(&records[i]))
		}
	}
	var list []message
	if len(requests.Records) > 0 {
		list = append(list, message{packets.KindTargetEnds, requests})
	}
	if len(parts.Records) > 0 {
		list = append(list, message{packets.KindPartEnds, parts})
	}
	return list
}

// newRequestReport returns the report of a request's record.
func newRequestReport(r *Record) requestReport {
	report := requestReport{Digest: r.Digest, Account: r.Account, Route: r.Route, Retrials: r.Retrials}
	for _, e := range r.Ends {
		report.Ends = append(report.Ends, requestEnd{Incarnation: e.Incarnation, Again: e.Again, Excused: e.Excused})
	}
	return report
}

// record returns what a report says of a request.
func (r *requestReport) record() Record {
	record := Record{Digest: r.Digest, Account: r.Account, Route: r.Route, Retrials: r.Retrials}
	for _, e := range r.Ends {
		record.Ends = append(record.Ends, TargetEnd{Incarnation: e.Incarnation, Again: e.Again, Excused: e.Excused})
	}
	return record
}

// newPartReport returns the report of a part's record.
func newPartReport(r *Record) partReport {
	report := partReport{Service: r.Service, Part: r.Part, Cleared: r.Cleared, Retrials: r.Retrials}
	for _, e := range r.Ends {
		report.Ends = append(report.Ends, partEnd{Incarnation: e.Incarnation, Rank: e.Rank})
	}
	return report
}

// record returns what a report says of a part.
func (r *partReport) record() Record {
	record := newPartRecord(r.Service, r.Part)
	record.Cleared, record.Retrials = r.Cleared, r.Retrials
	for _, e := range r.Ends {
		record.Ends = append(record.Ends, TargetEnd{Incarnation: e.Incarnation, Rank: e.Rank})
	}
	return record
}

// newPartRecord returns an empty record of a part.
func newPartRecord(service ids.Service, part ids.PromptPart) Record {
	return Record{Digest: IdentifyPart(service, part), Service: service, Part: part}
}
