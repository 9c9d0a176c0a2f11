package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/membership"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
)

// Ages of the proof that the configuration is the newest.
const (
	// freshFor is how old the proof may be for an answer that says that
	// something does not exist. Beyond it, the entry says to come back.
	freshFor = 2500 * clock.Millisecond
	// revokePart is the part of the bound on keys taken away after which keys
	// are no longer trusted without proof. A key is taken away after the last
	// proof at the earliest; the rest of the bound is for what a proof may be too
	// young by: the way of the store's answers.
	revokePart = 0.85
	// forgetMargin is how long before the other entries share out the part of one
	// that is silent it stops trusting its keys at the latest, where the operators
	// prefer service to strictness: 0.6091 of the worth against 0.6045 with the strict
	// bound, mean of 30 played days (with 20 s, which gains no more than 7.5).
	forgetMargin = 500 * clock.Millisecond
	// startPatience is for how long a request waits at an entry that has just started and
	// does not know the configuration yet; it does within 20 to 100 ms. A caller that is
	// told to come back instead has spent its only return: 85 to 780 of them at a start of all
	// 68 entries.
	startPatience = 150 * clock.Millisecond
	// comeBack is when to come back to an entry that does not know enough.
	comeBack = 300 * clock.Millisecond
)

// Meter bounds what client accounts may have run over all entries together. Of
// what an account may have run at once, a part may be kept from a request.
type Meter interface {
	Take(ctx context.Context, account *routing.Account, units, keep float64) (bool, clock.Millis)
	Return(account *routing.Account, units float64, taken clock.Millis)
}

// Entries tells of all entries together.
type Entries interface {
	// Share is this one's part of what all may spend together, 0 while it is not known.
	Share() float64
	// Assured reports whether this entry has counted as one of them ever since a
	// moment, and nobody can share out its part before it is told.
	HoldsLease(since clock.Millis) bool
}

// admission decides whether a request may pass.
type admission struct {
	common.Common
	view     *view.View
	dialect  HeaderCodec
	meter    Meter
	tries    *firstTries
	closing  *closing
	entries  Entries
	keyTrust atomic.Int64 // for how long keys are trusted without proof, in clock.Millis
	// assuredTrust is for how long they are while the other entries hear this one.
	assuredTrust atomic.Int64
}

func (a *admission) setKeyTrust(keys KeyGrace) {
	trust := float64(keys.Limit) * revokePart
	if !keys.Strict && !a.Ablation.Off(ablation.KeyTrust) {
		trust = max(trust, float64(membership.ForgetAfter-forgetMargin))
		a.assuredTrust.Store(int64(keys.Max))
	} else {
		a.assuredTrust.Store(0)
	}
	a.keyTrust.Store(int64(trust))
}

// trustsKeys reports whether keys may be used by a configuration that was surely the
// newest so long ago. Beyond the time after which others may share out the part of an
// entry that is cut off from all, it takes their word that they hear this one.
func (a *admission) trustsKeys(now, age clock.Millis) bool {
	if age <= clock.Millis(a.keyTrust.Load()) {
		return true
	}
	return age <= clock.Millis(a.assuredTrust.Load()) && a.entries.HoldsLease(now-age)
}

// knows reports whether there is anything to decide by.
func (a *admission) knows() bool {
	return a.view.Catalog() != nil && a.view.Directory() != nil
}

// awaitKnown waits a little until there is something to decide by.
func (a *admission) awaitKnown(ctx context.Context) {
	select {
	case <-a.view.Known():
		return
	default:
	}
	timer := time.NewTimer(startPatience.Duration())
	defer timer.Stop()
	select {
	case <-a.view.Known():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// admit reads a request and checks route, key, size and allowance.
func (a *admission) admit(w http.ResponseWriter, r *http.Request) (*request, *Refusal) {
	arrived := a.Clock.Now()
	q := &request{Call: a.dialect.Describe(r.Header), http: r, arrived: arrived, draw: a.Random.Fork().Float64()}
	a.awaitKnown(r.Context())
	if refusal := a.resolve(q); refusal != nil {
		return q, refusal
	}
	held := q.route.Timeout
	if q.Deadline > 0 && (held <= 0 || q.Deadline < held) {
		held = q.Deadline
	}
	q.deadline = arrived + held
	if !a.closing.takes(arrived, q.deadline, q.route) {
		return q, notRun(CauseLeaving, a.closing.retryAfter(arrived))
	}
	if !a.Ablation.Off(ablation.FirstTry) {
		q.before = a.tries.before(q.route, q.Deadline)
	}
	if refusal := a.read(w, q); refusal != nil {
		return q, refusal
	}
	// The body may come long after the head. One that took 1.2 s to come was sent to a target
	// that then had 4 s for a request of up to 20 s.
	if now := a.Clock.Now(); !a.closing.takes(now, q.deadline, q.route) {
		return q, notRun(CauseLeaving, a.closing.retryAfter(now))
	}
	if q.account != nil {
		units := q.account.Units(q.Prompt + q.MaxOutput)
		keep := keepFor(q, units)
		if a.Ablation.Off(ablation.TierKeep) {
			keep = 0
		}
		taken, wait := a.meter.Take(r.Context(), q.account, units, keep)
		if !taken {
			return q, a.notTaken(wait)
		}
		q.takenAt = a.Clock.Now()
	}
	// Behind the allowance: where most is refused by that, 60,000 of 66,000 requests, looking
	// first costs 1.8% of the processor time, over six days of such a load.
	if hasLeft(r.Context()) {
		a.refund(q, q.account)
		return q, &Refusal{Cause: CauseLeft, Err: errEndSeen}
	}
	return q, nil
}

// notTaken refuses a request whose account may not run it now. Where this entry has no part of
// the allowance yet that says nothing of the account.
func (a *admission) notTaken(wait clock.Millis) *Refusal {
	if a.entries.Share() <= 0 {
		return notRun(CauseUnlisted, wait)
	}
	return &Refusal{Status: http.StatusTooManyRequests, Cause: CauseOverQuota, RetryAfter: wait}
}

const (
	// keepMost is the part of an account's burst that its lowest tiers leave to
	// its highest while the account asks for more than it may have run. Measured
	// with 0.15, 0.3 and 0.6: more starves the lowest kind.
	keepMost = 0.15
	// keepTiers is how many tiers below the highest it takes for keepMost.
	keepTiers = 2
	// cheapUnits is below how many times the units of a request that names no
	// tokens a request is cheap: refusing it leaves little to others.
	cheapUnits = 5
)

// keepFor is the part of its account's burst that a request leaves to higher
// tiers: the lower its tier, the more, and the less the fewer units it takes.
func keepFor(q *request, units float64) float64 {
	rank := min(1, float64(q.route.Tier)/keepTiers)
	size := 1.0
	if q.account.CountsTokens && q.account.PlainTokens > 0 {
		size = min(1, units/(cheapUnits*q.account.PlainTokens))
	}
	return keepMost * rank * size
}

// resolve finds the route and the account of a request in the configuration in
// force. It is called again before each exchange, since both may have gone
// while the request waited.
func (a *admission) resolve(q *request) *Refusal {
	if !a.knows() {
		return notRun(CauseStarting, comeBack)
	}
	catalog := a.view.Catalog()
	now := a.Clock.Now()
	age := a.view.Age(now)
	route := catalog.Route(host(q.http.Host), q.http.URL.Path)
	if route == nil {
		return a.missing(http.StatusNotFound, CauseNoRoute, age)
	}
	q.route = route
	q.service = route.Pick(q.draw)
	q.account = nil
	if !catalog.RequiresKey() || route.Anonymous {
		return nil
	}
	if !a.trustsKeys(now, age) {
		return notRun(CauseStaleKeys, comeBack)
	}
	if q.account = catalog.Account(q.Key); q.account == nil {
		return a.missing(http.StatusUnauthorized, CauseUnknownKey, age)
	}
	return nil
}

// missing refuses what the configuration does not have. If it may be old, the
// caller is told to come back instead.
func (a *admission) missing(status int, cause Cause, age clock.Millis) *Refusal {
	if age > freshFor {
		return notRun(cause, comeBack)
	}
	return refuse(status, cause)
}

// read reads the whole body, so that what is sent on is whole.
func (a *admission) read(w http.ResponseWriter, q *request) *Refusal {
	if q.http.Body == nil || q.http.Body == http.NoBody {
		return nil
	}
	limit := a.view.Catalog().Limits.BodyBytes
	if limit > 0 && q.http.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, CauseTooLarge)
	}
	reader := q.http.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, reader, limit)
	}
	control := http.NewResponseController(w)
	left := max(q.deadline-a.Clock.Now(), clock.Second)
	// A writer without deadlines, as in tests, is bounded by the caller alone.
	_ = control.SetReadDeadline(time.Now().Add(left.Duration()))
	body, err := readAll(reader, q.http.ContentLength)
	_ = control.SetReadDeadline(noDeadline)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, CauseTooLarge)
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Cause: CauseBadBody, Err: err}
	}
	q.body = body
	return nil
}

func readAll(from io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// host returns the name of a host without a port.
func host(field string) string {
	if name, _, err := net.SplitHostPort(field); err == nil {
		return name
	}
	return field
}

// refund gives back the allowance of a request that has not run.
func (a *admission) refund(q *request, account *routing.Account) {
	if account != nil {
		a.meter.Return(account, account.Units(q.Prompt+q.MaxOutput), q.takenAt)
	}
}
