package quarantine

import (
	"context"
	"errors"

	"quaydock/pkg/clock"
)

// ErrOvertaken says that a row had another version than expected: nothing was written.
var ErrOvertaken = errors.New("the record of a request has changed meanwhile")

const (
	// keepEvery is how often an entry looks for a record that the store is to hold, and writes one
	// at the most: 5 a second.
	keepEvery = 200 * clock.Millisecond
	// writeTime bounds a call to the store, and writePause is between two tries at a store that
	// doesn't answer or has changed.
	writeTime  = 600 * clock.Millisecond
	writePause = clock.Second
	// expireEvery is how often old records are looked for.
	expireEvery = clock.Minute
)

// keep writes to the store what has to outlast the entries, until ctx ends.
func (g *Guard) keep(ctx context.Context) {
	var expired clock.Millis
	for ctx.Err() == nil {
		clock.Pause(ctx, keepEvery)
		g.settle()
		if g.register.Len() == 0 {
			continue
		}
		now := g.Clock.Now()
		g.turns.prune(now)
		if due := g.register.Unwritten(g.mine); len(due) > 0 {
			g.write(ctx, &due[0])
		}
		if now-expired >= expireEvery {
			expired = now
			for _, w := range g.register.Expire(now) {
				if g.mine(w.Digest) {
					g.write(ctx, &w)
				}
			}
		}
	}
}

// mine reports whether this entry writes the row of a digest.
func (g *Guard) mine(d Digest) bool {
	_, self := g.peers.Owner(matter(d))
	return self
}

// write writes a row. What the store's table shows later settles an unknown outcome.
func (g *Guard) write(ctx context.Context, w *Write) {
	limited, cancel := context.WithTimeout(ctx, writeTime.Duration())
	defer cancel()
	version, err := g.store.Write(limited, *w)
	switch {
	case err != nil:
		g.log(&w.Record).WithError(err).Info("the record of a request is not known to be written")
		clock.Pause(ctx, writePause)
	case w.Remove:
		g.register.RowRemoved(w.Digest)
	default:
		g.tell(g.register.Read(g.Clock.Now(), &w.Record, version))
	}
}

// Row is a record as the store has it.
type Row struct {
	Record
	Version int64
}

// TakeRows takes rows of the store; all says that there are no others. Gone are those that have been
// removed.
func (g *Guard) ApplyRows(rows []Row, gone []Digest, all bool) {
	now := g.Clock.Now()
	for _, d := range gone {
		g.register.RowRemoved(d)
	}
	if all {
		g.register.RetainRows(rows)
	}
	for i := range rows {
		g.tell(g.register.Read(now, &rows[i].Record, rows[i].Version))
	}
	g.register.MarkRead(now)
}
