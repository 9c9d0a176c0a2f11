package dispatch

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	gosync "sync"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/view"
)

const (
	// askAgain is after what time an ask without an answer is sent again, and
	// maxAsks how often before the entry places by its own counts.
	askAgain = 15 * clock.Millisecond
	maxAsks  = 3
	// pollEvery is how often an entry asks for a request that waits.
	pollEvery = 60 * clock.Millisecond
	// syncEvery is how often an entry lists what it has on the targets.
	syncEvery = 250 * clock.Millisecond
)

// Dispatcher is an entry's way to the planners. It implements
// schedule.Scheduler.
type Dispatcher struct {
	common.Common
	view    *view.View
	members *membership.Members
	link    *packets.Link
	address netip.AddrPort
	domain  ids.FailureDomain
	home    *Owner
	local   schedule.Scheduler
	trials  *trials
	advice  *advisory.Tracker

	mu      gosync.Mutex
	number  uint64
	waiting map[uint64]chan answer
	running map[uint64]*place
	// lists is how often each service's home is still told what this entry has on its targets.
	lists map[ids.Service]int
}

var _ schedule.Scheduler = (*Dispatcher)(nil)

// Parts is what a dispatcher is built of.
type Dependencies struct {
	common.Common
	// Address is that of the entry, in a failure domain.
	Address   netip.AddrPort
	Domain    ids.FailureDomain
	View      *view.View
	Members   *membership.Members
	Link      *packets.Link
	Estimates EstimateStore
	// Local places while there is no home.
	Local schedule.Scheduler
	// Advice is what targets have told this entry of themselves.
	Advice *advisory.Tracker
	// ColdBounds are those in force on what cold targets get.
	ColdBounds func() planner.ColdBounds
	// Rollouts is what roll-outs need, nil if they are no part of the deployment.
	Rollouts *Rollouts
}

// New returns a dispatcher of an entry.
func New(parts Dependencies) *Dispatcher {
	c := parts.Common
	d := &Dispatcher{
		Common: c, view: parts.View, members: parts.Members, link: parts.Link, address: parts.Address, domain: parts.Domain, local: parts.Local,
		trials:  newTrials(c, parts.Rollouts, parts.Members),
		advice:  parts.Advice,
		number:  c.Random.Fork().Uint64(),
		waiting: make(map[uint64]chan answer), running: make(map[uint64]*place), lists: make(map[ids.Service]int),
	}
	link := parts.Link
	d.home = newHome(c, parts, d.sendAnswer)
	link.Handle(packets.KindJobSubmit, packets.Receive(link, d.home.asked))
	link.Handle(packets.KindJobProgress, packets.Receive(link, d.home.stepped))
	link.Handle(packets.KindJobSync, packets.Receive(link, d.home.synced))
	link.Handle(packets.KindAdvice, packets.Receive(link, d.home.advised))
	link.Handle(packets.KindJobDecision, packets.Receive(link, d.answered))
	return d
}

// Run keeps the homes informed until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go d.home.run(ctx)
	for ctx.Err() == nil {
		clock.Pause(ctx, syncEvery)
		d.syncAll()
	}
}

func (d *Dispatcher) sendAnswer(to netip.AddrPort, a answer) {
	if to == d.address {
		d.answered(to, &a)
		return
	}
	d.link.Send(to, packets.KindJobDecision, a)
}

// toHome sends a message to the home of a service, or hands it over if that is
// here.
func toHome[M any](d *Dispatcher, service ids.Service, kind packets.Kind, take func(netip.AddrPort, *M), message *M) netip.AddrPort {
	home, self := d.members.HeavyOwner(matter(service))
	if self {
		take(d.address, message)
	} else {
		d.link.Send(home, kind, message)
	}
	return home
}

func (d *Dispatcher) step(s step) {
	toHome(d, s.Service, packets.KindJobProgress, d.home.stepped, &s)
}

// answered takes a home's answer.
func (d *Dispatcher) answered(_ netip.AddrPort, a *answer) {
	d.mu.Lock()
	answers, waits := d.waiting[a.Number]
	p, runs := d.running[a.Number]
	if a.Verdict == move && runs && !p.begun {
		p.moveOnce.Do(func() { close(p.moved) })
	}
	if waits && a.Verdict != move {
		select {
		case answers <- *a:
		default: // earlier ones have not been taken yet
		}
	}
	d.mu.Unlock()
	if a.Verdict == granted && !waits && !runs {
		d.Metrics.Links.Add("grants_too_late", 1)
	}
}

// offered returns a target if a request may go there as far as this entry knows, or
// nil. A home that is cut off from the store may not have heard that it leaves, or has started
// again: the request would then be counted in another life than the one that runs it.
func (d *Dispatcher) offered(p *pending, life ids.TargetIncarnation) *routing.Target {
	t := d.view.Directory().Target(life.Target)
	switch {
	case t == nil, !t.Incarnation().Same(life), t.Service != p.want.Service:
		return nil
	case t.Leaving, t.Drained, t.Admission == routing.Withheld:
		return nil
	case t.Admission == routing.OnTrial && !d.trials.send(p, t):
		return nil
	}
	return t
}

func (d *Dispatcher) fresh() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	return d.number
}

// Planned is how many requests of all entries wait and run in the planners that
// this entry is in charge of.
func (d *Dispatcher) Planned() (waiting, running int) {
	return d.home.planned()
}

// emptyLists is how often a home is told that this entry has nothing on its targets any more: it may have lost the ends of what
// ran there, and the lists too.
const emptyLists = 8

// syncAll lists to each home what this entry has on its targets.
func (d *Dispatcher) syncAll() {
	lists := make(map[ids.Service][]item)
	d.mu.Lock()
	for service, left := range d.lists {
		lists[service] = nil
		d.lists[service]--
		if left <= 1 {
			delete(d.lists, service)
		}
	}
	for _, p := range d.running {
		w := p.want
		lists[w.Service] = append(lists[w.Service], item{
			Number: p.number, Life: p.target.Incarnation(), Begun: p.begun,
			Tier: w.Tier, Prompt: w.Prompt, Events: w.Events, Account: w.Account, Movable: w.Movable,
		})
	}
	d.mu.Unlock()
	for service, items := range lists {
		// A home that begins anew takes them in this order, and learns by it how many ran beside each.
		slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Number, b.Number) })
		pages := uint64(len(items)/pageItems + 1)
		byPage := make([][]item, pages)
		for _, it := range items {
			byPage[it.Number%pages] = append(byPage[it.Number%pages], it)
		}
		for page, list := range byPage {
			toHome(d, service, packets.KindJobSync, d.home.synced, &sync{Service: service, Page: uint64(page), Pages: pages, Items: list})
		}
	}
}
