package ids

import "fmt"

// Start identifies one start of a target by its time in Unix milliseconds, read from the clock of
// the target's VM. That clock may be stepped, so starts cannot be ordered by it. UnknownStart stands
// for a target that does not report its start.
type Start int64

// UnknownStart is the start of a target that does not report one.
const UnknownStart Start = 0

// TargetIncarnation is one run of a target's process under its id, from start to end. A target that
// is restarted under its id has lost the state of its former incarnation, and what is known of the
// former incarnation does not apply to the new one.
type TargetIncarnation struct {
	_      struct{} `cbor:",toarray"`
	Target Target
	Start  Start
}

// Same reports whether both may be the same incarnation: two of one target are, unless both starts
// are known and differ. Processes that have read different rows of a target, with and without its
// start, thereby still agree.
func (t TargetIncarnation) Same(other TargetIncarnation) bool {
	return t.Target == other.Target && (t.Start == other.Start || t.Start == UnknownStart || other.Start == UnknownStart)
}

// String returns the target, with its start if that is known.
func (t TargetIncarnation) String() string {
	if t.Start == UnknownStart {
		return string(t.Target)
	}
	return fmt.Sprintf("%s from %d", t.Target, t.Start)
}
