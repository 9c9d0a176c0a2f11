package forward

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/buffers"
	"quaydock/pkg/telemetry"
)

// Limit is a limit at which an answer is given up, as its target sends more than an answer can have.
type Limit int

//go:generate stringer -type=Limit -trimprefix=Limit -output=limit_string.go

// The limits.
const (
	// LimitHead is that of the heads of an exchange, with those of interim answers and of answers to other requests.
	LimitHead Limit = iota
	// LimitMemory is that of what all exchanges together hold of answers that can't be passed on yet.
	LimitMemory
	// LimitNotRun is that of the rest of an answer that says that the request was not run, in bytes and in time.
	LimitNotRun
	// LimitStray is that of an answer that does not belong to the request, in bytes and in time.
	LimitStray
	// LimitEvent is that of one event of a stream.
	LimitEvent
	// LimitRest is that of the time for the rest of an answer; see Answer.LimitRest.
	LimitRest
)

// LimitError means that an answer was given up at a limit. The target may have run the request.
type LimitError struct {
	Limit Limit
	Bytes int // that had arrived of what the limit is for
}

// Error describes the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("answer given up at the limit %s after %d bytes", e.Limit, e.Bytes)
}

// hold counts n more bytes that the exchange holds of its answer. It fails if all exchanges hold too much, and this one
// most.
func (e *exchange) hold(n int) error {
	largest, held := e.pool.account.HoldIncoming(&e.incoming, n)
	buffers.BreakOffIncoming(largest)
	if !held {
		<-e.ctx.Done() // whoever dropped it calls drop
		return context.Cause(e.ctx)
	}
	return nil
}

// drop ends the exchange, as it held more than any other one when there was too much.
func (e *exchange) drop(held int) { e.cancel(e.giveUp(LimitMemory, held)) }

// giveUp logs and counts that the answer is given up after so many bytes, and returns the error of that.
func (e *exchange) giveUp(limit Limit, size int) error {
	p := e.pool
	p.Metrics.Prometheus.Add("answers_given_up", "limit", limit.String())
	if p.sampler.Allow("given up") {
		p.Log.WithFields(logrus.Fields{
			telemetry.FieldRequest: e.request.ID, "target": string(e.target.ID), "limit": limit.String(), "bytes": size,
			"incoming_bytes": p.account.Usage().Incoming,
		}).Warn("an answer was given up, as its target sent too much")
	}
	return &LimitError{Limit: limit, Bytes: size}
}
