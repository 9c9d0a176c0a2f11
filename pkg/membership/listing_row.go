package membership

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"

	"quaydock/pkg/fields"
	"quaydock/pkg/ids"
)

const (
	// maxDomainBytes limits the name of a failure domain; a row with a longer one is invalid.
	maxDomainBytes = 200
	// maxWeight exceeds the number of cores of any VM. Without a limit, a row put there by another writer could make
	// its entry the owner of all shards.
	maxWeight = 10_000
)

// encode returns the listing as the value of a row.
func (l Listing) encode() ([]byte, error) {
	row, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encoding the row of an entry: %w", err)
	}
	return row, nil
}

// parseListing parses and validates the value of an entry's row.
func parseListing(document []byte) (Listing, netip.AddrPort, error) {
	o, err := fields.Parse(document)
	if err != nil {
		return Listing{}, netip.AddrPort{}, fmt.Errorf("parsing the row of an entry: %w", err)
	}
	address := o.Address("address")
	l := Listing{Address: address.String(), Weight: o.Number("weight", math.SmallestNonzeroFloat64, maxWeight)}
	if o.Has("domain") {
		l.Domain = ids.FailureDomain(o.Text("domain", maxDomainBytes))
	}
	if err := o.Err(); err != nil {
		return Listing{}, netip.AddrPort{}, fmt.Errorf("parsing the row of an entry: %w", err)
	}
	return l, address, nil
}
