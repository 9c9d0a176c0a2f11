package ingress

// Lateness is the reason why a complete answer was later than its objective.
type Lateness int

//go:generate stringer -type=Lateness -trimprefix=Late -output=lateness_string.go

// Values of Lateness.
const (
	// LateNot: it was in time.
	LateNot Lateness = iota
	// LateReturn: its caller had been refused before, and came back too late.
	LateReturn
	// LatePlace: it waited for an assignment for more than half of the time to its first response.
	LatePlace
	// LateTarget: its target took too long to give the first response.
	LateTarget
	// LatePause: two of its events were further apart than the route's event gap.
	LatePause
)

// lateness returns whether a complete answer was late, and why.
func (r *request) lateness() Lateness {
	objective := r.route.Objective
	first := r.firstAt - r.arrived
	switch {
	case objective <= 0 || first+r.sinceFirstTry <= objective:
	case r.sinceFirstTry > 0 && first <= objective:
		return LateReturn
	case r.placedAt-r.arrived > r.firstAt-r.placedAt:
		return LatePlace
	default:
		return LateTarget
	}
	if r.route.EventGap > 0 && r.longestPause > r.route.EventGap {
		return LatePause
	}
	return LateNot
}
