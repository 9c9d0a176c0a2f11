package claim

import (
	"context"
	"errors"
	"fmt"

	jujuerrors "github.com/juju/errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/table"
)

const (
	// minBackoff and maxBackoff limit the pauses between tries to write or read a claim.
	minBackoff = 50 * clock.Millisecond
	maxBackoff = 2 * clock.Second
	// releaseTimeout limits the attempts to free a claim whose request did not run.
	releaseTimeout = clock.Minute
)

// Claimer acquires and frees claims for one entry. It is safe for concurrent use.
type Claimer struct {
	common.Common
	entry   ids.Process
	table   *table.Table
	batcher *batcher
}

// NewClaimer returns a claimer for the entry of the given name.
func NewClaimer(c common.Common, entry ids.Process, table *table.Table) *Claimer {
	return &Claimer{Common: c, entry: entry, table: table, batcher: &batcher{table: table}}
}

// Claim tries to acquire the claim of an idempotency key for a request. It returns
// false if another attempt holds it. It retries for as long as ctx lasts; an error
// means that the table gave no definite answer, and then the request must not run.
func (c *Claimer) Claim(ctx context.Context, account ids.Account, key string, request ids.Request) (bool, error) {
	row := rowKey(account, key)
	var version table.Version // of the row that the next try replaces; 0 if there must be none
	backoff := c.Random.NewBackoff(minBackoff, maxBackoff)
	for {
		err := c.put(ctx, row, version, Claim{Request: request})
		if err == nil {
			return true, nil
		}
		held, found, readErr := c.read(ctx, row)
		switch {
		case ctx.Err() != nil:
			return false, fmt.Errorf("acquiring claim: %w", ctx.Err())
		case readErr != nil, !found:
			// The write may still take effect: only the next try can tell.
			version = 0
			backoff.Pause(ctx)
		case held.claim.Request == request:
			// The write took effect and its answer was lost.
			return true, nil
		case held.claim.Free:
			version = held.version
		default:
			return false, nil
		}
	}
}

// Release frees a claim after its request was refused as not run, so that a
// repeat may run. It goes on in the background; while the claim can't be freed, repeats
// get the answer that the outcome is unknown.
func (c *Claimer) Release(account ids.Account, key string, request ids.Request) {
	go c.release(rowKey(account, key), request)
}

// release tries to free a claim until it is freed, another attempt holds it, or releaseTimeout has passed. A row that
// is not found may still be written by a try of Claim whose answer was lost.
func (c *Claimer) release(row table.Key, request ids.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
	defer cancel()
	backoff := c.Random.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		held, found, err := c.read(ctx, row)
		if err == nil && found && held.claim.Request != request {
			return
		}
		if err == nil && found && c.put(ctx, row, held.version, Claim{Request: request, Free: true}) == nil {
			return
		}
		backoff.Pause(ctx)
	}
}

// put writes a claim to its row, provided that the row has the given version; see table.Table.Commit for its errors.
func (c *Claimer) put(ctx context.Context, row table.Key, version table.Version, claim Claim) error {
	claim.Entry = c.entry
	claim.At = c.Clock.Now()
	write, err := claim.write(row)
	if err != nil {
		return err
	}
	return c.batcher.commit(ctx, table.Condition{Key: row, Version: version}, write)
}

// storedClaim is a claim as stored in the table, with the version of its row.
type storedClaim struct {
	claim   Claim
	version table.Version
}

// read reads a claim. It returns false and no error if the row does not exist.
func (c *Claimer) read(ctx context.Context, key table.Key) (held storedClaim, found bool, err error) {
	row, err := c.table.Read(ctx, key)
	if errors.Is(err, jujuerrors.NotFound) {
		return storedClaim{}, false, nil
	}
	if err != nil {
		return storedClaim{}, false, err
	}
	claim, err := readClaim(row)
	return storedClaim{claim: claim, version: row.Version}, err == nil, err
}
