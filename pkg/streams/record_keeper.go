package streams

import (
	"context"
	"errors"
	"net/netip"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
)

const (
	// keepInterval is how often this entry compares the records with what it knows, unless something changes. While it does
	// not know all versions, it asks their owner again after minAskPause, and each time after twice that, up to maxAskPause.
	keepInterval = clock.Second
	minAskPause  = 100 * clock.Millisecond
	maxAskPause  = 10 * clock.Second
	// standInAfter is when another entry than the owner writes what streams wait for, as the owner may not reach the store:
	// after so long for each entry that goes before it, and a drawn time of up to as long.
	standInAfter = 300 * clock.Millisecond
	// ownerRewritePause and standInRewritePause are the longest pauses after which the owner, and another entry, write a
	// record again.
	ownerRewritePause   = 2 * clock.Second
	standInRewritePause = 8 * clock.Second
)

// versionsShard returns the shard whose owner keeps the record of a service.
func versionsShard(service ids.Service) string { return "stream-versions/" + string(service) }

// keepRecords keeps the records of the services that this entry owns, and asks the owners of the others for versions that
// it does not know, until ctx ends.
func (o *Origins) keepRecords(ctx context.Context) {
	askPause := minAskPause
	askAt := clock.Millis(0)
	current := true
	for ctx.Err() == nil {
		now := o.Clock.Now()
		wasCurrent := current
		if current = o.isCurrent(now, maxViewAge); wasCurrent && !current {
			o.sendOwn(o.versions.names()) // nobody may be able to tell that there is only one version
		}
		ask := now >= askAt
		complete, pause := true, keepInterval
		for _, service := range o.versions.names() {
			if !o.hasRecord(service) {
				continue
			}
			if !o.keepRecord(ctx, service) {
				pause = rewriteAfter
			}
			complete = o.askVersions(service, ask) && complete
		}
		switch {
		case complete:
			askPause, askAt = minAskPause, 0
		case ask:
			askAt = now + askPause
			askPause = min(2*askPause, maxAskPause)
		}
		if !complete {
			pause = min(pause, max(askAt-now, 1))
		}
		clock.Await(ctx, pause, o.writer.wake)
	}
}

// hasRecord reports whether a service has streams by the configuration, or a record from when it had some.
func (o *Origins) hasRecord(service ids.Service) bool {
	stored, _ := o.records.of(service)
	return o.routes.known() && (o.streams(service) || stored.record != nil)
}

// askVersions asks the owner of a service for its versions if this entry may not know them all and ask is set. It reports
// whether it knows them, and the routes.
func (o *Origins) askVersions(service ids.Service, ask bool) bool {
	owner, self := o.peers.Owner(versionsShard(service))
	_, complete := o.versions.known(o.Clock.Now(), service)
	if self {
		return complete
	}
	if complete && !o.routes.unsettledFromStart(o.Clock.Now()) {
		return true
	}
	if ask {
		o.query([]netip.AddrPort{owner}, &originQuery{Service: service})
	}
	return false
}

// keepRecord writes the record of a service if it does not say what it should. It reports false if that is still to come.
func (o *Origins) keepRecord(ctx context.Context, service ids.Service) bool {
	now := o.Clock.Now()
	_, owned := o.peers.Owner(versionsShard(service))
	o.adopting.Lock()
	stored, read := o.records.of(service)
	var next *Record
	urgent := false
	if read {
		next, urgent = o.nextRecord(now, service, stored, owned)
	}
	o.adopting.Unlock()
	if next == nil || !owned && !urgent {
		o.writer.settled(service)
		return true
	}
	maxPause := standInRewritePause
	if owned {
		maxPause = ownerRewritePause
	}
	if o.writer.due(now, service, stored.at, maxPause, func() clock.Millis { return o.firstPause(service, owned) }) {
		o.writeRecord(ctx, service, next, stored.at)
	}
	return false
}

// firstPause returns for how long this entry leaves it to others to write a record.
func (o *Origins) firstPause(service ids.Service, owned bool) clock.Millis {
	if owned {
		return 0
	}
	rank, _ := o.peers.FeedReaderRank(versionsShard(service))
	return standInAfter*clock.Millis(1+rank) + o.Random.DurationUpTo(standInAfter)
}

// nextRecord returns what the record of a service should say instead of what is stored, or nil if that is right; urgent says
// that streams wait for it. Only its owner takes versions off, and adds routes: what an entry may do that has not read all
// is to add versions and to take routes off.
func (o *Origins) nextRecord(now clock.Millis, service ids.Service, stored storedRecord, owned bool) (next *Record, urgent bool) {
	versions := o.versions.watched(now, service)
	if stored.record == nil {
		if !owned || len(versions.recent) == 0 {
			return nil, false
		}
		position, _ := o.records.readUpTo()
		next = &Record{Era: position.Era, Versions: versions.recent}
		o.announce(now, service, versions, next)
		return next, false
	}
	record := stored.record
	changed := *record
	next = &changed
	leading := o.routes.leadingTo(service)
	if owned {
		// A route that has led elsewhere meanwhile is taken off, too.
		leading = o.routes.unmoved(now, service)
	}
	next.Routes = intersect(record.Routes, leading)
	next.Announced = intersect(record.Announced, leading)
	urgent = len(next.Routes) < len(record.Routes) || len(next.Announced) < len(record.Announced)
	if added := union(record.Versions, versions.listed); len(added) > len(record.Versions) {
		next.Versions = added
		return next, true
	}
	if owned && versions.complete {
		o.complete(now, service, versions, stored.at, next)
	}
	if next.equal(record) {
		return nil, false
	}
	return next, urgent
}

// complete takes versions off a record that have gone, and confirms it and adds routes, as far as this entry knows; at is
// where the record stands in the store.
func (o *Origins) complete(now clock.Millis, service ids.Service, versions watchedVersions, at history.Position, next *Record) {
	remaining := intersect(next.Versions, versions.recent)
	switch {
	case len(remaining) > 0 && len(remaining) < len(next.Versions):
		next.Versions, next.Complete = remaining, false
	case slices.Equal(next.Versions, versions.recent) && o.writer.readPast(at):
		next.Complete = true
		next.Routes, next.Announced = union(next.Routes, next.Announced), nil
	}
	o.announce(now, service, versions, next)
}

// announce announces the routes whose streams have all begun at a service, as far as this entry knows.
func (o *Origins) announce(now clock.Millis, service ids.Service, versions watchedVersions, next *Record) {
	if !versions.complete || !slices.Equal(next.Versions, versions.recent) {
		return
	}
	var added []ids.Route
	room := maxRouteBytes - next.routeBytes()
	for _, route := range o.routes.settledAt(now, service) {
		if !next.has(route) && len(route) <= room {
			added = append(added, route)
			room -= len(route)
		}
	}
	next.Announced = union(next.Announced, added)
}

// writeRecord writes a record over the one that was read. What it then says is known once it has been read.
func (o *Origins) writeRecord(ctx context.Context, service ids.Service, next *Record, over history.Position) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	value, err := next.Encode()
	if err == nil {
		err = o.store.Write(ctx, service, value, over)
	}
	log := o.Log.WithFields(next.fields(service)).WithField("over", over.String())
	switch {
	case err == nil:
		o.Metrics.Prometheus.Add("stream_records_written", "result", "written")
		log.Info("record of a service's streams written")
	case errors.Is(err, ErrRecordChanged):
		o.Metrics.Prometheus.Add("stream_records_written", "result", "changed")
		log.Info("record of a service's streams not written, as another entry has")
	default:
		o.Metrics.Prometheus.Add("stream_records_written", "result", "failed")
		log.WithError(err).Info("writing the record of a service's streams failed; it may be written late")
	}
}
