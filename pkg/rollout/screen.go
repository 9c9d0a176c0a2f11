package rollout

import (
	"sync"

	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Screen sorts the list of targets by what their versions may get, anew whenever the list
// or what is known of roll-outs changes.
type Filter struct {
	book   *Tracker
	sorted func(*routing.Directory)

	mu  sync.Mutex
	raw []*routing.Target
	// unsure says that a target is withheld only because it is not known yet whether there is
	// an order for its version.
	unsure bool
}

// NewScreen returns a screen without targets; sorted is told of each new list.
func NewFilter(book *Tracker, sorted func(*routing.Directory)) *Filter {
	return &Filter{book: book, sorted: sorted}
}

// SetDirectory takes a new list.
func (s *Filter) SetDirectory(d *routing.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw = d.All()
	s.sort()
}

// Changed sorts the list anew, as orders or records have changed.
func (s *Filter) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raw != nil {
		s.sort()
	}
}

// Proven sorts the list anew if a target waits for the orders to be known up to its start.
func (s *Filter) Confirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unsure {
		s.sort()
	}
}

func (s *Filter) sort() {
	versions := make(map[ids.Service]ids.Version)
	mixed := make(map[ids.Service]bool)
	for _, t := range s.raw {
		if other, seen := versions[t.Service]; seen && other != t.Version {
			mixed[t.Service] = true
		}
		versions[t.Service] = t.Version
	}
	s.unsure = false
	list := make([]*routing.Target, 0, len(s.raw))
	for _, t := range s.raw {
		admission := s.book.Admission(t, mixed[t.Service])
		if admission == routing.Withheld && !s.book.decided(t) {
			s.unsure = true
		}
		if admission != t.Admission {
			sorted := *t
			sorted.Admission = admission
			t = &sorted
		}
		list = append(list, t)
	}
	s.sorted(routing.NewDirectory(list))
}
