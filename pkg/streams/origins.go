package streams

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
	"quaydock/pkg/routing"
)

// Peers are the other entries.
type Peers interface {
	// Ranked returns the addresses of the alive other entries with the highest ranks for a shard, up to a number of them,
	// in that order.
	Ranked(shard string, most int) []netip.AddrPort
	// Owner returns the owner of a shard, and whether it is this entry.
	Owner(shard string) (netip.AddrPort, bool)
	// FeedReaderRank returns how many entries that are believed to reach the store precede this one for a shard, and how many
	// alive ones do.
	FeedReaderRank(shard string) (rank, rankAmongAlive int)
}

// Dependencies are what Origins work with. Without Peers, Link and Store an entry is the only one.
type Dependencies struct {
	common.Common
	Peers Peers
	Link  *packets.Link
	Store Store
	// FirstStart says that the system starts for the first time, so that there are no streams of former processes.
	FirstStart bool
	// Streams reports whether a service has streams, by the configuration in force.
	Streams func(ids.Service) bool
}

// Origins knows where streams began: those that this entry relays or has relayed, by itself, and those of others by
// copies that these keep here, or by asking them. It is safe for concurrent use.
type Origins struct {
	common.Common
	peers      Peers
	link       *packets.Link
	store      Store
	firstStart bool
	startedAt  clock.Millis
	streams    func(ids.Service) bool
	faults     *follow.Faults // invalid records of services

	versions *versions
	routes   *routes
	own      *originSet // of streams that this entry relays, or that broke off here
	held     *originSet // copies for other entries
	copies   *copies
	lookups  lookups
	records  *recordView
	filter   *versionFilter
	writer   recordWriter
	reads    freshReads
	// adopting is held from when records have been read until what they tell is known, and while it is decided what they
	// should say.
	adopting sync.Mutex
}

// New returns origins that know of no stream, and registers the handlers of their messages on the link.
func New(p Dependencies) *Origins {
	o := &Origins{
		Common: p.Common, peers: p.Peers, link: p.Link, store: p.Store, firstStart: p.FirstStart, startedAt: p.Clock.Now(), streams: p.Streams,
		versions: newVersions(), routes: newRoutes(), own: &originSet{}, held: &originSet{}, copies: newCopies(p.Random.Fork().Uint64()),
		lookups: lookups{number: p.Random.Fork().Uint64(), waiting: make(map[uint64]chan reply)}, records: &recordView{}, writer: newRecordWriter(), reads: freshReads{services: make(map[ids.Service]*freshRead)},
		faults: follow.NewFaults(p.Common, "records of streams"),
	}
	o.filter = newVersionFilter(p.Clock, o.records, o.mayHaveStreams)
	o.versions.always, o.routes.always = p.Peers == nil, p.Peers == nil
	p.Metrics.Prometheus.Gauge("streams_origins_own", func() float64 { return float64(o.own.len()) })
	p.Metrics.Prometheus.Gauge("streams_origins_held", func() float64 { return float64(o.held.len()) })
	p.Metrics.Prometheus.Gauge("targets_undeclared", func() float64 { return float64(o.filter.heldTargets()) })
	if p.Link != nil {
		p.Link.Handle(packets.KindOriginCopy, packets.Receive(p.Link, o.receiveCopy))
		p.Link.Handle(packets.KindOriginCopyTaken, packets.Receive(p.Link, o.receiveTaken))
		p.Link.Handle(packets.KindOriginQuery, packets.Receive(p.Link, o.receiveQuery))
		p.Link.Handle(packets.KindOriginReply, packets.Receive(p.Link, o.receiveReply))
	}
	return o
}

// mayHaveStreams reports whether a service may have streams; before the first configuration that is not known.
func (o *Origins) mayHaveStreams(service ids.Service) bool {
	return !o.routes.known() || o.streams(service)
}

// Run sends copies, and keeps the records of services that this entry owns, until ctx ends.
func (o *Origins) Run(ctx context.Context) {
	if o.peers == nil {
		return
	}
	var all sync.WaitGroup
	all.Go(func() { o.sendCopies(ctx) })
	all.Go(func() { o.keepRecords(ctx) })
	all.Wait()
}

// FilterTargets returns a function that marks the targets of a list at whose versions no stream may begin yet, and passes
// it on to another one, again whenever the marks change. That one must not call it.
func (o *Origins) FilterTargets(next func(*routing.Directory)) func(*routing.Directory) {
	o.filter.onChange = next
	return o.filter.setDirectory
}

// SetDirectory applies a list of targets. It must be called before requests are placed by the list.
func (o *Origins) SetDirectory(d *routing.Directory) {
	added := o.versions.setTargets(o.Clock.Now(), d.All())
	if o.peers == nil {
		return
	}
	o.sendOwn(added)
	o.writer.changed()
}

// sendOwn sends copies of the origins of streams under way of some services: these may have begun while a single version
// made copies needless.
func (o *Origins) sendOwn(services []ids.Service) {
	if len(services) > 0 {
		o.send(o.own.newest(maxOrigins, func(_ Key, origin *Origin) bool { return slices.Contains(services, origin.Service) }), o.holders)
	}
}

// send queues copies of origins to be sent to the entries that are to keep them.
func (o *Origins) send(list []keyedOrigin, holders func(Key) []netip.AddrPort) {
	for _, it := range list {
		o.copies.add(holders(it.key), it.key, it.origin)
	}
}

// maxHandedOver limits how many origins an entry hands over to one that has started; of more, the newest are.
const maxHandedOver = 4096

// HandOver gives an entry whose process has started the origins that it is to keep: what its former process kept is lost.
func (o *Origins) HandOver(to netip.AddrPort) {
	now := o.Clock.Now()
	keeps := func(key Key, origin *Origin) bool {
		// One more than the copies: the entry that relays the stream ranks among them, or this one does.
		_, one := o.versions.only(now, origin.Service)
		return !one && slices.Contains(o.peers.Ranked(key.shard(), copiesOfOrigin+1), to)
	}
	only := func(Key) []netip.AddrPort { return []netip.AddrPort{to} }
	own := o.own.newest(maxHandedOver, keeps)
	o.send(own, only)
	o.send(o.held.newest(maxHandedOver-len(own), keeps), only)
}

// SetRoutes applies the routes of streams of a configuration. It must be called before requests are admitted by them.
func (o *Origins) SetRoutes(list []*routing.Route) {
	if first := o.routes.set(o.Clock.Now(), list); first {
		o.adoptRecords()
	}
	o.filter.refresh(true)
	o.writer.changed()
}

// ConfigurationRead records that the configuration has been read and applied up to a position.
func (o *Origins) ConfigurationRead(to history.Position) {
	o.writer.readConfiguration(to)
	o.wakeForUnconfirmed()
}

// targetsRead records that the targets have been read and applied up to a position.
func (o *Origins) targetsRead(to history.Position) {
	o.writer.readTargets(to)
	o.wakeForUnconfirmed()
}

// wakeForUnconfirmed has the records looked at if one may be confirmed now.
func (o *Origins) wakeForUnconfirmed() {
	if o.records.hasUnconfirmed() {
		o.writer.changed()
	}
}

// MissedTargets records that this entry may have missed targets that came and went.
func (o *Origins) MissedTargets() {
	o.versions.missed(o.Clock.Now())
}

// MayBegin reports whether streams of a route may begin at a service: no record says that all streams of the route begin at
// another one.
func (o *Origins) MayBegin(route string, service ids.Service) bool {
	may, _ := o.records.mayBegin(ids.Route(route), service)
	return may
}

// beginLimit is for how long a stream waits until it may begin on its route.
const beginLimit = 500 * clock.Millisecond

// AwaitBegin waits until a stream of a route may begin at a service, as no record says any more that all streams of the
// route begin at another one. It returns false after half a second, or when ctx ends.
func (o *Origins) AwaitBegin(ctx context.Context, route string, service ids.Service) bool {
	if o.MayBegin(route, service) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, beginLimit.Duration())
	defer cancel()
	for {
		may, changed := o.records.mayBegin(ids.Route(route), service)
		if may {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// copiesOfOrigin is how many other entries keep the origin of a stream.
const copiesOfOrigin = 2

// holders returns the entries that are to keep the origin of a stream.
func (o *Origins) holders(key Key) []netip.AddrPort {
	return o.peers.Ranked(key.shard(), copiesOfOrigin)
}

// Record keeps where a stream began or goes on, on a route. It must be called before the first event is relayed. Other
// entries get copies unless all streams of the route began at one version anyway.
func (o *Origins) Record(route string, key Key, origin Origin) {
	now := o.Clock.Now()
	o.own.add(now, key, origin)
	if o.peers == nil || o.begunAtOne(now, route, origin.Service) {
		return
	}
	o.copies.add(o.holders(key), key, origin)
}

// begunAtOne reports whether all streams of a route that may still be taken up again began at one version of a service.
func (o *Origins) begunAtOne(now clock.Millis, route string, service ids.Service) bool {
	return o.onlyOrigin(now, Stream{Route: route, Service: service}) != nil && (o.peers == nil || o.isCurrent(now, maxViewAge))
}

// Forget drops the origin of a stream that its caller has in full.
func (o *Origins) Forget(key Key) { o.own.remove(key) }
