package advisory

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// reportTime is when a report of a target arrived. It tells which incarnation has sent the report, if the target had
// restarted under its id and this entry had not read that yet.
type reportTime struct {
	// connected is when the connection was made, by the clock of this VM. sent is when the answer was sent, by the clock
	// of the target's VM, cut to whole seconds. Both are Unix times in ms, 0 if unknown.
	connected, sent ids.Start
}

// sender says which incarnation has sent a report: the former one, which this entry took for its sender, or the one
// that is listed under the target's id since.
type sender int

const (
	formerIncarnation sender = iota
	// unclearSender: as clocks may differ, it may be either.
	unclearSender
	thisIncarnation
)

const (
	// clockTolerance is how much the clocks of two VMs may differ, in ms.
	clockTolerance ids.Start = 3000
	// dateResolution is the resolution of the dates of answers, in ms.
	dateResolution ids.Start = 1000
	// unclearHold is how long a report that may be a former incarnation's counts after the new one is listed. By then,
	// a leaving target shows it in its row, or has no row any more; a healthy one is kept without requests no longer.
	unclearHold = 4 * clock.Second
)

// senderOf returns whether the incarnation with a start has sent a report that was taken for its former incarnation's.
// The answer's date is by the same clock as the start, so it takes precedence over times by the clocks of other VMs. If
// neither time is known, the report counts as the former incarnation's.
func (t reportTime) senderOf(start ids.Start) sender {
	switch {
	case t.sent > 0 && t.sent+dateResolution <= start:
		return formerIncarnation
	case t.sent >= start:
		return thisIncarnation
	case t.sent > 0:
		return unclearSender // within the same second
	case t.connected+clockTolerance <= start:
		return formerIncarnation
	case t.connected >= start+clockTolerance:
		return thisIncarnation
	}
	return unclearSender
}

// latest returns the later times of two reports, each clock for itself.
func (t reportTime) latest(other reportTime) reportTime {
	return reportTime{connected: max(t.connected, other.connected), sent: max(t.sent, other.sent)}
}
