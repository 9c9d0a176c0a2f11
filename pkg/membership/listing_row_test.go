package membership

import (
	"fmt"
	"testing"
)

// TestParseListingRejectsInvalidAddresses guards against rows, put there by another writer, whose address does not
// name a single process. Rows of entries used to accept multicast addresses, and addresses with a zone, which mean
// something on one VM only; rows of targets did not.
func TestParseListingRejectsInvalidAddresses(t *testing.T) {
	for address, valid := range map[string]bool{
		"10.0.0.1:7600": true, "[fd00::1]:7600": true,
		"0.0.0.0:7600": false, "10.0.0.1:0": false, "10.0.0.1": false, "host:7600": false, "": false,
		"224.0.0.1:7600": false, "[ff02::1]:7600": false, "[fe80::1%eth0]:7600": false,
	} {
		_, at, err := parseListing(fmt.Appendf(nil, `{"address":%q,"weight":1}`, address))
		if (err == nil) != valid || valid && at.String() != address {
			t.Errorf("%q: %v, %v", address, at, err)
		}
	}
}
