// Package history names points in the history of the platform's store. The store counts its writes by versions. When
// it returns from a copy of its contents, what was written since the copy is lost and its versions are given out again:
// a version alone does not say what has been read, and two versions can be compared in one era only.
package history

import (
	"cmp"
	"fmt"
)

// Era numbers the histories of the store, each of which begins when the store returns from a copy. It only rises. It is
// 0 for a store that names none.
type Era int64

// Position is a point in the history of the store: a version of one era.
type Position struct {
	Era     Era   `json:"era,omitempty"`
	Version int64 `json:"version"`
}

// At returns the position of a version in an era.
func At(era Era, version int64) Position { return Position{Era: era, Version: version} }

// Compare returns a negative number if p is before q, a positive one if it is after q, and 0 if they are equal. Any
// position of a later era is after all of the earlier ones, whatever their versions.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Known reports whether p is the position of a write. The zero value, and one without a version, are not.
func (p Position) Known() bool { return p.Version > 0 }

// Latest returns the later of two positions.
func Latest(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// eraShift is how many bits of an Ordinal hold the version.
const eraShift = 48

// Ordinal returns the position as one number, which is greater for a later position: for what keeps positions as
// numbers, such as documents in the store. In a store that names no era it is the version.
func (p Position) Ordinal() int64 { return int64(p.Era)<<eraShift + p.Version }

// FromOrdinal returns the position of an Ordinal.
func FromOrdinal(n int64) Position {
	return Position{Era: Era(n >> eraShift), Version: n & (1<<eraShift - 1)}
}

// String returns the position as "ERA/VERSION", or the version alone if the store names no era.
func (p Position) String() string {
	if p.Era == 0 {
		return fmt.Sprint(p.Version)
	}
	return fmt.Sprintf("%d/%d", p.Era, p.Version)
}
