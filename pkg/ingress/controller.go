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

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/forward"
	"quaydock/pkg/quota"
	"quaydock/pkg/schedule"
	"quaydock/pkg/view"
)

// noDeadline takes a deadline of a connection away.
var noDeadline time.Time

var errDeadline = errors.New("the request's time is over")

// Parts are what a controller works with.
type Parts struct {
	common.Common
	View      *view.View
	Dialect   Dialect
	Scheduler schedule.Scheduler
	Pool      *forward.Pool
	Meter     Meter
	Retries   *quota.RetryBudget
	Entries   Entries
	// RevokeBound is how long after its removal a key may still be used.
	RevokeBound clock.Millis
}

// Controller serves callers.
type Controller struct {
	common.Common
	admission *admission
	delivery  *delivery
	leaving   atomic.Bool
	running   atomic.Int64
}

// NewController returns a controller over its parts.
func NewController(p Parts) *Controller {
	a := &admission{
		Common: p.Common, view: p.View, dialect: p.Dialect, meter: p.Meter,
		keyTrust: clock.Millis(float64(p.RevokeBound) * revokePart),
	}
	d := &delivery{
		Common: p.Common, admission: a, dialect: p.Dialect, scheduler: p.Scheduler,
		pool: p.Pool, retries: p.Retries, entries: p.Entries,
	}
	return &Controller{Common: p.Common, admission: a, delivery: d}
}

// Leave has every further answer close its connection.
func (c *Controller) Leave() {
	c.leaving.Store(true)
}

// Running is how many requests are being served.
func (c *Controller) Running() int {
	return int(c.running.Load())
}

// ServeHTTP serves one request.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	out := &answerWriter{writer: w, control: http.NewResponseController(w)}
	if c.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q, refusal := c.admission.admit(w, r)
	if refusal == nil {
		refusal = c.deliver(r, q, out)
	}
	c.end(q, refusal, out)
}

func (c *Controller) deliver(r *http.Request, q *request, out *answerWriter) *Refusal {
	left := (q.deadline - c.Clock.Now()).Duration()
	ctx, cancel := context.WithTimeoutCause(r.Context(), left, errDeadline)
	defer cancel()
	return c.delivery.run(ctx, q, out)
}

// end gives the final answer if none was given, and breaks off one that cannot
// be completed, so that it does not look whole.
func (c *Controller) end(q *request, refusal *Refusal, out *answerWriter) {
	if refusal == nil {
		c.Metrics.Requests.Add("answered", 1)
		return
	}
	c.Metrics.Requests.Add(refusal.Cause.String(), 1)
	c.log(q, refusal, out)
	if out.started || refusal.Cause == CauseLeft {
		panic(http.ErrAbortHandler)
	}
	refusal.write(out.writer)
}

func (c *Controller) log(q *request, refusal *Refusal, out *answerWriter) {
	fields := logrus.Fields{
		"request": q.ID, "cause": refusal.Cause.String(), "status": refusal.Status, "sends": q.sends, "declines": q.declines,
		"held_ms": int64(c.Clock.Now() - q.arrived), "begun": out.started, "account": string(q.accountName()), "tried": q.tried,
	}
	if q.route != nil {
		fields["route"] = q.route.Name
	}
	if refusal.RetryAfter > 0 {
		fields["retry_after_ms"] = int64(refusal.RetryAfter)
	}
	entry := c.Log.WithFields(fields)
	if refusal.Err != nil {
		entry = entry.WithError(refusal.Err)
	}
	entry.Info("request not answered")
}

func (a *admission) wall(at clock.Millis) time.Time {
	return time.Now().Add((at - a.Clock.Now()).Duration())
}
