package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"quaydock/pkg/ablation"
	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/membership"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
)

// Limits that depend on the age of the configuration's freshness, that is, on how long ago it was last confirmed
// to be the newest.
const (
	// maxNotFoundAge is the greatest age at which the entry answers that something does not exist. Beyond it,
	// callers are told to come back.
	maxNotFoundAge = 2500 * clock.Millisecond
	// revokeFraction is the fraction of the limit on removed keys during which keys are used without a newer
	// confirmation. A key is removed after the last confirmation at the earliest. The rest of the limit covers
	// the travel time of the store's answers, by which a confirmation may seem too recent.
	revokeFraction = 0.85
	// redistributionMargin is subtracted from membership.ForgetAfter, the time without a heartbeat after which the
	// others redistribute an entry's share. Where operators prefer service to strictness, an entry without its
	// membership lease goes on using its keys until then, even if their limit is shorter.
	redistributionMargin = 500 * clock.Millisecond
	// startupWait is how long a request waits at an entry that has just started and has no configuration yet;
	// reading it takes 20 to 100 ms. A caller that is told to come back instead has used up its only retry:
	// this happened to 85 to 780 callers when all 68 entries were started at once.
	startupWait = 150 * clock.Millisecond
	// retryDelay is the Retry-After of an entry that has no configuration or none that is fresh enough.
	retryDelay = 300 * clock.Millisecond
)

// Meter limits what client accounts may have run over all entries together. A fraction of an account's burst may
// be reserved, which is then not available to the request.
type Meter interface {
	// Take counts units, as of Account.Units, against an account's allowance, of whose burst the fraction reserve
	// (0 to 1) is left to others. If they may not run, it returns false and how long the caller should wait.
	Take(ctx context.Context, account *routing.Account, units, reserve float64) (bool, clock.Millis)
	// Return gives back units that did not run; taken is when Take counted them.
	Return(account *routing.Account, units float64, taken clock.Millis)
}

// Entries describes this entry's standing among all entries.
type Entries interface {
	// Share is this entry's share of the allowances of all entries together, a fraction up to 1, or 0 while it is
	// unknown.
	Share() float64
	// HoldsLease reports whether this entry has counted as alive ever since a moment, and nobody can
	// redistribute its share before it is notified.
	HoldsLease(since clock.Millis) bool
	// OthersReady reports whether callers that this entry sends away while it drains will most likely reach an entry
	// that stays.
	OthersReady() bool
}

// admission decides whether a request is admitted.
type admission struct {
	common.Common
	view        *view.View
	headerCodec HeaderCodec
	meter       Meter
	tries       *firstTries
	drain       *drainAdmission
	entries     Entries
	buffers     *buffers.Account // what is held for callers and targets
	// keyGrace is up to which age of the configuration's freshness keys are used, in clock.Millis.
	keyGrace atomic.Int64
	// leasedKeyGrace is the same while this entry holds its membership lease; 0 if that makes no difference.
	leasedKeyGrace atomic.Int64
}

// setKeyGrace sets how long keys are used without a confirmation that the configuration is the newest. Unless the limit
// is strict, this is at least until shortly before the others may redistribute this entry's share, and up to keys.Max
// while it holds its membership lease.
func (a *admission) setKeyGrace(keys KeyGrace) {
	grace := float64(keys.Limit) * revokeFraction
	if !keys.Strict && !a.Ablation.Off(ablation.KeyTrust) {
		grace = max(grace, float64(membership.ForgetAfter-redistributionMargin))
		a.leasedKeyGrace.Store(int64(keys.Max))
	} else {
		a.leasedKeyGrace.Store(0)
	}
	a.keyGrace.Store(int64(grace))
}

// keysUsable reports whether keys may be used from a configuration whose freshness has the given age. Beyond
// the time after which others may redistribute the share of a partitioned entry, this one must hold its
// membership lease, that is, others must have acknowledged its heartbeats.
func (a *admission) keysUsable(now, age clock.Millis) bool {
	if age <= clock.Millis(a.keyGrace.Load()) {
		return true
	}
	return age <= clock.Millis(a.leasedKeyGrace.Load()) && a.entries.HoldsLease(now-age)
}

// hasConfiguration reports whether both the catalog and the list of targets are known.
func (a *admission) hasConfiguration() bool {
	return a.view.Catalog() != nil && a.view.Directory() != nil
}

// awaitConfiguration waits until the configuration is known, at most startupWait.
func (a *admission) awaitConfiguration(ctx context.Context) {
	select {
	case <-a.view.Known():
		return
	default:
	}
	clock.Await(ctx, startupWait, a.view.Known())
}

// newRequest returns a request that has just arrived.
func (a *admission) newRequest(r *http.Request) *request {
	return &request{Call: a.headerCodec.Describe(r.Header), http: r, arrived: a.Clock.Now(), splitDraw: a.Random.Fork().Float64()}
}

// admit reads a request and checks its route, key, size and allowance. The request is admitted if there is no refusal.
func (a *admission) admit(w http.ResponseWriter, q *request) *Refusal {
	ctx := q.http.Context()
	a.awaitConfiguration(ctx)
	if refusal := a.resolve(q); refusal != nil {
		return refusal
	}
	timeout := q.route.Timeout
	if q.Deadline > 0 && (timeout <= 0 || q.Deadline < timeout) {
		timeout = q.Deadline
	}
	q.deadline = q.arrived + timeout
	if !a.Ablation.Off(ablation.FirstTry) {
		q.sinceFirstTry = a.tries.sinceFirstTry(q.route, q.Deadline)
	}
	if !a.drain.admits(q.arrived, q.deadline, q.route, q.returned()) {
		return notRun(CauseLeaving, a.drain.retryAfter(q.arrived))
	}
	if refusal := a.read(w, q); refusal != nil {
		return refusal
	}
	// The body may arrive long after the head. A request whose body took 1.2 s was sent to a target that then
	// had 4 s left for an answer that may take up to 20 s.
	if now := a.Clock.Now(); !a.drain.admits(now, q.deadline, q.route, q.returned()) {
		return notRun(CauseLeaving, a.drain.retryAfter(now))
	}
	if q.account != nil {
		units := q.account.Units(q.Prompt + q.MaxOutput)
		reserve := reserveFor(q, units)
		if a.Ablation.Off(ablation.TierReserve) {
			reserve = 0
		}
		taken, wait := a.meter.Take(ctx, q.account, units, reserve)
		if !taken {
			return a.quotaRefusal(wait)
		}
		q.chargedAt = a.Clock.Now()
	}
	// Checked after the allowance: where that refuses most requests, 60,000 of 66,000, checking the connection
	// first costs 1.8% of the processor time, over six days of such a load.
	if callerDisconnected(ctx) {
		a.refund(q, q.account)
		return &Refusal{Cause: CauseLeft, Err: errCallerDisconnected}
	}
	return nil
}

// quotaRefusal refuses a request that the meter does not allow now. While this entry has no share of the
// allowances, the refusal must not blame the account.
func (a *admission) quotaRefusal(wait clock.Millis) *Refusal {
	if a.entries.Share() <= 0 {
		return notRun(CauseUnlisted, wait)
	}
	return &Refusal{Status: http.StatusTooManyRequests, Cause: CauseOverQuota, RetryAfter: wait}
}

const (
	// maxReserve is the fraction of an account's burst that its lowest tiers leave to its highest while the
	// account requests more than its allowance. Of 0.15, 0.3 and 0.6, the larger ones starve the lowest tier.
	maxReserve = 0.15
	// reserveTiers is how many tiers below the highest maxReserve is reached.
	reserveTiers = 2
	// cheapFactor is the multiple of the units of a request that names no tokens below which a request is
	// cheap: refusing it frees little for others.
	cheapFactor = 5
)

// reserveFor returns the fraction of its account's burst that a request leaves to higher tiers. It is larger for
// lower tiers and smaller for requests of few units.
func reserveFor(q *request, units float64) float64 {
	rank := min(1, float64(q.route.Tier)/reserveTiers)
	size := 1.0
	if q.account.CountsTokens && q.account.PlainTokens > 0 {
		size = min(1, units/(cheapFactor*q.account.PlainTokens))
	}
	return maxReserve * rank * size
}

// resolve puts the route, service and account of the current configuration into a request, or refuses it. It is called
// again before each exchange, since route and account may have been removed while the request waited.
func (a *admission) resolve(q *request) *Refusal {
	if !a.hasConfiguration() {
		return notRun(CauseStarting, retryDelay)
	}
	catalog := a.view.Catalog()
	now := a.Clock.Now()
	age := a.view.Age(now)
	route := catalog.Route(host(q.http.Host), sentPath(q.http))
	if route == nil {
		return a.notFound(http.StatusNotFound, CauseNoRoute, age)
	}
	q.route = route
	q.service = route.PickService(q.splitDraw)
	if q.origin != nil && q.origin.Known() {
		q.service = q.origin.Service
	}
	q.account = nil
	if !catalog.RequiresKey() || route.Anonymous {
		return nil
	}
	if !a.keysUsable(now, age) {
		return notRun(CauseStaleKeys, retryDelay)
	}
	if q.account = catalog.Account(q.Key); q.account == nil {
		return a.notFound(http.StatusUnauthorized, CauseUnknownKey, age)
	}
	return nil
}

// notFound refuses a request for something that is not in the configuration. If that may be outdated, the caller
// is told to come back instead.
func (a *admission) notFound(status int, cause Cause, age clock.Millis) *Refusal {
	if age > maxNotFoundAge {
		return notRun(cause, retryDelay)
	}
	return refuse(status, cause)
}

// read reads the complete body before anything is sent, so that a target never gets a truncated request. The body may
// arrive until the request's deadline, and for at least 1 s.
func (a *admission) read(w http.ResponseWriter, q *request) *Refusal {
	if q.http.Body == nil || q.http.Body == http.NoBody {
		return nil
	}
	limit := a.view.Catalog().Limits.BodyBytes
	if limit > 0 && q.http.ContentLength > limit || q.http.ContentLength >= int64(a.buffers.MaxBody(q.tier())) {
		return refuse(http.StatusRequestEntityTooLarge, CauseTooLarge)
	}
	reader := q.http.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, reader, limit)
	}
	control := http.NewResponseController(w)
	left := max(q.deadline-a.Clock.Now(), clock.Second)
	// A writer without deadlines, as in tests, is limited only by the caller.
	_ = control.SetReadDeadline(time.Now().Add(left.Duration()))
	body, err := a.readBody(q, reader)
	late := errors.Is(err, os.ErrDeadlineExceeded)
	if !late { // else the server would wait for the rest of the body before it sends the answer
		_ = control.SetReadDeadline(noDeadline)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBuffersFull):
		return notRun(CauseBuffersFull, a.buffersRetryAfter())
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, CauseTooLarge)
	case err != nil && errors.Is(context.Cause(q.http.Context()), errEnded):
		return notRun(CauseLeaving, a.drain.retryAfter(a.Clock.Now()))
	case late:
		return &Refusal{Status: http.StatusRequestTimeout, Cause: CauseSlowSender, Err: err}
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Cause: CauseBadBody, Err: err}
	}
	q.body = body
	return nil
}

// host returns a Host field without its port.
func host(field string) string {
	if name, _, err := net.SplitHostPort(field); err == nil {
		return name
	}
	return field
}

// sentPath returns the path of a request as it was sent: escaped as it was, and without dot segments resolved.
func sentPath(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	switch {
	case r.URL.Scheme == "":
		return target
	case r.URL.Opaque != "":
		return "" // as in "host:80"
	}
	_, rest, _ := strings.Cut(target, ":")
	authority, hasAuthority := strings.CutPrefix(rest, "//")
	if !hasAuthority {
		return rest
	}
	if i := strings.Index(authority, "/"); i >= 0 {
		return authority[i:]
	}
	return ""
}

// refund returns the allowance of a request that has not run. The account is the one that was charged, as a later
// resolve may have put another into the request; nil if none was.
func (a *admission) refund(q *request, account *routing.Account) {
	if account != nil {
		a.meter.Return(account, account.Units(q.Prompt+q.MaxOutput), q.chargedAt)
	}
}
