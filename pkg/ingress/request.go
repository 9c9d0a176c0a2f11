package ingress

import (
	"net/http"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/routing"
	"quaydock/pkg/streams"
)

// request is a caller's request, with what this entry has found out and decided about it. It has no lock: searches work
// on copies.
type request struct {
	Call
	http          *http.Request
	body          []byte           // complete; nil if there is none
	route         *routing.Route   // nil if none was found
	account       *routing.Account // nil on routes without keys
	service       ids.Service      // of the route's split, by splitDraw
	arrived       clock.Millis
	sinceFirstTry clock.Millis // time from the caller's first try to this arrival; 0 for a first try, or if not known
	deadline      clock.Millis // point in time: arrived plus the shorter of the route's timeout and the caller's
	chargedAt     clock.Millis // when it was charged to its account's allowance
	splitDraw     float64      // random number that picks the service of a split route, the same at each look-up

	sent     int                     // exchanges that may have run at a target
	declines int                     // exchanges that surely did not
	sends    int                     // all exchanges that reached a target
	withheld int                     // assignments that were not used, by their targets' own reports
	tried    []ids.TargetIncarnation // excluded from further assignments: it was sent to them, or withheld too often
	// heldFailure is a failure that a target answered; the caller gets it if no other target does better.
	heldFailure *targetFailure
	heldBody    int             // bytes of the body that are counted in the account of buffers
	heldAnswers int             // bytes of answers that are counted there
	order       eventOrder      // what the caller has of a stream
	origin      *streams.Origin // where the stream began; nil before its first event, and if that is not known
	knownBy     streams.Finding // how that is known of a stream that its caller has taken up again

	trail []trailEntry
	// lostErr is the error of the latest exchange that may have run.
	lostErr error
	// digest identifies what is requested; it is computed once a target breaks off.
	digest quarantine.Digest
	// endedTargets lists the targets whose processes ended while they ran the request.
	endedTargets []ids.Target

	placedAt     clock.Millis // when it was last sent to a target
	beganAt      clock.Millis // when that target sent its first event that is no comment; 0 before
	survived     bool         // that target has sent events for survivalTime
	start        quarantine.Start
	firstAt      clock.Millis // when its answer, or the first event, arrived; 0 before
	eventAt      clock.Millis // when the last event, or part of an answer, arrived; 0 before
	longestPause clock.Millis // the longest pause between two events that arrived
}

// Callers give up a stream that is silent for the longest of these, also before its first event.
const (
	minPatience        = 2 * clock.Second
	patienceObjectives = 4 // times the route's objective
	patienceGaps       = 8 // times the route's event gap
)

// patience is how long a caller waits for the next event, 0 if until the deadline.
func (r *request) patience() clock.Millis {
	if r.route.Kind != routing.Stream {
		return 0
	}
	return max(minPatience, patienceObjectives*r.route.Objective, patienceGaps*r.route.EventGap)
}

// recordArrival records that an event, or a complete answer, has arrived.
func (r *request) recordArrival(now clock.Millis) {
	if r.firstAt == 0 {
		r.firstAt = now
	} else {
		r.longestPause = max(r.longestPause, now-r.eventAt)
	}
	r.eventAt = now
}

// tierStep is the number of route tiers within one account tier: the account's tier takes precedence over the route's.
// Routes of lower tiers than that count as of the lowest one.
const tierStep = 16

// tier combines the tiers of the account and the route into one rank; 0 is the highest. The route must be known.
func (r *request) tier() ids.TierRank {
	tier := min(r.route.Tier, tierStep-1)
	if r.account != nil {
		tier += r.account.Tier * tierStep
	}
	return tier
}

// requestDigest returns the digest of what is requested, and computes it once.
func (r *request) requestDigest() quarantine.Digest {
	if r.digest == (quarantine.Digest{}) {
		r.digest = quarantine.Identify(r.accountName(), r.http.RequestURI, r.body)
	}
	return r.digest
}

// sharedParts returns the parts of the prompt that other requests may have in common: all but the last.
func (r *request) sharedParts() []ids.PromptPart {
	parts := make([]ids.PromptPart, 0, len(r.PromptParts))
	for _, part := range r.PromptParts[:max(0, len(r.PromptParts)-1)] {
		parts = append(parts, part.ID)
	}
	return parts
}

// returned reports whether a request is known to have been refused before.
func (r *request) returned() bool {
	return r.sinceFirstTry > 0
}

// accountName returns the name of the request's account, empty if it has none.
func (r *request) accountName() ids.Account {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// estimateEvents estimates the number of events of a request's answer, from the caller's estimate of its output or else
// the limit on it. It returns at least 1 for a stream, and 0 for any other answer.
func (a *admission) estimateEvents(q *request) int {
	if q.route.Kind != routing.Stream {
		return 0
	}
	tokens := q.OutputEstimate
	if tokens <= 0 {
		tokens = q.MaxOutput
	}
	perEvent := 1
	if s := a.view.Catalog().Service(q.service); s != nil && s.Engine != nil {
		perEvent = max(1, s.Engine.EventTokens)
	}
	return int(tokens)/perEvent + 1
}

// recordWithheld records that an assignment to a target was not used, by the target's own report. It excludes the
// target if there were already maxWithheld of them, to whichever targets.
func (r *request) recordWithheld(incarnation ids.TargetIncarnation) {
	if r.withheld++; r.withheld > maxWithheld {
		r.tried = append(r.tried, incarnation)
	}
}
