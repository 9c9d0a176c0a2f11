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
	minBackoff = 50 * clock.Millisecond
	maxBackoff = 2 * clock.Second
	// freeTime bounds the tries to free a claim whose attempt did not run.
	freeTime = clock.Minute
)

// Claimer makes and frees claims for one entry.
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

// Claim tries to win the claim of an idempotency key for a request. It returns
// false if another attempt holds it. It tries for as long as ctx lasts; an error
// means that the table could not say, and then the request must not run.
func (c *Claimer) Claim(ctx context.Context, account ids.Account, key string, request ids.Request) (bool, error) {
	row := rowOf(account, key)
	var version table.Version
	backoff := c.Random.NewBackoff(minBackoff, maxBackoff)
	for {
		err := c.put(ctx, row, version, Claim{Request: request})
		if err == nil {
			return true, nil
		}
		held, found, readErr := c.read(ctx, row)
		switch {
		case ctx.Err() != nil:
			return false, fmt.Errorf("claiming: %w", ctx.Err())
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

// Free gives a claim back after its request was refused as not run, so that a
// repeat may run. It goes on in the background; if the table stays away, repeats
// are told that the outcome is unknown.
func (c *Claimer) Free(account ids.Account, key string, request ids.Request) {
	go c.free(rowOf(account, key), request)
}

func (c *Claimer) free(row table.Key, request ids.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTime.Duration())
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

func (c *Claimer) put(ctx context.Context, row table.Key, version table.Version, claim Claim) error {
	claim.Entry = c.entry
	claim.At = c.Clock.Now()
	write, err := claim.write(row)
	if err != nil {
		return err
	}
	return c.batcher.commit(ctx, table.Condition{Key: row, Version: version}, write)
}

// holding is a claim as it stands in the table.
type holding struct {
	claim   Claim
	version table.Version
}

func (c *Claimer) read(ctx context.Context, key table.Key) (held holding, found bool, err error) {
	row, err := c.table.Read(ctx, key)
	if errors.Is(err, jujuerrors.NotFound) {
		return holding{}, false, nil
	}
	if err != nil {
		return holding{}, false, err
	}
	claim, err := readClaim(row)
	return holding{claim: claim, version: row.Version}, err == nil, err
}
