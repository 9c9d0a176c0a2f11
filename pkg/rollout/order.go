// Package rollout decides how a service's traffic moves to a new version of its targets:
// what a version on trial may get, whether it is good, when the old version may stop, and
// what each entry may send it meanwhile. It does no I/O and reads no clock: the time is an
// argument, and what it decides is taken from it.
//
// The trial of a version goes through phases. While it is observed, a small part of the
// service's requests goes to it. Near the end of the time that the operators gave, work
// that could not be taken up elsewhere leaves the old version first, and once none of it
// runs there the roll-out is completed. A version that is bad, or of which too little is
// known in time, is rolled back.
package rollout

import (
	"errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Revision numbers the changes of the store: a row with a higher one was written later,
// whatever table it is in.
type Revision int64

// Order is the operators' wish to move a service to a version.
type Order struct {
	Service ids.Service
	Version ids.Version
	// Within is the time in which it is to be done, from the moment of the order on.
	Within clock.Millis
	// Placed is the revision of the order's row.
	Placed Revision
}

// Check reports what is wrong with an order.
func (o *Order) Check() error {
	switch {
	case o.Service == "":
		return errors.New("order without a service")
	case o.Version == "":
		return errors.New("order without a version")
	case o.Within <= 0:
		return errors.New("order without a time")
	}
	return nil
}

// State is how far a roll-out has come.
type State int

//go:generate stringer -type=State -linecomment -output=state_string.go

// The states. Completed and RolledBack are final.
const (
	Pending    State = iota // pending
	Running                 // running
	Completed               // completed
	RolledBack              // rolled back
)

// Final reports whether nothing follows a state.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Bounds are what a version on trial may get.
type Bounds struct {
	// Share is the part of a service's requests, between the order and the end of its
	// time, that a bad version may get, and Slack how many more.
	Fraction float64
	Slack    float64
	// Stop is how long after its fiftieth bad answer a bad version may still get requests.
	Stop clock.Millis
}

// Enabled reports whether roll-outs are part of the deployment.
func (b Bounds) Enabled() bool { return b.Fraction > 0 }

// trustPart is the part of Bounds.Stop for which an entry relies on what it has last heard
// of a roll-out; the rest is for the way of the news, and for finding out that it is bad.
const trustPart = 0.5

// Trust is for how long after a proof from the store an entry relies on it.
func (b Bounds) Grace() clock.Millis {
	return clock.Millis(trustPart * float64(b.Stop))
}

// ErrOvertaken is returned by a store in which the record has changed meanwhile.
var ErrOvertaken = errors.New("the record of the roll-out has changed meanwhile")
