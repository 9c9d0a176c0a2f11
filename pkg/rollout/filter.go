package rollout

import (
	"sync"

	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Filter sets the admission of each target by its version, and does so again whenever the target list or the known
// orders and records change.
type Filter struct {
	tracker  *Tracker
	onUpdate func(*routing.Directory)

	mu     sync.Mutex
	listed []*routing.Target
	// undecided says that some target is withheld only because it is not known yet whether an order for its version
	// exists.
	undecided bool
}

// NewFilter returns a filter without targets that calls onUpdate with each new directory.
func NewFilter(tracker *Tracker, onUpdate func(*routing.Directory)) *Filter {
	return &Filter{tracker: tracker, onUpdate: onUpdate}
}

// SetDirectory replaces the target list.
func (s *Filter) SetDirectory(d *routing.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = d.All()
	s.update()
}

// Changed evaluates the list again after orders or records have changed.
func (s *Filter) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed != nil {
		s.update()
	}
}

// Confirmed evaluates the list again if a target waits for the orders to be known up to its start.
func (s *Filter) Confirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.undecided {
		s.update()
	}
}

func (s *Filter) update() {
	versions := make(map[ids.Service]ids.Version)
	mixed := make(map[ids.Service]bool)
	for _, t := range s.listed {
		if other, seen := versions[t.Service]; seen && other != t.Version {
			mixed[t.Service] = true
		}
		versions[t.Service] = t.Version
	}
	s.undecided = false
	list := make([]*routing.Target, 0, len(s.listed))
	for _, t := range s.listed {
		admission := s.tracker.Admission(t, mixed[t.Service])
		if admission == routing.Withheld && !s.tracker.withheldByDecision(t) {
			s.undecided = true
		}
		if admission != t.Admission {
			sorted := *t
			sorted.Admission = admission
			t = &sorted
		}
		list = append(list, t)
	}
	s.onUpdate(routing.NewDirectory(list))
}
