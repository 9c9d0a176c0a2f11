package quarantine

import (
	"context"
	"errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
)

// ErrRecordChanged is returned by a Store if a row was not the one that the write expected: nothing was written.
var ErrRecordChanged = errors.New("quarantine record has changed since it was read")

const (
	// persistInterval is how often an entry looks for records to be written to the store. It writes at most one each
	// time: 5 a second.
	persistInterval = 200 * clock.Millisecond
	// writeTimeout limits a call to the store. writeRetryDelay is the pause after a store that does not answer or
	// whose row has changed.
	writeTimeout    = 600 * clock.Millisecond
	writeRetryDelay = clock.Second
	// expireInterval is how often expired records are removed.
	expireInterval = clock.Minute
)

// persist writes to the store what must outlast the entries, and removes expired records and possible ends, until ctx
// ends.
func (g *Guard) persist(ctx context.Context) {
	var expiredAt clock.Millis
	for ctx.Err() == nil {
		clock.Pause(ctx, persistInterval)
		g.dropExpired()
		if g.register.Len() == 0 {
			continue
		}
		now := g.Clock.Now()
		g.runs.prune(now)
		if due := g.register.Unwritten(g.ownsRow); len(due) > 0 {
			g.write(ctx, &due[0])
		}
		if now-expiredAt >= expireInterval {
			expiredAt = now
			for _, w := range g.register.Expire(now) {
				if g.ownsRow(w.Digest) {
					g.write(ctx, &w)
				}
			}
		}
	}
}

// ownsRow reports whether this entry writes the row of a digest.
func (g *Guard) ownsRow(d Digest) bool {
	_, self := g.peers.Owner(shard(d))
	return self
}

// write writes or removes a row. If the outcome is unknown, the store's table shows it later; after an error it pauses
// for writeRetryDelay.
func (g *Guard) write(ctx context.Context, w *Write) {
	limited, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	written, err := g.store.Write(limited, *w)
	switch {
	case err != nil:
		g.log(&w.Record).WithError(err).Info("quarantine record not confirmed as written to the store")
		clock.Pause(ctx, writeRetryDelay)
	case w.Remove:
		g.register.RowRemoved(w.Digest)
	default:
		g.logChange(g.register.RowRead(g.Clock.Now(), &w.Record, written))
	}
}

// Row is a record as stored.
type Row struct {
	Record
	Position history.Position // where the row was written; always Known
}

// ApplyRows takes rows that were read from the store; with all, the store has no others. The rows of the digests in
// gone have been removed. Records stay when their rows are removed, until they expire.
func (g *Guard) ApplyRows(rows []Row, gone []Digest, all bool) {
	now := g.Clock.Now()
	for _, d := range gone {
		g.register.RowRemoved(d)
	}
	if all {
		g.register.RetainRows(rows)
	}
	for i := range rows {
		g.logChange(g.register.RowRead(now, &rows[i].Record, rows[i].Position))
	}
	g.register.StoreRead(now)
}
