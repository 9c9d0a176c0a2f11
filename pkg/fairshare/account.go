// Package fairshare accounts for the service that client accounts get of a scarce capacity. It has no I/O and reads no
// clock: the time is an argument. A Tier offers two independent accounts of service: Join, Charge and Leave order accounts
// by charged units (start-time fair queueing), and Ask, Start, End and Classify compare the places that accounts hold with
// their max-min shares. A unit is whatever the caller charges.
package fairshare

import (
	"math"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Class is where an account stands relative to its share of what all accounts of its tier get together.
type Class int

//go:generate stringer -type=Class -output=class_string.go

// Classes, in the order in which accounts are to be served. An account Within its share asks for no more than that. One
// that asks for more is Below it as long as it gets at most its share, and Above it otherwise.
const (
	Within Class = iota
	Below
	Above
	// Classes is the number of classes.
	Classes = iota
)

// Account is the service and the demand of a client account in one tier.
type Account struct {
	Name ids.Account
	// weight is the account's part of the capacity relative to other accounts.
	weight float64
	// served is the service charged so far divided by the weight, as in start-time fair queueing. Idle time is charged
	// for: see Tier.Join.
	served  float64
	busy    bool // between Tier.Join and Tier.Leave
	running int  // places that the account holds
	use     decayingUse
	// asked and granted count the account's recent requests, and those of them that got a place; earlier ones count less.
	asked, granted float64
	class          Class
	share          float64 // in places, by the last Tier.Classify
}

// Served returns the charged service divided by the weight.
func (a *Account) Served() float64 {
	return a.served
}

// Class returns the account's class by the last Tier.Classify.
func (a *Account) Class() Class {
	return a.class
}

// Standing is what an account gets and asks for, in places.
type Standing struct {
	Account ids.Account
	Class   Class
	// Share is the most that the account is to hold while others ask for more than they get, 0 if nothing limits it. Use is
	// the mean number of places that it held lately, and Demand what it would hold if it got all that it asked for.
	Share, Use, Demand float64
}

// Standing returns the account's standing by the last Tier.Classify.
func (a *Account) Standing() Standing {
	share := a.share
	if math.IsInf(share, 1) {
		share = 0
	}
	return Standing{Account: a.Name, Class: a.class, Share: share, Use: a.use.mean, Demand: a.demand()}
}

// advance extends the account's means to a time.
func (a *Account) advance(o *observation, now clock.Millis) {
	if now <= a.use.at {
		return
	}
	kept := o.decay.Factor(a.use.at, now)
	a.asked *= kept
	a.granted *= kept
	a.use.advance(o, now, a.running)
}

// demand returns how many places the account would hold if it got all that it asks for: as many times what it holds as
// it asks more often than it gets a place. A place that waits or was refused counts for what the account's places last.
// One request more in both counts keeps the ratio low for an account that has hardly asked.
func (a *Account) demand() float64 {
	return a.use.mean * max(1, (a.asked+1)/(a.granted+1))
}

// idle reports whether the account holds no place, and has hardly held or asked for any lately.
func (a *Account) idle() bool {
	return a.running == 0 && a.use.mean < negligible && a.asked < negligible
}

// negligible is the use, in places, and the number of recent requests below which an account is forgotten.
const negligible = 0.01

// useWindow is the time constant of the mean use: short enough for an account that comes back, or whose owner is new,
// to get its share within about a second, and long enough for short requests to be averaged.
const useWindow = clock.Second
