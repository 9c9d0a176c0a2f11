package routing

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Target is one run of an engine or plain service process.
type Target struct {
	ID      ids.Target
	Service ids.Service
	Address string
	Domain  ids.FailureDomain
	Slots   int
	Leaving bool
	// ColdFor is how long after its start the target stays slow.
	ColdFor clock.Millis
}

// Directory lists the targets that may get work. It does not change once
// built.
type Directory struct {
	byService map[ids.Service][]*Target
	byID      map[ids.Target]*Target
}

// NewDirectory builds a directory; targets that are leaving are known but not
// offered.
func NewDirectory(targets []*Target) *Directory {
	d := &Directory{
		byService: make(map[ids.Service][]*Target),
		byID:      make(map[ids.Target]*Target, len(targets)),
	}
	for _, t := range targets {
		d.byID[t.ID] = t
		if !t.Leaving {
			d.byService[t.Service] = append(d.byService[t.Service], t)
		}
	}
	return d
}

// Serving lists the targets of a service that may get new work.
func (d *Directory) Serving(service ids.Service) []*Target {
	return d.byService[service]
}

// Target returns a target by id, or nil.
func (d *Directory) Target(id ids.Target) *Target {
	return d.byID[id]
}

// Len returns how many targets are known.
func (d *Directory) Len() int {
	return len(d.byID)
}
