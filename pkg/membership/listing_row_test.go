package membership

import (
	"fmt"
	"testing"
)

// TestAddressesOfRows: a row that names no place of one process is another writer's. Rows of entries took a
// group of processes, and an address with a zone that means something on one VM alone; rows of targets did not.
func TestAddressesOfRows(t *testing.T) {
	for address, sound := range map[string]bool{
		"10.0.0.1:7600": true, "[fd00::1]:7600": true,
		"0.0.0.0:7600": false, "10.0.0.1:0": false, "10.0.0.1": false, "host:7600": false, "": false,
		"224.0.0.1:7600": false, "[ff02::1]:7600": false, "[fe80::1%eth0]:7600": false,
	} {
		_, at, err := parseListing(fmt.Appendf(nil, `{"address":%q,"weight":1}`, address))
		if (err == nil) != sound || sound && at.String() != address {
			t.Errorf("%q: %v, %v", address, at, err)
		}
	}
}
