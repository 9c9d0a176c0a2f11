package streams

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
)

// ApplyRecords applies rows with records of services' streams, whose keys are the services; all says that they are a
// snapshot.
func (o *Origins) ApplyRecords(rows []follow.Row, all bool, f follow.Freshness) {
	changed, added := o.adoptRows(rows, all, f)
	o.sendOwn(added)
	o.filter.refresh(changed)
	if changed {
		o.writer.changed()
	}
}

// adoptRows reads rows with records, and adopts what they tell. It reports whether a record has changed, and the services
// of whose streams other entries may need the origins from now on.
func (o *Origins) adoptRows(rows []follow.Row, all bool, f follow.Freshness) (changed bool, added []ids.Service) {
	o.adopting.Lock()
	defer o.adopting.Unlock()
	changes, faults := o.records.apply(rows, all, f)
	if all {
		o.faults.Retain(rows)
		o.startFirst()
	}
	for _, row := range rows {
		if err := faults[row.Key]; err != nil {
			o.faults.Add(row, err)
		} else {
			o.faults.Clear(row.Key)
		}
	}
	now := o.Clock.Now()
	for _, c := range changes {
		if o.applyRecord(now, c) {
			added = append(added, c.service)
		}
	}
	if o.versions.missedBefore(f.CurrentAt) {
		o.adoptRecords()
	}
	return len(changes) > 0, added
}

// firstStartTime is the time after the start within which the records have to be read for the first time.
const firstStartTime = 5 * clock.Second

// startFirst applies the first snapshot of the records if the system starts for the first time: no stream has begun before
// this entry's start, or only as the records say that the other entries have written meanwhile. A record that says nothing
// in this era shows that it is not the first time.
func (o *Origins) startFirst() {
	if !o.firstStart {
		return
	}
	o.firstStart = false
	if o.Clock.Now()-o.startedAt > firstStartTime {
		return // streams may have begun meanwhile of which no record tells
	}
	stored, valid := o.records.all()
	switch {
	case !valid:
	case len(stored) == 0:
		o.versions.startFirst()
		o.routes.startFirst()
	default:
		o.records.setStart()
	}
}

// applyRecord applies a record that has changed. It reports whether other entries may need the origins of streams of the
// service from now on: it has one version more than before, or no record.
func (o *Origins) applyRecord(now clock.Millis, c recordChange) (added bool) {
	log := o.Log.WithField("at", c.stored.at.String())
	if c.stored.record == nil {
		log.WithField("service", string(c.service)).Info("no record of a service's streams in this era of the store")
		o.routes.setRecorded(c.service, nil)
		o.versions.setRecorded(now, c.service, nil)
		return true
	}
	log.WithFields(c.stored.record.fields(c.service)).Info("record of a service's streams read")
	added = o.versions.setRecorded(now, c.service, c.stored.record.Versions)
	o.adoptRecord(now, c.service, c.stored)
	return added
}

// adoptRecord adopts what a record tells of all streams of a service.
func (o *Origins) adoptRecord(now clock.Millis, service ids.Service, stored storedRecord) {
	routes := stored.record.Routes
	atStart := o.records.isOfStart(service, stored.at)
	if atStart {
		routes = union(routes, stored.record.Announced)
	}
	if stored.record.Complete || atStart {
		o.versions.adopt(now, service, stored.record.Versions)
	}
	o.routes.setRecorded(service, routes)
}

// adoptRecords adopts what all records tell.
func (o *Origins) adoptRecords() {
	now := o.Clock.Now()
	stored, _ := o.records.all()
	for service, s := range stored {
		o.adoptRecord(now, service, s)
	}
}
