// Package ablation names the mechanisms that can be switched off one by one in
// experiments that measure what each contributes. In production all are on.
package ablation

import (
	"fmt"
	"strings"
)

// Mechanism is a part of the scheduler that can be switched off.
type Mechanism int

//go:generate stringer -type=Mechanism -linecomment -output=mechanism_string.go

// The mechanisms, each with what it does. The name at the end of the line is that which Parse reads.
const (
	// PlannerOwner: the planner at a service's owner assigns its requests. Without it each entry does so by what
	// it alone knows.
	PlannerOwner Mechanism = iota // planner-home
	// TierFloor: after a refusal, lower tiers wait for a while.
	TierFloor // tier-floor
	// LateFloor: after the refusal of a first try, late requests of the same tier wait for a while.
	LateFloor // late-floor
	// ShortFirst: a planner's queue has requests with short runs first.
	ShortFirst // short-first
	// FirstTry: a request's objective runs from the caller's first try, not from the present one.
	FirstTry // first-try
	// EarlyRefusal: a request is refused as soon as it will probably be late.
	EarlyRefusal // early-refusal
	// Moves: a request that waits for its first event on a stuck target is sent to another one.
	Moves // moves
	// Ejection: targets that fail or are stuck are ejected.
	Ejection // set-aside
	// Disturbance: the choice of a target takes into account by how much a prompt delays the streams there.
	Disturbance // disturbance
	// InTime: a request that can be in time only gets targets on which it will probably be.
	InTime // in-time
	// DomainCost: a target in another failure domain than the request's costs more.
	DomainCost // domain-cost
	// Learned: planners take over the estimates of others.
	Learned // learned
	// QuotaOwners: the owner of an account meters it. Without it each entry does so by its own share.
	QuotaOwners // quota-homes
	// TierReserve: requests of lower tiers leave a part of their account's burst to higher ones.
	TierReserve // tier-keep
	// OneReader: the feed reader reads a table for all entries. Without it each entry reads for itself.
	OneReader // one-reader
	// PeerNews: entries query others for feed states and rows.
	PeerNews // peer-news
	// EarlyHeartbeats: some changes of membership are told by an early heartbeat.
	EarlyHeartbeats // quick-greetings
	// KeyTrust: unless the limit on revoked keys is strict, entries use keys for longer without a confirmation,
	// and for longest while they hold their membership lease.
	KeyTrust // key-trust
	// Resumption: a broken-off stream is resumed at another target if its route allows that.
	Resumption // resumption
	// Retries: a request whose exchange failed is sent again.
	Retries // retries
	// TargetSlowdown: the passing slowness that targets report takes part in placing.
	TargetSlowdown // target-slowdown
	// CallTimes: the time of a call without a prompt is learned by how full its target is.
	CallTimes // call-times
	// AccountShares: in a tier in which more is asked than fits, requests of client accounts that get more than their
	// share go behind the others.
	AccountShares // account-shares
	// ReadAhead: an answer is read at its target's pace, also if its caller reads more slowly.
	ReadAhead // read-ahead
	// count is the number of mechanisms.
	count
)

// Set is a set of mechanisms that are switched off; the zero value is empty.
type Set uint64

// Off reports whether a mechanism is switched off.
func (s Set) Off(m Mechanism) bool { return s&(1<<m) != 0 }

// All returns all mechanisms.
func All() []Mechanism {
	list := make([]Mechanism, 0, count)
	for m := range count {
		list = append(list, m)
	}
	return list
}

// Parse parses a list of mechanism names, separated by commas. Empty names are skipped; an unknown one is an error.
func Parse(names string) (Set, error) {
	var s Set
	for name := range strings.SplitSeq(names, ",") {
		if name == "" {
			continue
		}
		m, known := named(name)
		if !known {
			return 0, fmt.Errorf("no mechanism %q; there are %v", name, All())
		}
		s |= 1 << m
	}
	return s, nil
}

// named returns the mechanism of a name, and whether there is one.
func named(name string) (Mechanism, bool) {
	for m := range count {
		if m.String() == name {
			return m, true
		}
	}
	return 0, false
}
