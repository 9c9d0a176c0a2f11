package streams

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

const (
	// askedEntries is how many entries are asked for an origin: those that have copies, though the entries that are alive
	// have changed since, or the entry that relayed the stream ranks among them.
	askedEntries = 4
	// askAgainAfter is when entries that did not answer are asked again, and lookupLimit how long a lookup takes at most.
	askAgainAfter = 25 * clock.Millisecond
	// lookupRounds is how often entries have to answer that they do not have an origin: the copies of one that has just
	// begun may still be under way.
	lookupRounds = 2
	lookupLimit  = 200 * clock.Millisecond
	// confirmLimit is how long a lookup waits for others once an entry has told that there is only one version.
	confirmLimit = 40 * clock.Millisecond
)

// Source says how an entry knows where a stream began.
type Source int

//go:generate stringer -type=Source -trimprefix=By -output=source_string.go

// The sources.
const (
	// ByNobody: it does not.
	ByNobody Source = iota
	// ByThisEntry: it has relayed the stream, or holds a copy.
	ByThisEntry
	// ByAnotherEntry: another one has answered.
	ByAnotherEntry
	// ByOnlyVersion: the service has had no other version since the stream can have begun.
	ByOnlyVersion
)

// Stream is a stream that its caller takes up again.
type Stream struct {
	Key     Key
	HasKey  bool // the caller has named the request that brought the first event
	Route   string
	Service ids.Service // to which the route leads
}

// Finding is what a lookup has found.
type Finding struct {
	Origin *Origin // nil if nobody knows
	Source Source
	// Asked is how many entries were asked, and Answered how many of them answered in time.
	Asked, Answered int
	// Unconfirmed says that the stream began at the only version as far as this entry knows, and no other one has told so yet.
	Unconfirmed bool
	// Record is where the record of the service was written that this entry has read last, not Known if it has read none, and
	// RecordAge for how long it may have changed since without this entry having read it.
	Record    history.Position
	RecordAge clock.Millis
}

// reply is an answer to a lookup.
type reply struct {
	from netip.AddrPort
	originReply
}

// lookups are the queries of this entry that wait for answers.
type lookups struct {
	mu      sync.Mutex
	number  uint64 // of the newest lookup; it starts at random, as answers to a former process may still be under way
	waiting map[uint64]chan reply
}

// begin returns the number of a new lookup and the channel on which it gets its answers.
func (l *lookups) begin() (number uint64, replies chan reply) {
	const unread = 32 // more than there are answers
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	replies = make(chan reply, unread)
	l.waiting[l.number] = replies
	return l.number, replies
}

// end drops later answers to a lookup.
func (l *lookups) end(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// Find returns where a stream began that its caller takes up again, and takes up to lookupLimit if this entry has no origin
// of it. The only version of a service has to be confirmed by the store, as this entry may not have read yet that another
// one was recorded, or, while the store can't be read, by another entry that has read it a moment ago.
func (o *Origins) Find(ctx context.Context, s Stream) Finding {
	now := o.Clock.Now()
	stored, _ := o.records.of(s.Service)
	found := Finding{Record: stored.at, RecordAge: o.records.age(now)}
	if origin := o.recorded(s); origin != nil {
		found.Origin, found.Source = origin, ByThisEntry
		return found
	}
	only := o.onlyOrigin(now, s)
	if o.peers == nil {
		found.use(only)
		return found
	}
	ctx, cancel := context.WithTimeout(ctx, lookupLimit.Duration())
	defer cancel()
	confirmed, err := o.confirm(ctx, s, only)
	if confirmed {
		found.use(only)
		found.RecordAge = 0
		return found
	}
	told := o.ask(ctx, s, &found)
	if found.Origin != nil {
		return found
	}
	recent, _ := o.versions.known(o.Clock.Now(), s.Service)
	if told.versions = append(told.versions, recent...); told.only != nil && !told.hasOther(told.only.Version) {
		found.use(told.only)
	}
	found.Unconfirmed = found.Origin == nil && only != nil && err != nil
	return found
}

// confirm reports whether the store says that all streams of a route began where this entry takes it. It returns an error
// if the store could not be read.
func (o *Origins) confirm(ctx context.Context, s Stream, only *Origin) (bool, error) {
	if only == nil {
		return false, nil
	}
	record, err := o.readFresh(ctx, s.Service)
	if err != nil {
		return false, err
	}
	return record.settles(only.Version, ids.Route(s.Route)), nil
}

// use has the finding say that a stream began at the only version, if there is one.
func (f *Finding) use(only *Origin) {
	if only != nil {
		f.Origin, f.Source = only, ByOnlyVersion
	}
}

// isCurrent reports whether the records, as read here, are not older than an age.
func (o *Origins) isCurrent(now, age clock.Millis) bool {
	position, read := o.records.readUpTo()
	return read && o.records.age(now) <= age && position.Era >= o.writer.targetsRead().Era
}

// toldVersions are the versions of a service that other entries know.
type toldVersions struct {
	versions []ids.Version
	only     *Origin // where all streams of the route began, as an entry has told; nil if none has
}

// add adds what a reply tells.
func (v *toldVersions) add(s Stream, r *originReply) {
	if r.Service != s.Service {
		return
	}
	v.versions = append(v.versions, r.Versions...)
	if r.Complete && r.RouteSettled && len(r.Versions) == 1 {
		v.only = &Origin{Service: r.Service, Version: r.Versions[0]}
	}
}

// hasOther reports whether another version than the given one is among them.
func (v *toldVersions) hasOther(version ids.Version) bool {
	return slices.ContainsFunc(v.versions, func(told ids.Version) bool { return told != version })
}

// recorded returns the origin that this entry has of a stream, or nil.
func (o *Origins) recorded(s Stream) *Origin {
	if !s.HasKey {
		return nil
	}
	if origin := o.own.get(s.Key); origin != nil {
		return origin
	}
	return o.held.get(s.Key)
}

// onlyOrigin returns the origin of all streams of a route, or nil if there may be several. Unless this is the only entry,
// the record has to say so, and this entry must have listed no other version.
func (o *Origins) onlyOrigin(now clock.Millis, s Stream) *Origin {
	version, one := o.versions.only(now, s.Service)
	if !one || !o.routes.isSettled(now, s.Route, s.Service) {
		return nil
	}
	if stored, _ := o.records.of(s.Service); o.peers != nil && !stored.record.settles(version, ids.Route(s.Route)) {
		return nil
	}
	return &Origin{Service: s.Service, Version: version}
}

// asked returns the entries that are asked for the origin of a stream: those that may hold it, and the one that keeps
// the versions of the service.
func (o *Origins) asked(s Stream) []netip.AddrPort {
	var list []netip.AddrPort
	if s.HasKey {
		list = o.peers.Ranked(s.Key.shard(), askedEntries)
	}
	owner, self := o.peers.Owner(versionsShard(s.Service))
	if !self && !slices.Contains(list, owner) {
		list = append(list, owner)
	}
	return list
}

// ask asks other entries until one has the origin, or none has it and the versions of the service are known, or the time
// is over. Entries that have just started may know neither yet. It returns the versions of which others have told.
func (o *Origins) ask(ctx context.Context, s Stream, found *Finding) (told toldVersions) {
	number, replies := o.lookups.begin()
	defer o.lookups.end(number)
	asked := o.asked(s)
	silent, rounds := slices.Clone(asked), 1
	found.Asked = len(asked)
	query := originQuery{Number: number, Service: s.Service, Route: s.Route}
	if s.HasKey {
		query.Key = s.Key
	}
	began := o.Clock.Now()
	again := clock.NewTicker(askAgainAfter)
	defer again.Stop()
	o.query(silent, &query)
	owner, _ := o.peers.Owner(versionsShard(s.Service))
	for len(silent) > 0 || !o.knowsVersions(s.Service) || s.HasKey && rounds < lookupRounds {
		if told.only != nil && o.Clock.Now()-began >= confirmLimit {
			return told
		}
		select {
		case r := <-replies:
			if i := slices.Index(silent, r.from); i >= 0 && (r.Complete || len(r.Versions) > 1 || r.from != owner) {
				silent = slices.Delete(silent, i, i+1)
				found.Answered = len(asked) - len(silent)
			}
			o.learn(s, &r.originReply)
			told.add(s, &r.originReply)
			if r.Origin != nil {
				found.Origin, found.Source = r.Origin, ByAnotherEntry
				return told
			}
		case <-again.C:
			if len(silent) == 0 {
				silent = slices.Clone(asked)
				rounds++
			}
			o.query(silent, &query)
		case <-ctx.Done():
			return told
		}
	}
	return told
}

// knowsVersions reports whether all versions at which streams of a service may have begun are known here, or that there
// are several.
func (o *Origins) knowsVersions(service ids.Service) bool {
	recent, complete := o.versions.known(o.Clock.Now(), service)
	return complete || len(recent) > 1
}

// query sends a query to some entries.
func (o *Origins) query(entries []netip.AddrPort, q *originQuery) {
	for _, to := range entries {
		o.link.Send(to, packets.KindOriginQuery, q)
	}
}

// learn adopts what another entry has told of the versions of a service and of routes.
func (o *Origins) learn(s Stream, r *originReply) {
	if r.Service != s.Service {
		return
	}
	if r.Complete {
		o.versions.adopt(o.Clock.Now(), r.Service, r.Versions)
	}
	if r.RouteSettled {
		o.routes.settle(s.Route, s.Service)
	}
	o.routes.settleAll(r.Routes)
}

// receiveQuery answers another entry.
func (o *Origins) receiveQuery(from netip.AddrPort, q *originQuery) {
	now := o.Clock.Now()
	answer := originReply{Number: q.Number, Service: q.Service, RouteSettled: o.routes.isSettled(now, q.Route, q.Service), Routes: o.routes.digest(now)}
	answer.Versions, answer.Complete = o.versions.known(now, q.Service)
	stored, _ := o.records.of(q.Service)
	if stored.record == nil || !o.isCurrent(now, maxToldAge) {
		answer.Complete = false // a stream may have begun at a version that this entry does not know yet
	}
	answer.RouteSettled = answer.RouteSettled && answer.Complete && stored.record.Complete && contains(stored.record.Routes, ids.Route(q.Route))
	if q.Key != (Key{}) {
		answer.Origin = o.recorded(Stream{Key: q.Key, HasKey: true})
	}
	o.link.Send(from, packets.KindOriginReply, answer)
}

// receiveReply passes an answer on to its lookup. The send never blocks under the lock.
func (o *Origins) receiveReply(from netip.AddrPort, m *originReply) {
	o.lookups.mu.Lock()
	replies := o.lookups.waiting[m.Number]
	if replies != nil {
		select {
		case replies <- reply{from, *m}:
		default: // more answers than entries were asked: some came twice
		}
	}
	o.lookups.mu.Unlock()
	if m.Number == 0 {
		o.learn(Stream{Service: m.Service}, m)
	}
}
