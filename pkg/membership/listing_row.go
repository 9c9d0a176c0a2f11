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
	// mostName bounds the name of a failure domain, in bytes.
	mostName = 200
	// mostWeight is beyond the cores of any VM. A weight without a bound would draw the home of
	// all matters to a row that another writer put there.
	mostWeight = 10_000
)

// encode writes an entry's row.
func (l Listing) encode() ([]byte, error) {
	row, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("row of an entry: %w", err)
	}
	return row, nil
}

// parseListing reads an entry's row.
func parseListing(document []byte) (Listing, netip.AddrPort, error) {
	o, err := fields.Parse(document)
	if err != nil {
		return Listing{}, netip.AddrPort{}, fmt.Errorf("row of an entry: %w", err)
	}
	address := o.Address("address")
	l := Listing{Address: address.String(), Weight: o.Number("weight", math.SmallestNonzeroFloat64, mostWeight)}
	if o.Has("domain") {
		l.Domain = ids.FailureDomain(o.Text("domain", mostName))
	}
	if err := o.Err(); err != nil {
		return Listing{}, netip.AddrPort{}, fmt.Errorf("row of an entry: %w", err)
	}
	return l, address, nil
}
