// Package ratelimit holds the limits that targets report on the requests they take per second from all entries
// together. It does no I/O and reads no clock.
package ratelimit

import (
	"math"

	"quaydock/pkg/clock"
)

// Rate is a number of requests per second, of all entries together.
type Rate float64

// Unlimited is the rate of a target that reports no limit.
var Unlimited = Rate(math.Inf(1))

// ParsedLimit is the limit in one answer of a target. The zero value means none.
type ParsedLimit struct {
	// Given is set if the answer names a limit, and Readable if that could be parsed; Rate is valid only then.
	Given, Readable bool
	Rate            Rate
}

// Unreadable reports whether the answer names a limit that cannot be parsed, and so tells nothing new.
func (p ParsedLimit) Unreadable() bool { return p.Given && !p.Readable }

// Report is the last known limit of a target, Unlimited if it named none.
type Report struct {
	// Known is false while no report was received.
	Known bool
	Rate  Rate
	// From and To are moments between which the target made the report, on the clock of this VM: when the request was
	// sent and when its answer was read.
	From, To clock.Millis
}

// NewReport returns the report of an answer that was made between two moments. The limit must not be an unreadable one,
// which would count as 0.
func NewReport(n ParsedLimit, from, to clock.Millis) Report {
	r := Report{Known: true, Rate: Unlimited, From: from, To: to}
	if n.Given {
		r.Rate = n.Rate
	}
	return r
}

// IsLimited reports whether the target has a rate limit.
func (r Report) IsLimited() bool { return r.Known && r.Rate < Unlimited }

// Differs reports whether two reports set different limits.
func (r Report) Differs(other Report) bool {
	return r.IsLimited() != other.IsLimited() || r.IsLimited() && r.Rate != other.Rate
}

// Merge returns the report in force after another one was received, be it older or newer: answers may arrive out of
// order. Where either may be the later one, the lower rate is in force until an answer to a request that was sent
// afterwards.
func (r Report) Merge(other Report) Report {
	switch {
	case !r.Known || other.Known && other.From >= r.To:
		return other
	case !other.Known || r.From >= other.To:
		return r
	}
	return Report{Known: true, Rate: min(r.Rate, other.Rate), From: max(r.From, other.From), To: max(r.To, other.To)}
}

// maxTransit is the longest time that a report is assumed to be in transit to another VM; its receiver moves From back
// by as much.
const maxTransit = 100 * clock.Millisecond

// AgedReport is a report as sent to another VM: with ages, since the clocks of VMs differ.
type AgedReport struct {
	_    struct{} `cbor:",toarray"`
	Rate Rate
	// From and To are the ages of the first and the last moment at which the target may have made the report.
	From, To clock.Millis
}

// Aged returns the report as sent to another VM at a moment, nil if nothing is known.
func (r Report) Aged(now clock.Millis) *AgedReport {
	if !r.Known {
		return nil
	}
	return &AgedReport{Rate: r.Rate, From: now - r.From, To: now - r.To}
}

// Report returns the report on the receiver's clock, received at a moment. A nil one gives the zero Report.
func (a *AgedReport) Report(now clock.Millis) Report {
	if a == nil {
		return Report{}
	}
	return Report{Known: true, Rate: a.Rate, From: now - a.From - maxTransit, To: now - a.To}
}
