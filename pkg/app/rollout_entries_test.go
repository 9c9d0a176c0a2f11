package app

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/bulletin"
	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/dispatch"
	"quaydock/pkg/domains"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/packets"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/random"
	"quaydock/pkg/schedule"
	"quaydock/pkg/view"
	"quaydock/platform"
)

type bedEntry struct {
	process *entryProcess
	// suspension has its clock go ahead.
	suspension *clock.Suspension
	stop       context.CancelFunc
	peers      net.Listener
}

// bedLog, if set, is where entries log.
var bedLog func() *logrus.Entry

func entryAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1))
}

func (b *rolloutBed) startEntry(i int) {
	name := fmt.Sprint("entry ", i)
	others := scatteredNetwork{Network: b.net, by: b.scattered, name: name, unread: true}
	c := commontest.New(others)
	var suspension *clock.Suspension
	c.Clock, suspension = clock.NewSuspendable() // the machine's own tells of the wall's time
	c.Random = random.NewSource(uint64(1 + i + 100*len(b.states) + int(time.Since(b.began).Milliseconds())))
	if bedLog != nil {
		c.Log = bedLog().WithField("entry", i)
	}
	ctx, stop := context.WithCancel(context.Background())
	link := packets.NewLink(c, scatteredSocket{Socket: b.datagrams.Socket(entryAddress(i)), by: b.scattered, at: entryAddress(i)})
	p := &entryProcess{Common: c, view: view.New(c.Check), link: link}
	p.bounds.Store(&platform.Bounds{ExposeFraction: exposeShare, ExposeSlack: exposeSlack, Rollback: rollbackTime})
	p.store = platform.NewStore(scatteredNetwork{Network: b.net, by: b.scattered, name: name}, storeAddress(i), func(string, string) {})
	p.members = membership.New(c, membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: entryAddress(i), Weight: 1, Domain: "d"}, p.store.Table(platform.TableMembers), link)
	p.board = bulletin.NewRelay(c, p.members, link)
	p.rollouts = newRollouts(c, p.view)
	p.domains = domains.NewFilter(c, p.rollouts.screen.SetDirectory)
	p.guard = quarantine.New(quarantine.Dependencies{Common: c, Address: entryAddress(i), Peers: p.members, Link: link, Store: p.store.Quarantine()})
	p.dispatcher = dispatch.New(dispatch.Dependencies{
		Common: c, Address: entryAddress(i), Domain: "d", View: p.view, Members: p.members, Link: link, Estimates: p.store.Table(platform.TableEstimates),
		Local: schedule.NewLocal(c, p.view, nil), Rollouts: p.rollouts.parts(p.exposure, p.store.Rollouts(), p.guard),
	})
	peers, err := others.Listen(entryAddress(i).String())
	if err != nil {
		b.t.Fatal(err)
	}
	go p.board.Serve(peers)
	go link.Run(ctx)
	for _, run := range []func(context.Context){p.members.Run, p.dispatcher.Run, p.board.Run, p.guard.Run, p.followEntries, b.followRestOf(p, name)} {
		time.Sleep(b.scattered.way("starts", nil)) // what they do time and again then meets nothing else
		go run(ctx)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[i] = &bedEntry{process: p, suspension: suspension, stop: stop, peers: peers}
}

// followRestOf has an entry follow the other tables once it has read the list of entries, and has gone on
// with following that.
func (b *rolloutBed) followRestOf(p *entryProcess, name string) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-p.members.Ready():
			time.Sleep(b.scattered.way(name+" goes on", nil))
		case <-time.After(membersFirst.Duration()):
		case <-ctx.Done():
		}
		p.followRest(ctx)
	}
}

// stopEntry ends an entry without a word, as a kill does.
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

// inTouch reports whether an entry reaches the store and the others; the lock is held.
func (b *rolloutBed) inTouch(entry int) bool {
	return !b.away[entry] && !b.cut[entryAddress(entry)]
}
