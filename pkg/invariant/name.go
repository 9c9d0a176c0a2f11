package invariant

//go:generate stringer -type=Name

// Name identifies an invariant.
type Name int

// The invariants of the system.
const (
	// DispatchedOnce: a request reaches an engine at most once.
	DispatchedOnce Name = iota
	// NotRunIsTrue: a request that its caller was told did not run ran nowhere.
	NotRunIsTrue
	// LegalTransition: a request's state changes only as the transition table allows.
	LegalTransition
	// OwnAnswer: a caller receives only the answer to its own request.
	OwnAnswer
	// TierOrder: no lower tier is granted while a higher one waits.
	TierOrder
	// RevisionUpward: the configuration revision never decreases.
	RevisionUpward
	// StreamVersion: a stream goes on only at the version of its service that began it.
	StreamVersion
)
