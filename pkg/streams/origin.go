// Package streams keeps at which version of which service streams began. What two versions of a service write does not
// fit together, so that a stream may go on only at the version that began it, also if its caller takes it up again at
// another entry.
package streams

import (
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Origin is where a stream began. The zero value stands for a stream that has begun at a version that is not known, and
// that may go on nowhere.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Service ids.Service
	Version ids.Version
	// Incarnation is that of the target that began it; the zero value if that is not known.
	Incarnation ids.TargetIncarnation
	// ConnectedAt is the Unix second, in ms, at which the connection to that target was made, by the clock of the entry;
	// 0 if that is not known.
	ConnectedAt ids.Start
}

// Known reports whether it is known where the stream began.
func (o *Origin) Known() bool { return *o != Origin{} }

// maxClockDifference is by how much the clocks of two VMs may differ.
const maxClockDifference ids.Start = 30_000 // ms

// CertainBy reports whether the version is certainly that of the process that began the stream, by a list of targets. A
// target may have started again under its id as another version before its row was read, so that the new process
// began the stream and the version is that of the former one.
func (o *Origin) CertainBy(d *routing.Directory) bool {
	listed := d.Target(o.Incarnation.Target)
	if listed == nil || o.Fits(listed) {
		return true
	}
	return !listed.Incarnation().Same(o.Incarnation) && o.ConnectedAt+maxClockDifference < listed.Start
}

// Fits reports whether the stream may go on at a target, that is, at the service and version that began it.
func (o *Origin) Fits(t *routing.Target) bool {
	return o.Known() && o.Service == t.Service && o.Version == t.Version
}
