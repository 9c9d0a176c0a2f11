package entry

import (
	"context"
	"errors"
	"time"

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
	// maxRounds bounds how often all targets of a service are asked when some
	// could not be reached.
	maxRounds = 5
	// freshRefusal is how long a refusal may be relied on. It is below the time
	// for which agents keep lower tiers out after one (settings floor_hold_ms).
	freshRefusal = clock.Second
	// hedgeAfter is when a request that was placed with fewer agents than usual
	// is placed with more. A ticket may be hedged, a dispatch never.
	hedgeAfter   = 300 * clock.Millisecond
	roundBackoff = 100 * clock.Millisecond
	// fruitlessFor is for how long a request passes over a target whose grant came to nothing.
	fruitlessFor  = clock.Second
	minRetryAfter = clock.Second
	maxRetryAfter = clock.Minute
)

// ticketing places a request's tickets and waits for a grant.
type ticketing struct {
	common.Common
	pool   *sessionPool
	choose *balance.Chooser
	book   func() *declaration.Index
	asked  int
}

// round is one pass over the targets of a service.
type round struct {
	untried []*session
	asked   int // how many tickets are to be out at once
	out     map[*session]bool
	// full lists those that declined since higher or equal tiers fill them;
	// late counts those that could not answer by the deadline, unreached those
	// that gave no answer or are leaving.
	full      []*session
	late      int
	unreached int
	// refusedAt is when the first of full declined.
	refusedAt clock.Millis
}

// wait returns a grant, which is to be released in the end, or why there is none. When it returns, no ticket of
// the request is out.
func (t *ticketing) wait(ctx context.Context, r *request) waitResult {
	for n := 0; ; n++ {
		if ctx.Err() != nil {
			return interrupted(ctx)
		}
		current := t.newRound(r)
		result := t.waitRound(ctx, r, current)
		if result != nil {
			return result
		}
		if current.unreached == 0 && t.agreed(current) {
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

// agreed reports whether all targets of the round are full of work that goes
// before the request. Each agent that declines takes no lower tier for a while;
// what the first said holds as long as that while lasts.
func (t *ticketing) agreed(current *round) bool {
	return len(current.full) > 0 && t.Clock.Now()-current.refusedAt <= freshRefusal
}

// newRound puts the targets of the request's service in the order in which to
// ask them. A target whose agent grants what comes to nothing is always free, and would be bound again and
// again while others work: it is asked only if there is no other.
func (t *ticketing) newRound(r *request) *round {
	next := &round{out: make(map[*session]bool)}
	now := t.Clock.Now()
	var reached, fruitless reach
	for _, s := range t.pool.serving(t.book(), r.service) {
		c, connected := s.candidate()
		switch {
		case !connected:
			next.unreached++
		case now < r.fruitless[s]:
			fruitless.add(s, c)
		default:
			reached.add(s, c)
		}
	}
	if len(reached.sessions) == 0 {
		reached = fruitless
	}
	job := r.job(now)
	next.asked = t.choose.FanOut(job)
	for _, i := range t.choose.Order(now, t.Random.Fork(), job, reached.candidates) {
		next.untried = append(next.untried, reached.sessions[i])
	}
	return next
}

// reach is some targets that can be asked.
type reach struct {
	sessions   []*session
	candidates []balance.Candidate
}

func (r *reach) add(s *session, c balance.Candidate) {
	r.sessions = append(r.sessions, s)
	r.candidates = append(r.candidates, c)
}

// waitRound returns nil if every target of the round declined or was lost.
func (t *ticketing) waitRound(ctx context.Context, r *request, current *round) waitResult {
	defer t.takeBack(r, current)
	var hedge <-chan time.Time // never ready where the usual number is out at once
	if current.asked < t.asked {
		timer := time.NewTimer(hedgeAfter.Duration())
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		t.ask(ctx, r, current)
		if len(current.out) == 0 {
			return nil
		}
		select {
		case event := <-r.events:
			delete(current.out, event.session)
			if result := current.take(t.Clock.Now(), event); result != nil {
				t.choose.RecordBinding(event.session.target, r.prefix)
				return result
			}
		case <-hedge:
			current.asked = t.asked
		case <-ctx.Done():
			return interrupted(ctx)
		}
	}
}

// interrupted says how the end of ctx ends a wait.
func interrupted(ctx context.Context) waitResult {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return gaveUp{refusal.DeadlineNotRun()}
	}
	return callerLeft{}
}

// ask places tickets until enough are out.
func (t *ticketing) ask(ctx context.Context, r *request, current *round) {
	for len(current.out) < current.asked && len(current.untried) > 0 {
		s := current.untried[0]
		current.untried = current.untried[1:]
		current.out[s] = true
		s.place(r, r.nextTicket(t.Clock.Now(), telemetry.TraceParent(ctx)))
	}
}

// take notes the end of one ticket; it returns a result if it was a grant.
func (o *round) take(now clock.Millis, event ticketEvent) waitResult {
	switch {
	case event.lost:
		o.unreached++
	case event.verdict.Kind == control.Granted:
		return granted{session: event.session, grant: event.verdict.Grant, turn: event.verdict.Turn}
	case event.verdict.Reason == control.Late:
		o.late++
	case event.verdict.Reason == control.Full:
		if len(o.full) == 0 {
			o.refusedAt = now
		}
		o.full = append(o.full, event.session)
	default:
		o.unreached++
	}
	return nil
}

// takeBack withdraws the tickets that are still out. A grant that came in the
// meantime is given back.
func (t *ticketing) takeBack(r *request, current *round) {
	for s := range current.out {
		s.withdraw(r.id)
	}
	for {
		select {
		case event := <-r.events:
			if !event.lost && event.verdict.Kind == control.Granted {
				event.session.giveBack(r.id, event.verdict.Turn)
				event.session.release()
			}
		default:
			return
		}
	}
}

// retryAfter is the time in which the least loaded of the full targets drains
// half of its queue, and none before its rest is over.
func retryAfter(full []*session, tier ids.TierRank) clock.Millis {
	best := maxRetryAfter
	for _, s := range full {
		load := s.lastLoad()
		wait := load.Rest
		if load.DrainPerSecond > 0 {
			wait = max(wait, drainTime(load.QueuedBefore(tier)/2, load.DrainPerSecond))
		}
		if wait > 0 || load.DrainPerSecond > 0 {
			best = min(best, wait)
		}
	}
	return max(best, minRetryAfter)
}

func drainTime(work, perSecond ids.Tokens) clock.Millis {
	return clock.Millis(work) * clock.Second / clock.Millis(perSecond)
}
