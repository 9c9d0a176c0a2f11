// Package claim makes a call with an idempotency key run at most once, whichever
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
	// Entry is where it was made.
	Entry ids.Process `json:"entry"`
	// Free says that the attempt did not run and never will: another attempt
	// may take the claim over.
	Free bool `json:"free"`
	// At is when it was written, in milliseconds since the Unix epoch.
	At clock.Millis `json:"at"`
}

const keyPrefix = "claim/"

// rowOf names the row of an account's idempotency key. The key itself is a
// caller's text and goes in as a sum.
func rowOf(account ids.Account, key string) table.Key {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + key))
	return table.Key(keyPrefix + hex.EncodeToString(sum[:]))
}

func (c Claim) write(key table.Key) (table.Write, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return table.Write{}, fmt.Errorf("writing a claim: %w", err)
	}
	return table.Write{Key: key, Value: value}, nil
}

func readClaim(row table.Row) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Claim{}, fmt.Errorf("reading a claim: %w", err)
	}
	return c, nil
}
