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

// The mechanisms.
const (
	PlannerHome    Mechanism = iota // planner-home
	TierFloor                       // tier-floor
	LateFloor                       // late-floor
	ShortFirst                      // short-first
	FirstTry                        // first-try
	EarlyRefusal                    // early-refusal
	Moves                           // moves
	SetAside                        // set-aside
	Disturbance                     // disturbance
	InTime                          // in-time
	DomainCost                      // domain-cost
	Learned                         // learned
	QuotaHomes                      // quota-homes
	TierKeep                        // tier-keep
	OneReader                       // one-reader
	PeerNews                        // peer-news
	QuickGreetings                  // quick-greetings
	KeyTrust                        // key-trust
	Resumption                      // resumption
	Retries                         // retries
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

// Parse parses a list of mechanism names, separated by commas.
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

func named(name string) (Mechanism, bool) {
	for m := range count {
		if m.String() == name {
			return m, true
		}
	}
	return 0, false
}
