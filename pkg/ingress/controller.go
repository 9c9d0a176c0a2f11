// Package ingress takes callers' requests that pass through unchanged, and sees
// each to its one final answer.
package ingress

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/forward"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/quota"
	"quaydock/pkg/schedule"
	"quaydock/pkg/telemetry"
	"quaydock/pkg/view"
)

// noDeadline takes a deadline of a connection away.
var noDeadline time.Time

var (
	errDeadline = errors.New("the request's time is over")
	errEnded    = errors.New("the entry ends")
)

// Parts are what a controller works with.
type Dependencies struct {
	common.Common
	View        *view.View
	HeaderCodec HeaderCodec
	Scheduler   schedule.Scheduler
	Pool        *forward.Pool
	Meter       Meter
	Retries     *quota.RetryBudget
	Entries     Entries
	Keys        KeyGrace
	// Guard keeps requests that end their targets from running; nil has the controller go by what
	// it sees itself.
	Guard *quarantine.Guard
	// Advice is what targets have told this entry of themselves.
	Advice *advisory.Tracker
	// MostExtra is how many requests on connections beyond callers' share may be served at once,
	// those of a higher tier than some request that is being served.
	MaxExtra int
}

// KeyTrust says how long a key may still be used after its removal.
type KeyGrace struct {
	// Bound is that time, above 0, at an entry that hears of the removal.
	Limit clock.Millis
	// Strict is true if the bound holds also at one that is cut off from all that
	// could tell it. If not, such an entry goes on serving with the keys that it
	// knows, until the others may count it as gone.
	Strict bool
	// Most is for how long that goes on at the most, while they surely do not.
	Max clock.Millis
}

// Controller serves callers.
type Controller struct {
	common.Common
	admission *admission
	delivery  *delivery
	leaving   atomic.Bool
	running   atomic.Int64
	late      atomic.Int64 // of these, those that came after the stop's narrowing
	ordinary  atomic.Int64 // answers given
	sampler   *telemetry.Sampler
	// underWay counts the admitted requests by tier; extra is how many requests are being served on
	// connections beyond callers' share, mostExtra at the most.
	underWay  *tierCounts
	extra     atomic.Int64
	mostExtra int64
	// ended is done once the process ends, and then ends all requests under way; end ends it.
	ended context.Context
	end   context.CancelCauseFunc
}

// NewController returns a controller over its parts.
func NewController(p Dependencies) *Controller {
	a := &admission{Common: p.Common, view: p.View, dialect: p.HeaderCodec, meter: p.Meter, entries: p.Entries, tries: newFirstTries(), closing: newClosing()}
	a.setKeyTrust(p.Keys)
	d := &delivery{
		Common: p.Common, admission: a, dialect: p.HeaderCodec, scheduler: p.Scheduler,
		pool: p.Pool, retries: p.Retries, entries: p.Entries, guard: p.Guard, advice: p.Advice,
		sampler: telemetry.NewSampler(p.Clock, p.Log, linesASecond),
	}
	if d.guard == nil {
		d.guard = quarantine.New(quarantine.Dependencies{Common: p.Common})
	}
	p.View.Watch(p.Pool.SetDirectory)
	p.View.WatchAfter(p.Pool.AbortReplaced)
	p.View.Watch(d.guard.SetDirectory)
	c := &Controller{
		Common: p.Common, admission: a, delivery: d, sampler: d.sampler,
		underWay: newTierCounts(), mostExtra: int64(p.MaxExtra),
	}
	c.ended, c.end = context.WithCancelCause(context.Background())
	return c
}

// SetKeyTrust changes how long after its removal a key may still be used.
func (c *Controller) SetKeyGrace(keys KeyGrace) {
	c.admission.setKeyTrust(keys)
}

// Forget drops what was learned of routes that are gone.
func (c *Controller) Forget(known func(route string) bool) {
	c.admission.tries.forget(known)
	c.admission.closing.forget(known)
}

// Ready reports whether callers should be sent here. An entry whose proof of keys
// has grown old stays ready: where its callers went, they would be served in the
// place of others (measured on days of high load).
func (c *Controller) Ready() bool {
	return !c.leaving.Load() && c.admission.knows()
}

// Leave begins a stop: every further answer closes its connection, and less and less is
// taken.
func (c *Controller) Leave(stop Stop) {
	c.admission.closing.stop.Store(&stop)
	c.leaving.Store(true)
}

// End gives the requests under way their final answer: one that was not sent is told to come back,
// one that may have run is told as lost, and an answer that has begun is broken off. Closing their
// connections would tell callers none of that.
func (c *Controller) End() {
	c.end(errEnded)
}

// Context is that from which the contexts of all requests have to be derived, by the servers that take them: End
// ends it. Made once for all, it spares each request a context and a function to be called.
func (c *Controller) Context() context.Context { return c.ended }

// RunningFromBefore is how many requests are being served that came before the stop's
// narrowing.
func (c *Controller) RunningUnrestricted() int {
	return int(c.running.Load() - c.late.Load())
}

// Running is how many requests are being served.
func (c *Controller) Running() int {
	return int(c.running.Load())
}

// ServeHTTP serves one request.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	if c.admission.closing.narrowing(c.Clock.Now()) != nil {
		c.late.Add(1)
		defer c.late.Add(-1)
	}
	out := &answerWriter{writer: w, control: http.NewResponseController(w)}
	if c.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q, refusal := c.admission.admit(w, r)
	if refusal == nil {
		refusal = c.deliver(r, q, out)
	}
	c.conclude(q, refusal, out)
}

func (c *Controller) deliver(r *http.Request, q *request, out *answerWriter) *Refusal {
	tier := q.tier()
	c.underWay.add(tier, 1)
	defer c.underWay.add(tier, -1)
	left := (q.deadline - c.Clock.Now()).Duration()
	ctx, cancel := context.WithTimeoutCause(r.Context(), left, errDeadline)
	defer cancel()
	ctx, span := c.Tracer.Start(ctx, "entry.request")
	defer span.End()
	return c.delivery.run(ctx, q, out)
}

// conclude gives the final answer if none was given, and breaks off one that cannot
// be completed, so that it does not look whole.
func (c *Controller) conclude(q *request, refusal *Refusal, out *answerWriter) {
	if refusal == nil {
		c.answered(q)
		return
	}
	c.Metrics.Requests.Add(refusal.Cause.String(), 1)
	c.refused(q, refusal, out)
	if out.started {
		c.brokenOff(q, refusal)
	}
	if out.started || refusal.Cause == CauseLeft {
		panic(http.ErrAbortHandler)
	}
	refusal.write(out.writer)
}

// linesASecond bounds the log lines of each kind: what explains a failure is
// logged whole up to there, and counted beyond.
const linesASecond = 40

// count adds a request to the figures.
func (c *Controller) count(q *request, outcome string) {
	now := c.Clock.Now()
	r := telemetry.Request{Service: string(q.service), Account: string(q.accountName()), Tier: -1, Outcome: outcome, Held: now - q.arrived}
	if q.route != nil {
		r.Tier = int(q.tier())
	}
	if q.firstAt > 0 {
		r.First = q.firstAt - q.arrived
	}
	c.Metrics.Prometheus.Count(r)
}

// sampleEvery is how many ordinary answers go by for each that is logged.
const sampleEvery = 100

// answered logs every answer that came late, and a sample of the others.
func (c *Controller) answered(q *request) {
	n := c.ordinary.Add(1)
	now := c.Clock.Now()
	c.admission.closing.note(now, q.route.Name, now-q.arrived)
	lateness := q.lateness()
	late := lateness != LateNot
	outcome := "answered"
	if late {
		outcome = "answered_late"
	}
	c.Metrics.Requests.Add(outcome, 1)
	c.count(q, outcome)
	if !late && n%sampleEvery != 0 || !c.sampler.Allow(outcome) {
		return
	}
	fields := c.fields(q)
	fields["late"] = late
	fields["first_ms"] = int64(q.firstAt - q.arrived)
	fields["target_first_ms"] = int64(q.firstAt - q.placedAt)
	fields["longest_pause_ms"] = int64(q.pause)
	if late {
		fields["late_by"] = lateness.String()
		fields["trail"] = q.marks()
	}
	c.Log.WithFields(fields).Info("request answered")
}

// refused logs every request without a whole answer of a target.
func (c *Controller) refused(q *request, refusal *Refusal, out *answerWriter) {
	c.count(q, refusal.Cause.String())
	if !c.sampler.Allow(refusal.Cause.String()) {
		return
	}
	fields := c.fields(q)
	fields["cause"] = refusal.Cause.String()
	fields["status"] = refusal.Status
	fields["begun"] = out.started
	fields["trail"] = q.marks()
	if refusal.RetryAfter > 0 {
		fields["retry_after_ms"] = int64(refusal.RetryAfter)
	}
	entry := c.Log.WithFields(fields)
	if refusal.Err != nil {
		entry = entry.WithError(refusal.Err)
	}
	entry.Info("request not answered")
}

// fields are what is logged of every request: its id, the decisions about it,
// and what they stood on.
func (c *Controller) fields(q *request) logrus.Fields {
	now := c.Clock.Now()
	fields := logrus.Fields{
		telemetry.FieldRequest: q.ID, "held_ms": int64(now - q.arrived), "sends": q.sends, "declines": q.declines,
		"proof_age_ms": int64(c.admission.view.Age(now)),
	}
	if q.route != nil {
		fields["route"] = q.route.Name
		fields["tier"] = int(q.tier())
	}
	if q.account != nil {
		fields["account"] = string(q.account.Name)
	}
	if q.before > 0 {
		fields["before_ms"] = int64(q.before)
	}
	if q.Prompt > 0 {
		fields["prompt_tokens"] = int64(q.Prompt)
	}
	if len(q.tried) > 0 {
		fields["targets"] = q.targets()
	}
	if q.digest != (quarantine.Digest{}) {
		fields["digest"] = q.digest.String()
	}
	if len(q.ended) > 0 {
		fields["ended_targets"] = q.ended
	}
	if catalog := c.admission.view.Catalog(); catalog != nil {
		fields["revision"] = int64(catalog.Revision)
	}
	return fields
}
