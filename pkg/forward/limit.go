package forward

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/telemetry"
)

// Limit is a limit at which an answer is given up, as its target sends more than an answer can have.
type Limit int

//go:generate stringer -type=Limit -trimprefix=Limit -output=limit_string.go

// The limits.
const (
	// LimitHead is that of the heads of an exchange, with those of interim answers and of answers to other requests.
	LimitHead Limit = iota
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
