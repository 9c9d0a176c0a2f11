package declaration

import (
	"reflect"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Change is the difference between one revision and the next. It holds only what
// differs, so that its size does not grow with the number of declarations.
type Change struct {
	// Revision is the revision that the change leads to.
	Revision Revision `json:"revision"`
	// ID is chosen at random by the writer of the change. After a lost answer the
	// writer recognizes its own change by it.
	ID string `json:"id"`
	// Who is the operator who made the change, Why the operator's reason, and At the Unix time in milliseconds.
	Who string       `json:"who"`
	Why string       `json:"why"`
	At  clock.Millis `json:"at"`
	// Set holds what is new or different. As the order of tiers matters, it holds
	// all tiers or none.
	Set Set `json:"set"`
	// Removed names the declarations that no longer exist.
	Removed Removed `json:"removed"`
}

// Removed names declarations that no longer exist.
type Removed struct {
	Accounts   []ids.Account  `json:"accounts,omitempty"`
	Services   []ids.Service  `json:"services,omitempty"`
	Targets    []ids.Target   `json:"targets,omitempty"`
	Placements []PlacementKey `json:"placements,omitempty"`
}

// PlacementKey identifies a placement.
type PlacementKey struct {
	Service ids.Service `json:"service"`
	Target  ids.Target  `json:"target"`
}

// By these keys, diffList and applyList recognize a declaration in two revisions as the same one.
func accountKey(a Account) ids.Account      { return a.Name }
func serviceKey(s Service) ids.Service      { return s.Name }
func targetKey(t Target) ids.Target         { return t.Name }
func placementKey(p Placement) PlacementKey { return PlacementKey{p.Service, p.Target} }

// Diff returns the change that turns from into to. The order of lists other than
// the tiers is not compared. Only Set and Removed of the change are filled in.
func Diff(from, to Set) Change {
	var c Change
	if !reflect.DeepEqual(from.Tiers, to.Tiers) {
		c.Set.Tiers = to.Tiers
	}
	c.Set.Accounts, c.Removed.Accounts = diffList(from.Accounts, to.Accounts, accountKey)
	c.Set.Services, c.Removed.Services = diffList(from.Services, to.Services, serviceKey)
	c.Set.Targets, c.Removed.Targets = diffList(from.Targets, to.Targets, targetKey)
	c.Set.Placements, c.Removed.Placements = diffList(from.Placements, to.Placements, placementKey)
	return c
}

// Empty reports whether the change does nothing.
func (c *Change) Empty() bool {
	return reflect.DeepEqual(c.Set, Set{}) && reflect.DeepEqual(c.Removed, Removed{})
}

// Apply returns the set that results from applying the change to a set, which
// stays as it is.
func (c *Change) Apply(to Set) Set {
	result := Set{
		Tiers:      to.Tiers,
		Accounts:   applyList(to.Accounts, c.Set.Accounts, c.Removed.Accounts, accountKey),
		Services:   applyList(to.Services, c.Set.Services, c.Removed.Services, serviceKey),
		Targets:    applyList(to.Targets, c.Set.Targets, c.Removed.Targets, targetKey),
		Placements: applyList(to.Placements, c.Set.Placements, c.Removed.Placements, placementKey),
	}
	if len(c.Set.Tiers) > 0 {
		result.Tiers = c.Set.Tiers
	}
	return result
}

// diffList returns the items of to that are new or different, and the keys of
// from that to lacks.
func diffList[T any, K comparable](from, to []T, key func(T) K) (changed []T, removed []K) {
	before := make(map[K]T, len(from))
	for _, item := range from {
		before[key(item)] = item
	}
	for _, item := range to {
		old, known := before[key(item)]
		if !known || !reflect.DeepEqual(old, item) {
			changed = append(changed, item)
		}
		delete(before, key(item))
	}
	for _, item := range from {
		if _, gone := before[key(item)]; gone {
			removed = append(removed, key(item))
		}
	}
	return changed, removed
}

// applyList replaces changed items in their positions, appends new ones and drops
// removed ones.
func applyList[T any, K comparable](list, changed []T, removed []K, key func(T) K) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return list
	}
	positions := make(map[K]int, len(list))
	result := slices.Clone(list)
	for i, item := range result {
		positions[key(item)] = i
	}
	for _, item := range changed {
		if i, known := positions[key(item)]; known {
			result[i] = item
			continue
		}
		result = append(result, item)
	}
	gone := make(map[K]bool, len(removed))
	for _, k := range removed {
		gone[k] = true
	}
	return slices.DeleteFunc(result, func(item T) bool { return gone[key(item)] })
}
