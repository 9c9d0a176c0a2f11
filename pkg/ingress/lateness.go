package ingress

// Lateness says why an answer that was given came too late to be of full use.
type Lateness int

//go:generate stringer -type=Lateness -trimprefix=Late -output=lateness_string.go

// The reasons.
const (
	// LateNot: it was in time.
	LateNot Lateness = iota
	// LateReturn: its caller had been refused, and came back too late.
	LateReturn
	// LatePlace: it waited for a place for more than half of its time.
	LatePlace
	// LateTarget: its target took too long to begin.
	LateTarget
	// LatePause: two of its events were too far apart.
	LatePause
)

// lateness tells whether an answer that was given came too late, and why.
func (r *request) lateness() Lateness {
	objective := r.route.Objective
	first := r.firstAt - r.arrived
	switch {
	case objective <= 0 || first+r.before <= objective:
	case r.before > 0 && first <= objective:
		return LateReturn
	case r.placedAt-r.arrived > r.firstAt-r.placedAt:
		return LatePlace
	default:
		return LateTarget
	}
	if r.route.EventGap > 0 && r.pause > r.route.EventGap {
		return LatePause
	}
	return LateNot
}
