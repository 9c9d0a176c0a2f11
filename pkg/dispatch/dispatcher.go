package dispatch

import (
	"context"
	"net/netip"
	"slices"
	gosync "sync"
	"time"

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
	home    *Home
	local   schedule.Scheduler

	mu      gosync.Mutex
	number  uint64
	waiting map[uint64]chan answer
	running map[uint64]*place
}

var _ schedule.Scheduler = (*Dispatcher)(nil)

// New returns a dispatcher of an entry at an address, in a failure domain; local
// places while there is no home.
func New(c common.Common, address netip.AddrPort, domain ids.FailureDomain, v *view.View, members *membership.Members, link *packets.Link, notes Notes, local schedule.Scheduler) *Dispatcher {
	d := &Dispatcher{
		Common: c, view: v, members: members, link: link, address: address, domain: domain, local: local,
		number:  c.Random.Fork().Uint64(),
		waiting: make(map[uint64]chan answer), running: make(map[uint64]*place),
	}
	d.home = newHome(c, v, members, newMemory(c, members, link, notes), d.sendAnswer)
	link.Handle(packets.KindAsk, packets.Receive(link, d.home.asked))
	link.Handle(packets.KindStep, packets.Receive(link, d.home.stepped))
	link.Handle(packets.KindSync, packets.Receive(link, d.home.synced))
	link.Handle(packets.KindAnswer, packets.Receive(link, d.answered))
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
	d.link.Send(to, packets.KindAnswer, a)
}

// toHome sends a message to the home of a service, or hands it over if that is
// here.
func toHome[M any](d *Dispatcher, service ids.Service, kind packets.Kind, take func(netip.AddrPort, *M), message *M) netip.AddrPort {
	home, self := d.members.Home(matter(service))
	if self {
		take(d.address, message)
	} else {
		d.link.Send(home, kind, message)
	}
	return home
}

// pending is a request that has no place yet.
type pending struct {
	want    schedule.Ask
	number  uint64
	answers chan answer
	home    netip.AddrPort // whom it was last asked of
	// silence counts the asks since the home was last heard. It begins below
	// zero while the home is known to hold the request.
	silence int
}

// Acquire waits for a place.
func (d *Dispatcher) Acquire(ctx context.Context, want schedule.Ask) (schedule.Place, *schedule.Refused, error) {
	p := &pending{want: want}
	d.enter(p)
	defer func() { d.leave(p.number) }()
	for {
		a, err := d.askOnce(ctx, p)
		switch {
		case err != nil:
			d.step(step{Number: p.number, Service: want.Service, Progress: withdrawn})
			return nil, nil, err
		case a == nil && p.silence >= maxAsks:
			return d.alone(ctx, p)
		case a == nil:
		case a.Verdict == refused, a.Verdict == noTarget:
			return nil, &schedule.Refused{Overloaded: a.Verdict == refused, RetryAfter: a.RetryAfter, Ahead: a.Ahead, Wait: a.Wait}, nil
		case a.Verdict == granted:
			if t := d.offered(a.Target); t != nil {
				return d.begin(p.number, &p.want, t, nil), nil, nil
			}
			d.decline(p, a.Target)
		}
	}
}

// askOnce asks the home and returns its next final answer, or nil if it is time
// to ask again.
func (d *Dispatcher) askOnce(ctx context.Context, p *pending) (*answer, error) {
	home := d.ask(p)
	if home != p.home {
		p.home, p.silence = home, 0
	}
	wait := askAgain
	if p.silence < 0 {
		wait = pollEvery
	}
	p.silence++
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		select {
		case a := <-p.answers:
			if a.Verdict != queued {
				return &a, nil
			}
			p.silence = -maxPolls
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// maxPolls is how many polls of a waiting request may stay without an answer
// before the home counts as silent.
const maxPolls = 3

// enter gives a request a number under which the home knows it.
func (d *Dispatcher) enter(p *pending) {
	const room = 8 // answers that have not been looked at
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	p.number = d.number
	p.answers = make(chan answer, room)
	d.waiting[p.number] = p.answers
}

func (d *Dispatcher) leave(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, number)
}

func (d *Dispatcher) ask(p *pending) netip.AddrPort {
	now := d.Clock.Now()
	w := &p.want
	message := ask{Number: p.number, Service: w.Service, Waited: now - w.Arrived, Remaining: w.Deadline - now, Job: w.Job}
	message.Job.Arrived, message.Job.Deadline = 0, 0
	message.Job.Domain = d.domain
	return toHome(d, w.Service, packets.KindAsk, d.home.asked, &message)
}

func (d *Dispatcher) step(s step) {
	toHome(d, s.Service, packets.KindStep, d.home.stepped, &s)
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

// offered returns a target if it may get work as far as this entry knows, or
// nil. A home that is cut off from the store may not have heard that it leaves.
func (d *Dispatcher) offered(id ids.Target) *routing.Target {
	t := d.view.Directory().Target(id)
	if t == nil || t.Leaving {
		return nil
	}
	return t
}

// decline gives back a grant for a target that is not to be used. The request
// goes on under a new number.
func (d *Dispatcher) decline(p *pending, id ids.Target) {
	d.Metrics.Links.Add("grants_declined", 1)
	d.leave(p.number)
	d.step(step{Number: p.number, Service: p.want.Service, Progress: done, Outcome: planner.Moved})
	p.want.Exclude = append(slices.Clone(p.want.Exclude), id)
	p.silence = 0
	d.enter(p)
}

// alone places a request by this entry's own counts. The home learns of it by
// the next sync.
func (d *Dispatcher) alone(ctx context.Context, p *pending) (schedule.Place, *schedule.Refused, error) {
	d.Metrics.Links.Add("placed_alone", 1)
	d.members.Doubt(p.home)
	d.step(step{Number: p.number, Service: p.want.Service, Progress: withdrawn})
	own, refused, err := d.local.Acquire(ctx, p.want)
	if own == nil {
		return nil, refused, err
	}
	// A new number: the home may still act on the old one.
	return d.begin(d.fresh(), &p.want, own.Target(), own), nil, nil
}

func (d *Dispatcher) fresh() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	return d.number
}

func (d *Dispatcher) begin(number uint64, want *schedule.Ask, t *routing.Target, own schedule.Place) *place {
	p := &place{dispatcher: d, number: number, target: t, want: want, own: own, moved: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[number] = p
	return p
}

// place is a request on a target.
type place struct {
	dispatcher *Dispatcher
	number     uint64
	target     *routing.Target
	want       *schedule.Ask
	own        schedule.Place // if it was placed by the entry's own counts
	begun      bool           // guarded by the dispatcher's lock
	moved      chan struct{}
	moveOnce   gosync.Once
}

func (p *place) Target() *routing.Target { return p.target }

func (p *place) Moved() <-chan struct{} { return p.moved }

func (p *place) Began(load *planner.Load) {
	p.dispatcher.mu.Lock()
	p.begun = true
	p.dispatcher.mu.Unlock()
	p.dispatcher.step(step{Number: p.number, Service: p.want.Service, Progress: begun, Load: load})
}

func (p *place) Done(outcome planner.Outcome, flow planner.Flow) {
	p.dispatcher.mu.Lock()
	delete(p.dispatcher.running, p.number)
	p.dispatcher.mu.Unlock()
	if p.own != nil {
		p.own.Done(outcome, flow)
	}
	p.dispatcher.step(step{Number: p.number, Service: p.want.Service, Progress: done, Outcome: outcome, Flow: flow})
}

// Planned is how many requests of all entries wait and run in the planners that
// this entry is in charge of.
func (d *Dispatcher) Planned() (waiting, running int) {
	return d.home.planned()
}

// syncAll lists to each home what this entry has on its targets.
func (d *Dispatcher) syncAll() {
	lists := make(map[ids.Service][]item)
	d.mu.Lock()
	for _, p := range d.running {
		w := p.want
		lists[w.Service] = append(lists[w.Service], item{
			Number: p.number, Target: p.target.ID, Begun: p.begun,
			Tier: w.Tier, Prompt: w.Prompt, Events: w.Events, Account: w.Account,
		})
	}
	d.mu.Unlock()
	for service, items := range lists {
		pages := uint64(len(items)/pageItems + 1)
		byPage := make([][]item, pages)
		for _, it := range items {
			byPage[it.Number%pages] = append(byPage[it.Number%pages], it)
		}
		for page, list := range byPage {
			toHome(d, service, packets.KindSync, d.home.synced, &sync{Service: service, Page: uint64(page), Pages: pages, Items: list})
		}
	}
}
