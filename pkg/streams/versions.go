package streams

import (
	"maps"
	"slices"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// settledAfter is how long a service must have had one version, or a route one service, for all streams to have begun
// there that callers may still take up again. It is much longer than a stream with all its tries.
const settledAfter = 5 * clock.Minute

// versions keeps which versions of each service have been listed within settledAfter.
type versions struct {
	mu       sync.Mutex
	services map[ids.Service]*serviceVersions
	// seenFrom is since when this entry has followed the targets without a gap, 0 before.
	seenFrom clock.Millis
	// missedAt is when this entry last may have missed targets; 0 if that has not happened, or the records have been
	// adopted since.
	missedAt clock.Millis
	// always says that no stream can have begun before this entry's start, as it is the only entry, and first that none has,
	// as the system has started for the first time.
	always, first bool
}

// serviceVersions are the versions of a service.
type serviceVersions struct {
	listed map[ids.Version]bool
	goneAt map[ids.Version]clock.Millis // versions that are no longer listed
	// recorded are the versions that the record in the store names: other entries may have begun streams there, before
	// this one has listed a target of them.
	recorded []ids.Version
	// complete says that an entry that knew has told all versions up to a moment from which on this entry knows them.
	complete bool
}

func newVersions() *versions {
	return &versions{services: make(map[ids.Service]*serviceVersions)}
}

// service returns the versions of a service, and creates them for a new one. The lock is held.
func (v *versions) service(name ids.Service) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{listed: make(map[ids.Version]bool), goneAt: make(map[ids.Version]clock.Millis)}
		v.services[name] = s
	}
	return s
}

// setTargets applies a list of targets, and returns the services that have one version more than before.
func (v *versions) setTargets(now clock.Millis, targets []*routing.Target) []ids.Service {
	listed := make(map[ids.Service]map[ids.Version]bool)
	for _, t := range targets {
		if listed[t.Service] == nil {
			listed[t.Service] = make(map[ids.Version]bool)
		}
		listed[t.Service][t.Version] = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seenFrom == 0 {
		v.seenFrom = now
	}
	var added []ids.Service
	for name, all := range listed {
		s := v.service(name)
		before := len(s.recent(now))
		s.list(now, all)
		if len(s.recent(now)) > before {
			added = append(added, name)
		}
	}
	for name, s := range v.services {
		if listed[name] == nil {
			s.list(now, nil)
		}
	}
	return added
}

// list replaces the listed versions.
func (s *serviceVersions) list(now clock.Millis, all map[ids.Version]bool) {
	for version := range s.listed {
		if !all[version] {
			s.goneAt[version] = now
		}
	}
	for version := range all {
		delete(s.goneAt, version)
	}
	maps.DeleteFunc(s.goneAt, func(_ ids.Version, at clock.Millis) bool { return now-at > settledAfter })
	s.listed = all
}

// recent returns the versions that are listed, or were within settledAfter, or that the record names, in order.
func (s *serviceVersions) recent(now clock.Millis) []ids.Version {
	all := append(s.watched(now), s.recorded...)
	slices.Sort(all)
	return slices.Compact(all)
}

// watched returns the versions that are listed, or were within settledAfter, in order.
func (s *serviceVersions) watched(now clock.Millis) []ids.Version {
	all := slices.Collect(maps.Keys(s.listed))
	for version, at := range s.goneAt {
		if now-at <= settledAfter {
			all = append(all, version)
		}
	}
	slices.Sort(all)
	return all
}

// setRecorded sets the versions that the record of a service names, and reports whether the service has one version more
// than before.
func (v *versions) setRecorded(now clock.Millis, service ids.Service, all []ids.Version) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	before := len(s.recent(now))
	for _, version := range all {
		if !slices.Contains(s.recorded, version) {
			s.tell(now, version)
		}
	}
	s.recorded = all
	return len(s.recent(now)) > before
}

// watchedVersions are the versions of a service by the targets that this entry has listed.
type watchedVersions struct {
	listed   []ids.Version // now, in order
	recent   []ids.Version // now or within settledAfter, in order
	complete bool          // recent are certainly all
}

// watched returns the versions of a service by its targets.
func (v *versions) watched(now clock.Millis, service ids.Service) watchedVersions {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	if s == nil {
		return watchedVersions{}
	}
	return watchedVersions{listed: slices.Sorted(maps.Keys(s.listed)), recent: s.watched(now), complete: v.isComplete(now, s)}
}

// startFirst records that no stream can have begun before this entry's start.
func (v *versions) startFirst() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.first = true
}

// missed records that this entry may have missed versions that came and went.
func (v *versions) missed(now clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seenFrom, v.missedAt = now, now
	v.first = false
	for _, s := range v.services {
		s.complete = false
	}
}

// missedBefore reports, once, whether this entry may have missed targets before a moment.
func (v *versions) missedBefore(at clock.Millis) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	missed := v.missedAt > 0 && v.missedAt < at
	if missed {
		v.missedAt = 0
	}
	return missed
}

// adopt adds the versions that an entry or the store has told, which knows all that were listed within settledAfter. It
// does nothing if they are known: told again and again, a version would never count as gone.
func (v *versions) adopt(now clock.Millis, service ids.Service, told []ids.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	if v.isComplete(now, s) {
		return
	}
	s.complete = true
	for _, version := range told {
		s.tell(now, version)
	}
}

// tell adds a version that this entry has not listed itself: others may have listed it until now.
func (s *serviceVersions) tell(now clock.Millis, version ids.Version) {
	if _, gone := s.goneAt[version]; !gone && !s.listed[version] {
		s.goneAt[version] = now
	}
}

// isComplete reports whether all versions of a service that were listed within settledAfter are known. The lock is held.
func (v *versions) isComplete(now clock.Millis, s *serviceVersions) bool {
	return s.complete || v.always || v.first || v.seenFrom > 0 && now-v.seenFrom >= settledAfter
}

// known returns the versions of a service that were listed within settledAfter, and whether these are certainly all.
func (v *versions) known(now clock.Millis, service ids.Service) (recent []ids.Version, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	if s == nil {
		return nil, false
	}
	return s.recent(now), v.isComplete(now, s)
}

// only returns the version at which all streams of a service have begun that may still be taken up again, and whether
// there is only one.
func (v *versions) only(now clock.Millis, service ids.Service) (ids.Version, bool) {
	recent, complete := v.known(now, service)
	if !complete || len(recent) != 1 {
		return "", false
	}
	return recent[0], true
}

// names returns the services that are or were listed.
func (v *versions) names() []ids.Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.services))
}
