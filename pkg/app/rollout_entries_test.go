package app

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/dispatch"
	"quaydock/pkg/domains"
	"quaydock/pkg/feedrelay"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/packets"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/random"
	"quaydock/pkg/schedule"
	"quaydock/pkg/streams"
	"quaydock/pkg/view"
	"quaydock/platform"
)

// bedEntry is one run of an entry of a rolloutBed.
type bedEntry struct {
	process *entryProcess
	// suspension moves the entry's clock ahead.
	suspension *clock.Suspension
	stop       context.CancelFunc // ends what startEntry started
	peers      net.Listener       // for other entries that query the feed state
}

// bedLog, if set, returns the log of entries of all beds.
var bedLog func() *logrus.Entry

// entryAddress is the address of the ith entry for messages between entries.
func entryAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1))
}

// startEntry starts an entry without its servers for callers, with a seed that its number and the time determine.
func (b *rolloutBed) startEntry(i int) {
	name := fmt.Sprint("entry ", i)
	others := delayedNetwork{Network: b.net, delays: b.delays, name: name, ignoreContents: true}
	c := commontest.New(others)
	var suspension *clock.Suspension
	c.Clock, suspension = clock.NewSuspendable() // the VM's own clock shows real time
	c.Random = random.NewSource(uint64(1 + i + 100*len(b.states) + int(time.Since(b.began).Milliseconds())))
	if bedLog != nil {
		c.Log = bedLog().WithField("entry", i)
	}
	ctx, stop := context.WithCancel(context.Background())
	link := packets.NewLink(c, delayedSocket{Socket: b.datagrams.Socket(entryAddress(i)), delays: b.delays, at: entryAddress(i)})
	p := &entryProcess{Common: c, view: view.New(c.Check), link: link}
	p.bounds.Store(&platform.Bounds{ExposeShare: exposeFraction, ExposeSlack: exposeSlack, Rollback: rollbackTime})
	p.store = platform.NewStore(delayedNetwork{Network: b.net, delays: b.delays, name: name}, storeAddress(i), func(platform.CallOutcome) {})
	p.members = membership.New(c, membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: entryAddress(i), Weight: 1, Domain: "d"}, p.store.Table(platform.TableMembers), link)
	p.relay = feedrelay.NewRelay(c, p.members, link)
	p.rollouts = newRollouts(c, p.view)
	p.domains = domains.NewFilter(c, p.rollouts.filter.SetDirectory)
	p.guard = quarantine.New(quarantine.Dependencies{Common: c, Address: entryAddress(i), Peers: p.members, Link: link, Store: p.store.Quarantine()})
	p.origins = streams.New(streams.Dependencies{Common: c}) // there are no streams
	p.dispatcher = dispatch.New(dispatch.Dependencies{
		Common: c, Address: entryAddress(i), Domain: "d", View: p.view, Members: p.members, Link: link, Estimates: p.store.Table(platform.TableEstimates),
		Local: schedule.NewLocal(c, p.view, nil), Rollouts: p.rollouts.dependencies(p.exposure, p.store.Rollouts(), p.guard),
	})
	peers, err := others.Listen(entryAddress(i).String())
	if err != nil {
		b.t.Fatal(err)
	}
	go p.relay.Serve(peers)
	go link.Run(ctx)
	for _, run := range []func(context.Context){p.members.Run, p.dispatcher.Run, p.relay.Run, p.guard.Run, p.followEntries, b.followOtherTablesOf(p, name)} {
		time.Sleep(b.delays.delay("starts", nil)) // so that their periodic work does not fall on the same instants
		go run(ctx)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[i] = &bedEntry{process: p, suspension: suspension, stop: stop, peers: peers}
}

// followOtherTablesOf returns the function that follows the other tables, once the entry has read the list of entries
// and goes on following that.
func (b *rolloutBed) followOtherTablesOf(p *entryProcess, name string) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-p.members.Ready():
			time.Sleep(b.delays.delay(name+" goes on", nil))
		case <-time.After(firstListTimeout.Duration()):
		case <-ctx.Done():
		}
		p.followOtherTables(ctx)
	}
}

// stopEntry ends an entry without a drain, as a kill of its process does.
func (b *rolloutBed) stopEntry(i int) {
	b.mu.Lock()
	e := b.entries[i]
	b.entries[i] = nil
	b.mu.Unlock()
	if e == nil {
		return
	}
	e.stop()
	_ = e.peers.Close()
	e.process.store.Close()
}

// isConnected reports whether an entry reaches the store and the other entries. The caller holds b.mu.
func (b *rolloutBed) isConnected(entry int) bool {
	return !b.rejected[entry] && !b.partitioned[entryAddress(entry)]
}
