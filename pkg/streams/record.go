package streams

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/history"
	"quaydock/pkg/ids"
)

// Record is what the store keeps of the streams of a service, as it outlasts all entries. A stream may begin at a version
// only once the record names it, and on a route only while no other service's record has that route. So whoever reads
// the record knows of all streams, also if all entries that relayed them are gone.
type Record struct {
	// Era is that of the store in which the record was written. In another one it says nothing: streams may have begun
	// since that a later record named, which the store has lost.
	Era history.Era `json:"era"`
	// Versions are those at which streams may begin, or may have begun that callers may still take up again, in order.
	Versions []ids.Version `json:"versions"`
	// Complete says that streams have begun at no other version. It is set, and Announced become Routes, once the targets
	// and the configuration have been read up to a record without it: until then a stream may have begun elsewhere, at an
	// entry that had not read that record.
	Complete bool `json:"complete"`
	// Routes are those whose streams have all begun at this service. In order, as Announced.
	Routes    []ids.Route `json:"routes"`
	Announced []ids.Route `json:"announced"`
}

// maxRouteBytes limits the names of the routes in a record, which has to fit into a row of the store. Streams of the routes
// that are left out go on where it is known where each began.
const maxRouteBytes = 32 << 10

// errNoVersions means that a record names no version, as no entry writes it.
var errNoVersions = errors.New("no versions")

// ParseRecord parses the value of a record's row.
func ParseRecord(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("record of a service's streams: %w", err)
	}
	if len(r.Versions) == 0 {
		return nil, fmt.Errorf("record of a service's streams: %w", errNoVersions)
	}
	slices.Sort(r.Versions)
	slices.Sort(r.Routes)
	slices.Sort(r.Announced)
	return &r, nil
}

// Encode returns the value of the record's row.
func (r *Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("record of a service's streams: %w", err)
	}
	return value, nil
}

// equal reports whether both say the same.
func (r *Record) equal(other *Record) bool {
	return r.Era == other.Era && r.Complete == other.Complete && slices.Equal(r.Versions, other.Versions) && slices.Equal(r.Routes, other.Routes) && slices.Equal(r.Announced, other.Announced)
}

// names reports whether streams may begin at a version.
func (r *Record) names(version ids.Version) bool { return slices.Contains(r.Versions, version) }

// has reports whether streams of a route may begin at this service alone.
func (r *Record) has(route ids.Route) bool {
	return contains(r.Routes, route) || contains(r.Announced, route)
}

// settles reports whether a record, if there is one, says that all streams of a route began at a version.
func (r *Record) settles(version ids.Version, route ids.Route) bool {
	return r != nil && r.Complete && len(r.Versions) == 1 && r.Versions[0] == version && contains(r.Routes, route)
}

// routeBytes returns the size of the names of the routes.
func (r *Record) routeBytes() (size int) {
	for _, route := range slices.Concat(r.Routes, r.Announced) {
		size += len(route)
	}
	return size
}

// fields returns what the log says of a record.
func (r *Record) fields(service ids.Service) logrus.Fields {
	return logrus.Fields{"service": string(service), "era": int64(r.Era), "versions": r.Versions, "complete": r.Complete, "routes": len(r.Routes), "announced": len(r.Announced)}
}
