// Package ratelimit holds how many requests a second targets say that they take from all entries together. It does no
// I/O and reads no clock.
package ratelimit

import (
	"math"

	"quaydock/pkg/clock"
)

// Rate is a number of requests a second, of all entries together.
type Rate float64

// Unlimited is the rate of a target that names no limit.
var Unlimited = Rate(math.Inf(1))

// Named is what one answer says of its target's limit. The zero value names none.
type ParsedLimit struct {
	// Given says that the answer names a limit, and Readable that it can be read; Rate holds only then.
	Given, Readable bool
	Rate            Rate
}

// Silent reports whether the answer says nothing new: it names a limit that can't be read.
func (n ParsedLimit) Unreadable() bool { return n.Given && !n.Readable }

// Word is the rate that a target last named, Unlimited if it named none, as far as is known.
type Report struct {
	// Known is false while nothing has been heard.
	Known bool
	Rate  Rate
	// From and To are moments between which the target said it: when the request was sent and when its answer was
	// read.
	From, To clock.Millis
}

// Of returns the word of an answer that was made between two moments.
func NewReport(n ParsedLimit, from, to clock.Millis) Report {
	w := Report{Known: true, Rate: Unlimited, From: from, To: to}
	if n.Given {
		w.Rate = n.Rate
	}
	return w
}

// Limits reports whether the target takes only so many requests.
func (w Report) IsLimited() bool { return w.Known && w.Rate < Unlimited }

// Differs reports whether two words set different bounds.
func (w Report) Differs(other Report) bool {
	return w.IsLimited() != other.IsLimited() || w.IsLimited() && w.Rate != other.Rate
}

// With returns what stands after another word was heard, be it older or newer: answers overtake one another on the way. Where
// either may be the later one the lower rate stands, until an answer to a request that was sent afterwards.
func (w Report) Merge(other Report) Report {
	switch {
	case !w.Known || other.Known && other.From >= w.To:
		return other
	case !other.Known || w.From >= other.To:
		return w
	}
	return Report{Known: true, Rate: min(w.Rate, other.Rate), From: max(w.From, other.From), To: max(w.To, other.To)}
}

// transit is how long a word is reckoned to be on its way to another VM at the most.
const transit = 100 * clock.Millisecond

// Aged is a word as another VM is told it: by its age, since moments mean nothing there.
type AgedReport struct {
	_    struct{} `cbor:",toarray"`
	Rate Rate
	// From and To are how long ago the first and the last moment were at which it may have been said.
	From, To clock.Millis
}

// Aged returns a word as it is told at a moment, nil if nothing is known.
func (w Report) Aged(now clock.Millis) *AgedReport {
	if !w.Known {
		return nil
	}
	return &AgedReport{Rate: w.Rate, From: now - w.From, To: now - w.To}
}

// Word returns what was told, on the clock of the one that has received it at a moment. A nil one tells nothing.
func (a *AgedReport) Report(now clock.Millis) Report {
	if a == nil {
		return Report{}
	}
	return Report{Known: true, Rate: a.Rate, From: now - a.From - transit, To: now - a.To}
}
