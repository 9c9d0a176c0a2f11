package dispatch

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"

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
	// A submission without a decision is sent again after submitTimeout. After maxSubmits of them without a decision the
	// entry chooses a target by its own counts.
	submitTimeout = 15 * clock.Millisecond
	maxSubmits    = 3
	// pollInterval is the time between two submissions of a request that the owner has queued.
	pollInterval = 60 * clock.Millisecond
	// syncInterval is the time between two lists of the entry's running requests.
	syncInterval = 250 * clock.Millisecond
)

// Dispatcher requests assignments from the planners on behalf of an entry. It implements
// schedule.Scheduler.
type Dispatcher struct {
	common.Common
	view    *view.View
	members *membership.Members
	link    *packets.Link
	address netip.AddrPort // of this entry, as domain
	domain  ids.FailureDomain
	owner   *Owner             // the planners that this entry runs, also for its own requests
	local   schedule.Scheduler // assigns requests while no owner answers
	trials  *trials
	advice  *advisory.Tracker

	mu         sync.Mutex                      // guards the fields below and assignment.begun
	lastNumber uint64                          // of a request; starts at random, so that a restart does not reuse numbers
	waiting    map[uint64]chan decisionMessage // by the number of the waiting request
	running    map[uint64]*assignment          // by the number of the request
	// syncsLeft is how many more times the owner of each service gets a list of this entry's running requests, even
	// if there are none.
	syncsLeft map[ids.Service]int
}

var _ schedule.Scheduler = (*Dispatcher)(nil)

// Dependencies holds what a dispatcher is built from.
type Dependencies struct {
	common.Common
	// Address and Domain are those of the entry.
	Address   netip.AddrPort
	Domain    ids.FailureDomain
	View      *view.View
	Members   *membership.Members
	Link      *packets.Link
	Estimates EstimateStore
	// Local assigns requests while no owner answers.
	Local schedule.Scheduler
	// Advice tracks what targets have reported to this entry in their answers.
	Advice *advisory.Tracker
	// ColdBounds returns the current bounds for requests to cold targets.
	ColdBounds func() planner.ColdBounds
	// Rollouts holds what roll-outs need; nil if the deployment does not use them.
	Rollouts *Rollouts
}

// New returns a dispatcher and registers its datagram handlers.
func New(deps Dependencies) *Dispatcher {
	c := deps.Common
	d := &Dispatcher{
		Common: c, view: deps.View, members: deps.Members, link: deps.Link, address: deps.Address, domain: deps.Domain, local: deps.Local,
		trials:     newTrials(c, deps.Rollouts, deps.Members),
		advice:     deps.Advice,
		lastNumber: c.Random.Fork().Uint64(),
		waiting:    make(map[uint64]chan decisionMessage), running: make(map[uint64]*assignment), syncsLeft: make(map[ids.Service]int),
	}
	link := deps.Link
	d.owner = newOwner(c, deps, d.deliverDecision)
	link.Handle(packets.KindJobSubmit, packets.Receive(link, d.owner.receiveSubmit))
	link.Handle(packets.KindVersionSubmit, packets.Receive(link, d.owner.receiveVersionSubmit))
	link.Handle(packets.KindJobProgress, packets.Receive(link, d.owner.receiveProgress))
	link.Handle(packets.KindSlowdownProgress, packets.Receive(link, d.owner.receiveSlowdownProgress))
	link.Handle(packets.KindJobSync, packets.Receive(link, d.owner.receiveSync))
	link.Handle(packets.KindTargetEnd, packets.Receive(link, d.owner.receiveTargetEnd))
	link.Handle(packets.KindAdvice, packets.Receive(link, d.owner.receiveAdvice))
	link.Handle(packets.KindJobDecision, packets.Receive(link, d.receiveDecision))
	return d
}

// Run runs the planners of this entry, and sends lists of its running requests to the owners, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go d.owner.run(ctx)
	for ctx.Err() == nil {
		clock.Pause(ctx, syncInterval)
		d.syncAll()
	}
}

// deliverDecision sends a decision of this entry's planners to the entry of the request, or handles it here if that is
// this entry.
func (d *Dispatcher) deliverDecision(to netip.AddrPort, a decisionMessage) {
	if to == d.address {
		d.receiveDecision(to, &a)
		return
	}
	d.link.Send(to, packets.KindJobDecision, a)
}

// sendToOwner sends a message to the owner of a service, or calls the handler directly if this entry is
// the owner. It returns the owner's address; the message may be lost.
func sendToOwner[M any](d *Dispatcher, service ids.Service, kind packets.Kind, handle func(netip.AddrPort, *M), message *M) netip.AddrPort {
	owner, self := d.members.HeavyOwner(plannerShard(service))
	if self {
		handle(d.address, message)
	} else {
		d.link.Send(owner, kind, message)
	}
	return owner
}

// sendProgress reports the progress of a request to the owner of its service. The message may be lost.
func (d *Dispatcher) sendProgress(s progressMessage) {
	if s.Load != nil && s.Load.Slowdown > 0 {
		sendToOwner(d, s.Service, packets.KindSlowdownProgress, d.owner.receiveSlowdownProgress, newSlowdownProgress(&s))
		return
	}
	sendToOwner(d, s.Service, packets.KindJobProgress, d.owner.receiveProgress, &s)
}

// receiveDecision handles a decision from an owner. A grant whose request neither waits nor runs came too late: it is
// not returned, and the owner drops it when a list of running requests lacks it.
func (d *Dispatcher) receiveDecision(_ netip.AddrPort, a *decisionMessage) {
	d.mu.Lock()
	decisions, isWaiting := d.waiting[a.Number]
	p, isRunning := d.running[a.Number]
	if a.Kind == redispatch && isRunning && !p.begun {
		p.moveOnce.Do(func() { close(p.redispatched) })
	}
	if isWaiting && a.Kind != redispatch {
		select {
		case decisions <- *a:
		default: // the buffer is full of decisions that were not read yet: the entry submits again
		}
	}
	d.mu.Unlock()
	if a.Kind == granted && !isWaiting && !isRunning {
		d.Metrics.Links.Add("grants_too_late", 1)
	}
}

// usableTarget returns the target of a grant, or nil if this entry knows that the request must not go there. An owner
// that is partitioned from the store may not know that the target is leaving or has restarted; after a restart the
// request would be counted in another incarnation than the one that runs it. For a target with a canary version it uses
// the request's reservation.
func (d *Dispatcher) usableTarget(p *pending, incarnation ids.TargetIncarnation) *routing.Target {
	t := d.view.Directory().Target(incarnation.Target)
	switch {
	case t == nil, !t.Incarnation().Same(incarnation), t.Service != p.request.Service, !p.request.FitsVersion(t):
		return nil
	case t.Leaving, t.Drained, t.Admission == routing.Withheld:
		return nil
	case t.Admission == routing.OnTrial && !d.trials.useReservation(p, t):
		return nil
	}
	return t
}

// nextNumber returns an unused number for a request of this entry.
func (d *Dispatcher) nextNumber() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastNumber++
	return d.lastNumber
}

// PlannedCounts returns the numbers of waiting and running requests, of all entries, in the planners that
// this entry runs.
func (d *Dispatcher) PlannedCounts() (waiting, running int) {
	return d.owner.plannedCounts()
}

// finalSyncs is how many lists an owner gets after this entry's last request has ended. Both the message about the end
// and some of the lists may be lost, and the owner would go on counting the request as running.
const finalSyncs = 8

// syncAll sends each owner the list of this entry's running requests.
func (d *Dispatcher) syncAll() {
	lists := make(map[ids.Service][]runningItem)
	d.mu.Lock()
	for service, left := range d.syncsLeft {
		lists[service] = nil
		d.syncsLeft[service]--
		if left <= 1 {
			delete(d.syncsLeft, service)
		}
	}
	for _, p := range d.running {
		w := p.request
		lists[w.Service] = append(lists[w.Service], runningItem{
			Number: p.number, Incarnation: p.target.Incarnation(), Begun: p.begun,
			Tier: w.Tier, Prompt: w.Prompt, Events: w.Events, Account: w.Account, Movable: w.Movable,
		})
	}
	d.mu.Unlock()
	for service, items := range lists {
		// An owner that has just taken over restores them in this order, from which it derives how many requests ran
		// beside each.
		slices.SortFunc(items, func(a, b runningItem) int { return cmp.Compare(a.Number, b.Number) })
		pages := uint64(len(items)/itemsPerPage + 1)
		byPage := make([][]runningItem, pages)
		for _, it := range items {
			byPage[it.Number%pages] = append(byPage[it.Number%pages], it)
		}
		for page, list := range byPage {
			sendToOwner(d, service, packets.KindJobSync, d.owner.receiveSync, &syncMessage{Service: service, Page: uint64(page), Pages: pages, Items: list})
		}
	}
}
