package ingress

import (
	"net/http"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/routing"
)

// request is an admitted request.
type request struct {
	Call
	http     *http.Request
	body     []byte
	route    *routing.Route
	account  *routing.Account // nil on routes without keys
	service  ids.Service
	arrived  clock.Millis
	before   clock.Millis // how long before that its caller first asked
	deadline clock.Millis
	takenAt  clock.Millis // when it was counted against its account's allowance
	draw     float64      // picks the service of a split route, the same each time

	sent     int // exchanges that may have run at a target
	declines int // exchanges that surely did not
	sends    int // all exchanges that reached a target
	withheld int // places that were not used, by their targets' own word
	tried    []ids.TargetIncarnation
	// held is a failure of a target's own, for the caller if no other target does better.
	held      *heldAnswer
	lastEvent int64
	hasEvent  bool

	trail []mark
	// lostBy is how the newest exchange failed that may have run.
	lostBy error
	// digest stands for what is asked for; it is worked out once a target breaks off.
	digest quarantine.Digest
	// ended lists the targets whose processes ended while they ran the request.
	ended []ids.Target

	placedAt clock.Millis // when it was last sent to a target
	firstAt  clock.Millis // when its answer, or the first event, came
	eventAt  clock.Millis // when the last event, or part of an answer, came
	pause    clock.Millis // the longest between two events
}

// Callers give up a stream that is silent for the longest of these, its first
// event included.
const (
	patienceFloor      = 2 * clock.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// patience is how long a caller waits for the next event, 0 if to the deadline.
func (r *request) patience() clock.Millis {
	if r.route.Kind != routing.Stream {
		return 0
	}
	return max(patienceFloor, patienceObjectives*r.route.Objective, patienceGaps*r.route.EventGap)
}

// came notes that an event, or a whole answer, has come.
func (r *request) came(now clock.Millis) {
	if r.firstAt == 0 {
		r.firstAt = now
	} else {
		r.pause = max(r.pause, now-r.eventAt)
	}
	r.eventAt = now
}

// tierStep keeps the tiers of accounts apart: an account's rank goes before the
// route's.
const tierStep = 16

func (r *request) tier() ids.TierRank {
	tier := min(r.route.Tier, tierStep-1)
	if r.account != nil {
		tier += r.account.Tier * tierStep
	}
	return tier
}

// identify returns the digest of what is asked for.
func (r *request) identify() quarantine.Digest {
	if r.digest == (quarantine.Digest{}) {
		r.digest = quarantine.Identify(r.accountName(), r.http.RequestURI, r.body)
	}
	return r.digest
}

// returned reports whether a request was refused before, as far as can be told.
func (r *request) returned() bool {
	return r.before > 0
}

func (r *request) accountName() ids.Account {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// events guesses how many events a request's answer will have.
func (a *admission) events(q *request) int {
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

// passOver notes that a place on a target was not used, by the target's own word.
func (r *request) passOver(life ids.TargetIncarnation) {
	if r.withheld++; r.withheld > mostWithheld {
		r.tried = append(r.tried, life)
	}
}
