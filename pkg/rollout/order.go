// Package rollout decides how a service's traffic moves to a new version of its targets: what the canary may receive,
// whether it is good, when the old version may stop, and what each entry may send to the canary meanwhile. It does no
// I/O and reads no clock: callers pass the time as an argument and carry out the decisions.
//
// The trial of a version has several phases. During observation a small fraction of the service's requests goes to the
// canary. Near the end of the time that the operators set, work that can't be re-dispatched is drained from the old
// version, and once none of it runs there the roll-out is completed. A version that is bad, or of which too little is
// known by then, is rolled back.
package rollout

import (
	"errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
)

// Revision numbers the changes of the store: a row with a higher revision was written later, whatever its table. It is
// the ordinal of a position in the store's history.
type Revision int64

// RevisionAt returns the revision of a position.
func RevisionAt(p history.Position) Revision { return Revision(p.Ordinal()) }

// Position returns the position that the revision stands for.
func (r Revision) Position() history.Position { return history.FromOrdinal(int64(r)) }

// era returns the era of the store in which the change was made.
func (r Revision) era() history.Era { return r.Position().Era }

// Order is the operators' request to move a service to a version.
type Order struct {
	Service ids.Service
	Version ids.Version
	// Within is the time allowed for the roll-out, counted from the order; 0 in an order that was withdrawn.
	Within clock.Millis
	// Placed is the revision of the order's row.
	Placed Revision
}

// Check returns an error if the operators' order lacks its service, its version or a time.
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

// State is the progress of a roll-out.
type State int

//go:generate stringer -type=State -linecomment -output=state_string.go

// The states. Pending means that no record of the order has been written; Completed and RolledBack are final.
const (
	Pending    State = iota // pending
	Running                 // running
	Completed               // completed
	RolledBack              // rolled back
)

// Final reports whether no other state follows.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Bounds are the limits on what a canary may receive.
type Bounds struct {
	// Fraction is the fraction of a service's requests, between the order and the end of its time, that a bad version
	// may receive, and Slack the number of further requests.
	Fraction float64
	Slack    float64
	// Stop is how long after its fiftieth bad answer a bad version may still receive requests.
	Stop clock.Millis
}

// Enabled reports whether the deployment uses roll-outs.
func (b Bounds) Enabled() bool { return b.Fraction > 0 }

// graceFraction is the fraction of Bounds.Stop for which an entry relies on the roll-out state it received last. The
// rest is for detecting that a version is bad and for propagating the decision.
const graceFraction = 0.5

// Grace returns how long an entry relies on the orders and roll-out records that it holds, counted from the moment at
// which the store last confirmed that both were current. An entry whose copy is older sends no further requests to
// the canary. The result is graceFraction of Stop.
func (b Bounds) Grace() clock.Millis {
	return clock.Millis(graceFraction * float64(b.Stop))
}

// ErrRecordChanged is returned by a store if the record has changed since it was read: nothing was written.
var ErrRecordChanged = errors.New("roll-out record has changed since it was read")
