package membership

import (
	"errors"
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

// errAddress is the fault of a row whose address no datagram can be sent to.
var errAddress = errors.New("no IP and port")

// parseListing reads an entry's row.
func parseListing(document []byte) (Listing, netip.AddrPort, error) {
	o, err := fields.Parse(document)
	if err != nil {
		return Listing{}, netip.AddrPort{}, fmt.Errorf("row of an entry: %w", err)
	}
	l := Listing{Address: o.Text("address", mostName), Weight: o.Number("weight", math.SmallestNonzeroFloat64, mostWeight)}
	if o.Has("domain") {
		l.Domain = ids.FailureDomain(o.Text("domain", mostName))
	}
	address, err := netip.ParseAddrPort(l.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		o.Fail("address", errAddress)
	}
	if err := o.Err(); err != nil {
		return Listing{}, netip.AddrPort{}, fmt.Errorf("row of an entry: %w", err)
	}
	return l, address, nil
}
