package feedrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/random"
)

// Source reads one table through the relay: from the store if this entry is the feed reader,
// otherwise from relayed feed states. It is for one follower, whose calls come one after the other; they alone change
// the fields.
type Source struct {
	relay  *Relay
	name   string        // of the table
	direct follow.Source // reads the store itself
	// random is for this table alone: with a shared source, followers that start together would
	// draw from it in an arbitrary order.
	random *random.Source
	// position is the latest that was returned, or, before the first snapshot of an era that the source has heard of,
	// the beginning of that era: nothing from before it is returned any more.
	position history.Position
	// confirmedAt is the newest store time that was returned, of the era of position.
	confirmedAt  clock.Millis
	trimmed      bool         // the changes after position cannot be read; false again with the next batch
	eraRelayed   bool         // another entry has the table of the era of position; false again with the next batch
	readAt       clock.Millis // when the store was last read
	answeredLast bool         // whether the store answered then; that it has trimmed the changes is an answer too
	fallbackAge  clock.Millis // the freshness age from which this entry makes fallback reads; 0 if not yet chosen
}

var (
	_ follow.Source = (*Source)(nil)
	_ follow.Waker  = (*Source)(nil)
)

const (
	// minReadPause is the minimum time between two reads of the store.
	minReadPause = 100 * clock.Millisecond
	// probeTimeout limits a read while it is not known whether the store answers.
	probeTimeout = 800 * clock.Millisecond
	// storeLostAfter is for how long there is no feed state to rely on before the store counts
	// as unreachable. Rows of targets expire no sooner than three of their heartbeats after that.
	storeLostAfter = 1200 * clock.Millisecond
	// initialReaders is how many entries read a table from the store at their start without
	// querying peers first, by their rank as feed reader; the domain owner of each failure domain
	// does so too. peersFirstTime is for how long the others query one another before they read
	// the store. When many entries start at once, reads by all of them are as many calls to the
	// store; an entry that starts before those few must not wait long for them.
	initialReaders = 3
	peersFirstTime = 60 * clock.Millisecond
	// readSpacing is the mean time between the reads of all entries that have got nothing from
	// peers; maxSpread limits the time over which these reads are spread.
	readSpacing = 2 * clock.Millisecond
	maxSpread   = clock.Second
	// unlistedPeersFirstTime replaces peersFirstTime for an entry that is not listed yet.
	unlistedPeersFirstTime = 300 * clock.Millisecond
)

// errNoFeedState is returned while there is no feed state to rely on and this entry is not to
// read the store itself.
var errNoFeedState = errors.New("no recent feed state of the store")

// Source returns a source of a table that relays what direct reads from the store.
func (r *Relay) Source(name string, direct follow.Source) *Source {
	gauge := func(metric string, value func(history.Position) float64) {
		r.Metrics.Prometheus.LabelledGauge(metric, "table", name, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return value(r.table(name).replica.position())
		})
	}
	gauge("table_era", func(p history.Position) float64 { return float64(p.Era) })
	gauge("table_version", func(p history.Position) float64 { return float64(p.Version) })
	return &Source{relay: r, name: name, direct: direct, random: random.NewSource(r.Random.Fork().Uint64())}
}

// Recovered returns a channel that is closed when the store answers a query for any table after
// one has failed.
func (s *Source) Recovered() <-chan struct{} {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	return s.relay.recovered
}

// recordReturned records that the follower gets a batch. The age for fallback reads is then drawn anew.
func (s *Source) recordReturned(batch follow.Batch) {
	if batch.Position.Era > s.position.Era {
		s.confirmedAt = 0
	}
	s.confirmedAt = max(s.confirmedAt, batch.StoreTime)
	s.position = history.Latest(s.position, batch.Position)
	s.trimmed, s.eraRelayed = false, false
	s.fallbackAge = 0
}

// recordNewEra records a new era of the store if the error is about one. relayed says that another entry has the table
// of that era.
func (s *Source) recordNewEra(err error, relayed bool) {
	var newEra *follow.NewEraError
	if !errors.As(err, &newEra) || newEra.Era <= s.position.Era {
		return
	}
	s.position = history.At(newEra.Era, 0)
	s.confirmedAt = 0
	s.trimmed, s.eraRelayed = true, relayed
}

// Changes returns the changes after a position, received from others or read from the store. It returns errNoFeedState
// if it neither received any nor is to read the store.
func (s *Source) Changes(ctx context.Context, after history.Position, wait clock.Millis) (follow.Batch, error) {
	if s.relay.isFeedReader() {
		return s.readStore(ctx, after, min(wait, MaxStoreWait))
	}
	batch, found := s.listen(ctx, after)
	switch found {
	case newState:
		s.applyReceived(after, batch)
		return batch, nil
	case missedChange:
		return s.fetch(ctx, after)
	case newEra:
		err := &follow.NewEraError{Era: batch.Position.Era}
		s.recordNewEra(err, true)
		return follow.Batch{}, fmt.Errorf("feed state of another entry: %w", err)
	case shouldReadStore:
		return s.readStore(ctx, after, min(wait, MaxStoreWait))
	default:
		return follow.Batch{}, errNoFeedState
	}
}

// applyReceived applies a batch from the feed state that was last received.
func (s *Source) applyReceived(after history.Position, batch follow.Batch) {
	s.relay.mu.Lock()
	t := s.relay.table(s.name)
	currentAt := t.receivedAt - t.received.Age
	s.relay.mu.Unlock()
	s.relay.applyRelayed(s.name, after, batch, currentAt)
	s.recordReturned(batch)
}

// readStore reads changes from the store, which may hold the query if it answered the last one.
func (s *Source) readStore(ctx context.Context, after history.Position, wait clock.Millis) (follow.Batch, error) {
	ctx, cancel := withLeastTime(ctx, probeTimeout)
	defer cancel()
	if !s.answeredLast {
		limited, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
		defer cancel()
		ctx, wait = limited, 0
	}
	clock.Pause(ctx, s.readAt+minReadPause-s.relay.Clock.Now())
	s.readAt = s.relay.Clock.Now()
	batch, err := s.direct.Changes(ctx, after, limitHold(ctx, wait))
	return batch, s.storeAnswered(after, batch, err)
}

// storeAnswered records the outcome of a read of changes from the store, and publishes the changes. It returns the
// error of a read that failed.
func (s *Source) storeAnswered(after history.Position, batch follow.Batch, err error) error {
	if err == nil {
		err = follow.CheckEra(after.Era, batch.Position.Era)
	}
	s.trimmed = errors.Is(err, follow.ErrTrimmed)
	s.answeredLast = err == nil || s.trimmed || errors.Is(err, follow.ErrNewEra)
	s.recordNewEra(err, false)
	s.relay.recordStoreReply(s.answeredLast)
	if err != nil {
		return fmt.Errorf("reading changes from the store: %w", err)
	}
	s.relay.publish(s.name, after, batch)
	s.recordReturned(batch)
	return nil
}

// answerReserve is the part of a call's time that is reserved for the store's answer.
const answerReserve = 600 * clock.Millisecond

// limitHold limits for how long the store may hold a query, so that its answer arrives before
// ctx ends: listening may have used up a part of the time.
func limitHold(ctx context.Context, wait clock.Millis) clock.Millis {
	end, limited := ctx.Deadline()
	if !limited {
		return wait
	}
	left := clock.Millis(time.Until(end).Milliseconds()) - answerReserve
	return max(0, min(wait, left))
}
