// Package claim runs a call with an idempotency key at most once, whichever
// entries its repeats come to: an entry first writes a claim to the platform's
// table, and only the holder of the claim may run the call.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/table"
)

// Claim is the value of a claim's row.
type Claim struct {
	// Request is the attempt that holds the claim.
	Request ids.Request `json:"request"`
	// Entry is the entry that wrote the claim.
	Entry ids.Process `json:"entry"`
	// Free means that the attempt did not run and never will: another attempt
	// may take over the claim.
	Free bool `json:"free"`
	// At is when it was written, in milliseconds since the Unix epoch.
	At clock.Millis `json:"at"`
}

// keyPrefix begins the keys of all claims' rows.
const keyPrefix = "claim/"

// rowKey returns the key of the row for an account's idempotency key. The idempotency key
// is text from a caller, so the row key contains its hash.
func rowKey(account ids.Account, key string) table.Key {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + key))
	return table.Key(keyPrefix + hex.EncodeToString(sum[:]))
}

// write returns the table write that sets the row of key to the claim.
func (c Claim) write(key table.Key) (table.Write, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return table.Write{}, fmt.Errorf("encoding claim: %w", err)
	}
	return table.Write{Key: key, Value: value}, nil
}

func readClaim(row table.Row) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Claim{}, fmt.Errorf("decoding claim: %w", err)
	}
	return c, nil
}
