// Package ingress serves callers' requests that are passed on unchanged, and gives each of them
// exactly one final answer.
package ingress

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/ablation"
	"quaydock/pkg/advisory"
	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/streams"
	"quaydock/pkg/telemetry"
	"quaydock/pkg/view"
)

// noDeadline clears a deadline of a connection.
var noDeadline time.Time

// Causes with which the context of a request is canceled. Any other cause means that its caller has left.
var (
	errDeadline = errors.New("request deadline exceeded")
	errEnded    = errors.New("entry shut down")
)

// Dependencies are what a controller needs.
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
	// Guard quarantines requests under which targets end; if nil, the controller uses a guard that knows
	// only what this entry observes itself.
	Guard *quarantine.Guard
	// Advice is what targets have reported to this entry about themselves.
	Advice *advisory.Tracker
	// TargetEnded is told of targets whose processes have ended while their rows are still listed; may be nil.
	TargetEnded func(*routing.Target)
	// Origins knows where streams began; if nil, the controller knows it of those that it relays itself.
	Origins *streams.Origins
	// MaxExtra limits how many requests on connections beyond the callers' limit are served at once. Only
	// requests of a higher tier than one in progress are.
	MaxExtra int
	// Buffers counts what is held for callers and targets; if nil, the controller uses an account for a VM whose memory
	// is not known.
	Buffers *buffers.Account
}

// KeyGrace says how long a key may still be used after its removal.
type KeyGrace struct {
	// Limit is that time, above 0, at an entry that receives the removal.
	Limit clock.Millis
	// Strict is true if the limit also holds at an entry that is partitioned from everything that could
	// report the removal. If false, such an entry goes on serving with the keys that it has until the
	// others may count it as gone.
	Strict bool
	// Max limits how long it goes on while it holds its membership lease, that is, while the others certainly do not
	// count it as gone.
	Max clock.Millis
}

// Controller serves callers' requests.
type Controller struct {
	common.Common
	admission         *admission
	delivery          *delivery
	leaving           atomic.Bool  // set by Leave, for good
	running           atomic.Int64 // requests being served, admitted or not
	runningRestricted atomic.Int64 // of these, those that arrived in the drain's restriction
	answers           atomic.Int64 // answers completed
	sampler           *telemetry.Sampler
	// inProgress counts the admitted requests by tier; extra is how many requests are being served on
	// connections beyond the callers' limit, at most maxExtra.
	inProgress *tierCounts
	extra      atomic.Int64
	maxExtra   int64
	// ended is canceled by end when the process ends, which cancels all requests in progress.
	ended context.Context
	end   context.CancelCauseFunc
	// handOver is closed by HandOver.
	handOver chan struct{}
}

// NewController returns a controller with its dependencies.
func NewController(p Dependencies) *Controller {
	if p.Buffers == nil {
		p.Buffers = buffers.NewAccount(buffers.LimitsFor(0))
	}
	a := &admission{Common: p.Common, view: p.View, headerCodec: p.HeaderCodec, meter: p.Meter, entries: p.Entries, tries: newFirstTries(), drain: newDrainAdmission(p.Entries), buffers: p.Buffers}
	a.setKeyGrace(p.Keys)
	d := &delivery{
		Common: p.Common, admission: a, headerCodec: p.HeaderCodec, scheduler: p.Scheduler,
		pool: p.Pool, retries: p.Retries, entries: p.Entries, guard: p.Guard, advice: p.Advice,
		ended: newEndedTargets(), targetEnded: p.TargetEnded, sampler: telemetry.NewSampler(p.Clock, p.Log, linesPerSecond),
		buffers: p.Buffers, unlogged: newContinuationTally(p.Common),
	}
	if d.guard == nil {
		d.guard = quarantine.New(quarantine.Dependencies{Common: p.Common})
	}
	if d.targetEnded == nil {
		d.targetEnded = func(*routing.Target) {}
	}
	if d.origins = p.Origins; d.origins == nil {
		d.origins = streams.New(streams.Dependencies{Common: p.Common})
		p.View.Watch(d.origins.SetDirectory)
	}
	p.View.Watch(p.Pool.SetDirectory)
	p.View.WatchAfter(p.Pool.AbortReplaced)
	p.View.Watch(d.guard.SetDirectory)
	c := &Controller{
		Common: p.Common, admission: a, delivery: d, sampler: d.sampler,
		inProgress: newTierCounts(), maxExtra: int64(p.MaxExtra), handOver: make(chan struct{}),
	}
	c.ended, c.end = context.WithCancelCause(context.Background())
	return c
}

// SetKeyGrace changes how long after its removal a key may still be used.
func (c *Controller) SetKeyGrace(keys KeyGrace) {
	c.admission.setKeyGrace(keys)
}

// RetainRoutes drops the statistics of routes that no longer exist.
func (c *Controller) RetainRoutes(exists func(route string) bool) {
	c.admission.tries.retain(exists)
	c.admission.drain.retain(exists)
}

// Ready reports whether callers should be routed to this entry. An entry whose configuration is no longer
// fresh enough for keys stays ready: its callers would otherwise displace others at other entries under high load.
func (c *Controller) Ready() bool {
	return !c.leaving.Load() && c.admission.hasConfiguration()
}

// Leave starts a drain: every further answer closes its connection, requests that may outlast the drain are sent to other
// entries while enough of them are ready, and from stop.RestrictsFrom on only requests are admitted that will end in time.
func (c *Controller) Leave(stop Stop) {
	c.admission.drain.stop.Store(&stop)
	c.leaving.Store(true)
}

// Leaving reports whether a drain has started.
func (c *Controller) Leaving() bool { return c.leaving.Load() }

// HandOver has the kernel take, from now on, what callers have not read yet of their answers: it delivers that also
// after the end of the process. It may be called only once.
func (c *Controller) HandOver() { close(c.handOver) }

// End gives the requests in progress their final answer: one that was not sent is refused with a time to come
// back, one that may have run is reported as lost, and an answer that has begun is broken off. Callers would
// learn none of that if their connections were merely closed.
func (c *Controller) End() {
	c.end(errEnded)
}

// Context returns the context that servers must derive all requests' contexts from; End cancels it. One shared
// context spares each request a context and a callback of its own.
func (c *Controller) Context() context.Context { return c.ended }

// RunningUnrestricted returns how many requests are being served that arrived before the drain's restriction
// began.
func (c *Controller) RunningUnrestricted() int {
	return int(c.running.Load() - c.runningRestricted.Load())
}

// Running returns how many requests are being served.
func (c *Controller) Running() int {
	return int(c.running.Load())
}

// ServeHTTP serves a request until its final answer. If that cannot be completed, it panics with http.ErrAbortHandler,
// by which net/http closes the connection.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	if c.admission.drain.restriction(c.Clock.Now()) != nil {
		c.runningRestricted.Add(1)
		defer c.runningRestricted.Add(-1)
	}
	out := &answerWriter{writer: w, control: http.NewResponseController(w)}
	if c.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := c.admission.newRequest(r)
	defer c.releaseBuffers(q)
	refusal := c.admission.admit(w, q)
	if refusal == nil {
		refusal = c.deliver(r, q, out)
	}
	c.conclude(q, refusal, out)
}

// deliver runs an admitted request, at most until its deadline, and counts it as in progress meanwhile.
func (c *Controller) deliver(r *http.Request, q *request, out *answerWriter) *Refusal {
	tier := q.tier()
	c.inProgress.add(tier, 1)
	defer c.inProgress.add(tier, -1)
	left := (q.deadline - c.Clock.Now()).Duration()
	ctx, cancel := context.WithTimeoutCause(r.Context(), left, errDeadline)
	defer cancel()
	ctx, span := c.Tracer.Start(ctx, "entry.request")
	defer span.End()
	if conn, ok := network.ConnOf(ctx).(*bufferedConn); ok && conn.writer != nil && !c.Ablation.Off(ablation.ReadAhead) {
		var stop context.CancelCauseFunc
		ctx, stop = context.WithCancelCause(ctx)
		defer stop(nil)
		out.conn, out.ctx, out.cancel, out.server = conn, ctx, stop, r.Context()
		out.clock, out.account, out.handOver = c.Clock, c.delivery.buffers, c.handOver
	}
	refusal := c.delivery.run(ctx, q, out)
	if refusal != nil {
		refusal = endUnfinished(refusal, out)
	}
	return refusal
}

// releaseBuffers takes back what was counted in the account of buffers for a request.
func (c *Controller) releaseBuffers(q *request) {
	c.delivery.buffers.ReleaseBody(q.heldBody)
	c.delivery.buffers.ReleaseAnswer(q.heldAnswers)
}

// conclude gives the final answer if none was given, and aborts one that cannot be completed, so that it does
// not look complete: it panics as ServeHTTP says.
func (c *Controller) conclude(q *request, refusal *Refusal, out *answerWriter) {
	if refusal == nil {
		c.answered(q)
		return
	}
	c.Metrics.Requests.Add(refusal.Cause.String(), 1)
	c.refused(q, refusal, out)
	if out.started {
		c.brokenOff(q, refusal, out)
	}
	if out.started || refusal.Cause == CauseLeft {
		panic(http.ErrAbortHandler)
	}
	refusal.write(out.writer)
}

// linesPerSecond limits the log lines of each kind: up to it every failure is logged with all its fields, and
// those beyond are only counted.
const linesPerSecond = 40

// count adds a request to the metrics, with tier -1 if no route was found for it.
func (c *Controller) count(q *request, outcome string) {
	now := c.Clock.Now()
	r := telemetry.Request{Service: string(q.service), Account: string(q.accountName()), Tier: -1, Outcome: outcome, Held: now - q.arrived}
	if q.route != nil {
		r.Tier = int(q.tier())
	}
	if q.firstAt > 0 {
		r.FirstEvent = q.firstAt - q.arrived
	}
	c.Metrics.Prometheus.Count(r)
}

// sampleEvery says that one of so many answers in time is logged.
const sampleEvery = 100

// answered counts an answer, and logs it if it was late or falls into the sample.
func (c *Controller) answered(q *request) {
	n := c.answers.Add(1)
	now := c.Clock.Now()
	c.admission.drain.record(now, q.route.Name, now-q.arrived)
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
	fields["longest_pause_ms"] = int64(q.longestPause)
	if late {
		fields["late_by"] = lateness.String()
		fields["trail"] = q.formatTrail()
	}
	c.Log.WithFields(fields).Info("request answered")
}

// refused counts and logs a request that did not get a complete answer of a target.
func (c *Controller) refused(q *request, refusal *Refusal, out *answerWriter) {
	c.count(q, refusal.Cause.String())
	if !c.sampler.Allow(refusal.Cause.String()) {
		return
	}
	fields := c.fields(q)
	fields["cause"] = refusal.Cause.String()
	fields["status"] = refusal.Status
	fields["begun"] = out.started
	fields["trail"] = q.formatTrail()
	if refusal.RetryAfter > 0 {
		fields["retry_after_ms"] = int64(refusal.RetryAfter)
	}
	entry := c.Log.WithFields(fields)
	if refusal.Err != nil {
		entry = entry.WithError(refusal.Err)
	}
	entry.Info("request not answered")
}

// fields returns the log fields of every request: its id, the decisions about it, and what they were based on.
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
	if q.sinceFirstTry > 0 {
		fields["before_ms"] = int64(q.sinceFirstTry)
	}
	if q.Prompt > 0 {
		fields["prompt_tokens"] = int64(q.Prompt)
	}
	if len(q.tried) > 0 {
		fields["targets"] = q.triedTargets()
	}
	if q.digest != (quarantine.Digest{}) {
		fields["digest"] = q.digest.String()
	}
	if len(q.endedTargets) > 0 {
		fields["ended_targets"] = q.endedTargets
	}
	if catalog := c.admission.view.Catalog(); catalog != nil {
		fields["revision"] = int64(catalog.Revision)
	}
	return fields
}
