package dispatch

import (
	"context"
	"net/netip"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
	"quaydock/pkg/schedule"
)

// pending is a request that waits for an assignment. Only the goroutine in Acquire uses its fields, apart from the
// sends on decisions.
type pending struct {
	request   schedule.Request
	number    uint64
	decisions chan decisionMessage // on this request; receiveDecision never blocks on it
	owner     netip.AddrPort       // to which it was submitted last
	// unanswered counts the submissions since the owner's last decision. It starts below
	// zero after the owner has queued the request.
	unanswered int
	// trialReserved says that the request may go to a canary version: this entry has reserved one request of its
	// exposure for it.
	trialReserved bool
	// withheld is how many grants were returned because their targets had told this entry to send nothing.
	withheld int
}

// Acquire waits for an assignment by the owner of the service, or makes one itself if no owner answers. It returns a
// refusal if the request should be retried later, and the cause as an error if ctx ends first.
func (d *Dispatcher) Acquire(ctx context.Context, request schedule.Request) (schedule.Assignment, *schedule.Refused, error) {
	p := &pending{request: request}
	d.register(p)
	defer func() { d.unregister(p.number) }()
	d.trials.reserve(p)
	defer d.trials.release(p)
	for {
		a, err := d.submitOnce(ctx, p)
		switch {
		case err != nil:
			d.sendProgress(progressMessage{Number: p.number, Service: request.Service, Progress: withdrawn})
			return nil, nil, err
		case a == nil && p.unanswered >= maxSubmits:
			return d.assignLocally(ctx, p)
		case a == nil:
		case a.Kind == refused, a.Kind == noTarget, a.Kind == backedOff:
			return nil, &schedule.Refused{Overloaded: a.Kind == refused, BackedOff: a.Kind == backedOff, RetryAfter: a.RetryAfter, Ahead: a.Ahead, Wait: a.Wait}, nil
		case a.Kind == granted && d.blockedByAdvice(a):
			d.withhold(p, a.Incarnation)
		case a.Kind == granted:
			if t := d.usableTarget(p, a.Incarnation); t != nil {
				return d.startAssignment(p.number, &p.request, t, nil), nil, nil
			}
			d.decline(p, a.Incarnation)
		}
	}
}

// submitOnce submits a request to the owner and returns the final decision, or nil if it is time to submit it
// again. Its error is the cause of ctx's end.
func (d *Dispatcher) submitOnce(ctx context.Context, p *pending) (*decisionMessage, error) {
	owner := d.submit(p)
	if owner != p.owner {
		p.owner, p.unanswered = owner, 0
	}
	wait := submitTimeout
	if p.unanswered < 0 {
		wait = pollInterval
	}
	p.unanswered++
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case a := <-p.decisions:
			if a.Kind != queued {
				return &a, nil
			}
			p.unanswered = -maxPolls
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// maxPolls is how many polls for a queued request may go without an answer
// before submissions without an answer count towards maxSubmits.
const maxPolls = 3

// register gives a request a new number, by which the owner identifies it.
func (d *Dispatcher) register(p *pending) {
	const unread = 8 // decisions that Acquire has not read yet; receiveDecision drops further ones
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastNumber++
	p.number = d.lastNumber
	p.decisions = make(chan decisionMessage, unread)
	d.waiting[p.number] = p.decisions
	d.syncsLeft[p.request.Service] = finalSyncs
}

// unregister drops later decisions on a request; a grant among them is only counted as too late.
func (d *Dispatcher) unregister(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, number)
}

// submit sends a request to the owner of its service, and returns the owner.
func (d *Dispatcher) submit(p *pending) netip.AddrPort {
	now := d.Clock.Now()
	w := &p.request
	message := submitMessage{Number: p.number, Service: w.Service, Waited: now - w.Arrived, Remaining: w.Deadline - now, Job: w.Job}
	message.Job.Arrived, message.Job.Deadline = 0, 0
	message.Job.Domain = d.domain
	message.Job.Trial = p.trialReserved
	if w.Version != nil {
		pinned := versionSubmitMessage{Submit: message, Version: *w.Version}
		return sendToOwner(d, w.Service, packets.KindVersionSubmit, d.owner.receiveVersionSubmit, &pinned)
	}
	return sendToOwner(d, w.Service, packets.KindJobSubmit, d.owner.receiveSubmit, &message)
}

// decline returns a grant for a target that must not be used (see usableTarget), and excludes the target. The owner
// grants this entry nothing there for a short time. The request goes on under a new number.
func (d *Dispatcher) decline(p *pending, incarnation ids.TargetIncarnation) {
	d.Metrics.Links.Add("grants_declined", 1)
	p.request.Exclude = append(slices.Clone(p.request.Exclude), incarnation)
	d.returnGrant(p, planner.Declined)
}

// returnGrant ends the run of a grant at the owner, with an outcome that says why it was not used, and registers the
// request under a new number.
func (d *Dispatcher) returnGrant(p *pending, outcome planner.Outcome) {
	d.unregister(p.number)
	d.sendProgress(progressMessage{Number: p.number, Service: p.request.Service, Progress: done, Outcome: outcome})
	p.unanswered = 0
	d.register(p)
}

// assignLocally chooses a target by this entry's own counts, as the owner has not answered, and suspects the owner. The
// owner learns of the request from the next list of running requests.
func (d *Dispatcher) assignLocally(ctx context.Context, p *pending) (schedule.Assignment, *schedule.Refused, error) {
	d.Metrics.Links.Add("placed_alone", 1)
	d.members.Suspect(p.owner)
	d.sendProgress(progressMessage{Number: p.number, Service: p.request.Service, Progress: withdrawn})
	local, refused, err := d.local.Acquire(ctx, p.request)
	if local == nil {
		return nil, refused, err
	}
	// A new number: the owner may still act on the old one.
	return d.startAssignment(d.nextNumber(), &p.request, local.Target(), local), nil, nil
}
