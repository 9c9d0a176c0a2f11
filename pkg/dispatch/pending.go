package dispatch

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
	"quaydock/pkg/schedule"
)

// pending is a request that has no place yet.
type pending struct {
	want    schedule.Request
	number  uint64
	answers chan answer
	home    netip.AddrPort // whom it was last asked of
	// silence counts the asks since the home was last heard. It begins below
	// zero while the home is known to hold the request.
	silence int
	// trial says that the request may go to a version on trial, which is set aside for it.
	trial bool
	// withheld is how many grants were given back since their targets had told this entry to send nothing.
	withheld int
}

// Acquire waits for a place.
func (d *Dispatcher) Acquire(ctx context.Context, want schedule.Request) (schedule.Assignment, *schedule.Refused, error) {
	p := &pending{want: want}
	d.enter(p)
	defer func() { d.leave(p.number) }()
	d.trials.ask(p)
	defer d.trials.give(p)
	for {
		a, err := d.askOnce(ctx, p)
		switch {
		case err != nil:
			d.step(step{Number: p.number, Service: want.Service, Progress: withdrawn})
			return nil, nil, err
		case a == nil && p.silence >= maxAsks:
			return d.alone(ctx, p)
		case a == nil:
		case a.Verdict == refused, a.Verdict == noTarget, a.Verdict == resting:
			return nil, &schedule.Refused{Overloaded: a.Verdict == refused, BackedOff: a.Verdict == resting, RetryAfter: a.RetryAfter, Ahead: a.Ahead, Wait: a.Wait}, nil
		case a.Verdict == granted && d.barred(a):
			d.withhold(p, a.Life)
		case a.Verdict == granted:
			if t := d.offered(p, a.Life); t != nil {
				return d.begin(p.number, &p.want, t, nil), nil, nil
			}
			d.decline(p, a.Life)
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
	d.lists[p.want.Service] = emptyLists
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
	message.Job.Trial = p.trial
	return toHome(d, w.Service, packets.KindJobSubmit, d.home.asked, &message)
}

// decline gives back a grant for a target that is not to be used. The request
// goes on under a new number.
func (d *Dispatcher) decline(p *pending, life ids.TargetIncarnation) {
	d.Metrics.Links.Add("grants_declined", 1)
	p.want.Exclude = append(slices.Clone(p.want.Exclude), life)
	d.giveBack(p, planner.Moved)
}

// giveBack gives back a grant, and has the request go on under a new number.
func (d *Dispatcher) giveBack(p *pending, outcome planner.Outcome) {
	d.leave(p.number)
	d.step(step{Number: p.number, Service: p.want.Service, Progress: done, Outcome: outcome})
	p.silence = 0
	d.enter(p)
}

// alone places a request by this entry's own counts. The home learns of it by
// the next sync.
func (d *Dispatcher) alone(ctx context.Context, p *pending) (schedule.Assignment, *schedule.Refused, error) {
	d.Metrics.Links.Add("placed_alone", 1)
	d.members.Suspect(p.home)
	d.step(step{Number: p.number, Service: p.want.Service, Progress: withdrawn})
	own, refused, err := d.local.Acquire(ctx, p.want)
	if own == nil {
		return nil, refused, err
	}
	// A new number: the home may still act on the old one.
	return d.begin(d.fresh(), &p.want, own.Target(), own), nil, nil
}
