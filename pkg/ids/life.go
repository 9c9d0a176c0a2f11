package ids

import "fmt"

// Start tells one start of a target from another: the Unix millisecond of it, by the clock of
// the target's VM. Clocks step, so that it says nothing of order. UnknownStart stands for a
// target that does not tell it.
type Start int64

// UnknownStart is the start of a target that does not tell it.
const UnknownStart Start = 0

// TargetIncarnation is one incarnation of a target: the process that runs under its id from one start to its
// end. A target that starts again under its id knows nothing of its former life, and whatever
// is known of that one says nothing of the new.
type TargetIncarnation struct {
	_      struct{} `cbor:",toarray"`
	Target Target
	Start  Start
}

// Same reports whether both may be the same life: those of one target are unless both starts are
// known and differ. Processes that have read different rows of a target agree by it.
func (l TargetIncarnation) Same(other TargetIncarnation) bool {
	return l.Target == other.Target && (l.Start == other.Start || l.Start == UnknownStart || other.Start == UnknownStart)
}

// String gives the target, and its start if that is known.
func (l TargetIncarnation) String() string {
	if l.Start == UnknownStart {
		return string(l.Target)
	}
	return fmt.Sprintf("%s from %d", l.Target, l.Start)
}
