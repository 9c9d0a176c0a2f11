package entry

import (
	"context"
	"errors"

	"quaydock/pkg/balance"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/control"
	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
	"quaydock/pkg/refusal"
	"quaydock/pkg/telemetry"
)

const (
	// maxRounds limits how often all targets of a service are tried for one wait when some could not be reached.
	maxRounds = 5
	// declineValidity is how long a declined ticket counts as evidence that the target is full. It is below the
	// time for which agents keep lower tiers out after declining one (settings floor_hold_ms).
	declineValidity = clock.Second
	// hedgeAfter is the time after which a request whose ticket was placed with fewer agents than usual is placed
	// with more. A ticket may be hedged, a dispatch never.
	hedgeAfter = 300 * clock.Millisecond
	// roundBackoff is the longest pause after the first round; it doubles with each further round.
	roundBackoff = 100 * clock.Millisecond
	// avoidFor is how long a request avoids a target whose grant led to no dispatch.
	avoidFor = clock.Second
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller is told to retry.
	minRetryAfter = clock.Second
	maxRetryAfter = clock.Minute
)

// ticketing places a request's tickets and waits for a grant.
type ticketing struct {
	common.Common
	pool              *sessionPool
	chooser           *balance.Chooser
	index             func() *declaration.Index // returns the configuration in force
	ticketsPerRequest int                       // how many tickets of a request are usually placed at a time
}

// round is one pass over the targets of a service.
type round struct {
	untried    []*session        // in the order in which tickets are placed
	concurrent int               // how many tickets are to be placed at a time
	placed     map[*session]bool // sessions whose ticket has had no event yet
	// full lists the sessions that declined because requests of higher or equal tiers fill them, late counts those
	// that could not answer by the deadline, unreached those that gave no answer or are leaving.
	full      []*session
	late      int
	unreached int
	// firstDeclineAt is when the first session of full declined.
	firstDeclineAt clock.Millis
}

// wait returns a grant, which the caller has to release, or why there is none. When it returns, no ticket of the
// request is placed any more.
func (t *ticketing) wait(ctx context.Context, r *request) waitResult {
	for n := 0; ; n++ {
		if ctx.Err() != nil {
			return interrupted(ctx)
		}
		if t.pool.stopped() {
			return gaveUp{refusal.NoTarget(minRetryAfter)}
		}
		current := t.newRound(r)
		result := t.waitRound(ctx, r, current)
		if result != nil {
			return result
		}
		if current.unreached == 0 && t.allFull(current) {
			return gaveUp{refusal.Overloaded(retryAfter(current.full, r.tier))}
		}
		if current.unreached == 0 && len(current.full) == 0 && current.late > 0 {
			return gaveUp{refusal.DeadlineNotRun()}
		}
		if n+1 == maxRounds {
			return gaveUp{refusal.NoTarget(minRetryAfter)}
		}
		clock.Pause(ctx, t.Random.Jitter(roundBackoff<<n))
	}
}

// allFull reports whether all targets of the round are full of work that goes before the request. An agent that
// declines admits no lower tier for a while. The request may be refused only while this holds at the first agent that
// declined, as lower tiers could be served there in its place afterwards.
func (t *ticketing) allFull(current *round) bool {
	return len(current.full) > 0 && t.Clock.Now()-current.firstDeclineAt <= declineValidity
}

// newRound orders the targets of the request's service for placing. A target that grants tickets but fails the
// dispatch always looks free and would be bound again and again while others work: it is tried only if there is no
// other.
func (t *ticketing) newRound(r *request) *round {
	next := &round{placed: make(map[*session]bool)}
	now := t.Clock.Now()
	var reached, avoided candidateSet
	for _, s := range t.pool.serving(t.index(), r.service) {
		c, connected := s.candidate()
		switch {
		case !connected:
			next.unreached++
		case now < r.avoidUntil[s]:
			avoided.add(s, c)
		default:
			reached.add(s, c)
		}
	}
	if len(reached.sessions) == 0 {
		reached = avoided
	}
	job := r.job(now)
	next.concurrent = t.chooser.FanOut(job)
	for _, i := range t.chooser.Order(now, t.Random.Fork(), job, reached.candidates) {
		next.untried = append(next.untried, reached.sessions[i])
	}
	return next
}

// candidateSet is a set of connected targets. Both slices have one element for each target, in the same order.
type candidateSet struct {
	sessions   []*session
	candidates []balance.Candidate
}

func (r *candidateSet) add(s *session, c balance.Candidate) {
	r.sessions = append(r.sessions, s)
	r.candidates = append(r.candidates, c)
}

// waitRound places tickets and waits for a grant. It returns nil if every target of the round declined or was
// lost.
func (t *ticketing) waitRound(ctx context.Context, r *request, current *round) waitResult {
	defer t.withdrawPlaced(r, current)
	var hedge <-chan struct{} // never ready if the usual number is placed at once
	if current.concurrent < t.ticketsPerRequest {
		timer := clock.NewTimer(hedgeAfter)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		t.placeTickets(ctx, r, current)
		if len(current.placed) == 0 {
			return nil
		}
		select {
		case event := <-r.events:
			delete(current.placed, event.session)
			if result := current.record(t.Clock.Now(), event); result != nil {
				t.chooser.RecordBinding(event.session.target, r.prefix)
				return result
			}
		case <-hedge:
			current.concurrent = t.ticketsPerRequest
		case <-ctx.Done():
			return interrupted(ctx)
		}
	}
}

// interrupted returns the result of a wait that the end of ctx interrupted: gaveUp at the deadline, else callerLeft.
func interrupted(ctx context.Context) waitResult {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return gaveUp{refusal.DeadlineNotRun()}
	}
	return callerLeft{}
}

// placeTickets places tickets until the round's concurrent number is reached.
func (t *ticketing) placeTickets(ctx context.Context, r *request, current *round) {
	for len(current.placed) < current.concurrent && len(current.untried) > 0 {
		s := current.untried[0]
		current.untried = current.untried[1:]
		current.placed[s] = true
		s.place(r, r.nextTicket(t.Clock.Now(), telemetry.TraceParent(ctx)))
	}
}

// record stores the end of one ticket; it returns a result if the ticket was granted.
func (o *round) record(now clock.Millis, event ticketEvent) waitResult {
	switch {
	case event.lost:
		o.unreached++
	case event.verdict.Kind == control.Granted:
		return granted{session: event.session, grant: event.verdict.Grant, attempt: event.verdict.Turn}
	case event.verdict.Reason == control.Late:
		o.late++
	case event.verdict.Reason == control.Full:
		if len(o.full) == 0 {
			o.firstDeclineAt = now
		}
		o.full = append(o.full, event.session)
	default: // the agent is leaving, does not serve the service, or has a duplicate of the ticket
		o.unreached++
	}
	return nil
}

// withdrawPlaced withdraws the tickets that are still placed. A grant that arrived meanwhile is returned.
func (t *ticketing) withdrawPlaced(r *request, current *round) {
	for s := range current.placed {
		s.withdraw(r.id)
	}
	for {
		select {
		case event := <-r.events:
			if !event.lost && event.verdict.Kind == control.Granted {
				event.session.returnGrant(r.id, event.verdict.Turn)
				event.session.release()
			}
		default:
			return
		}
	}
}

// retryAfter returns the time in which the least loaded of the full targets works off half of what it has queued ahead
// of a tier, but not less than its back-off. The result is within minRetryAfter and maxRetryAfter.
func retryAfter(full []*session, tier ids.TierRank) clock.Millis {
	best := maxRetryAfter
	for _, s := range full {
		load := s.lastLoad()
		wait := load.Rest
		if load.DrainPerSecond > 0 {
			wait = max(wait, queueTime(load.QueuedBefore(tier)/2, load.DrainPerSecond))
		}
		if wait > 0 || load.DrainPerSecond > 0 {
			best = min(best, wait)
		}
	}
	return max(best, minRetryAfter)
}

// queueTime returns the time that work takes at perSecond tokens a second, which must be above 0.
func queueTime(work, perSecond ids.Tokens) clock.Millis {
	return clock.Millis(work) * clock.Second / clock.Millis(perSecond)
}
