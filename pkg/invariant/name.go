package invariant

//go:generate stringer -type=Name

// Name says which invariant a check belongs to.
type Name int

// The invariants of the system.
const (
	// DispatchedOnce: a request reaches an engine at most once.
	DispatchedOnce Name = iota
	// NotRunIsTrue: a caller told "not run" has a request that ran nowhere.
	NotRunIsTrue
	// LegalTransition: a request's state only moves as its table allows.
	LegalTransition
	// OwnAnswer: a caller receives only the answer to its own request.
	OwnAnswer
	// TierOrder: no lower tier is granted while a higher one waits.
	TierOrder
	// RevisionUpward: the configuration revision never falls.
	RevisionUpward
)
